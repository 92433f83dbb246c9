import * as test from "node:test";
import * as earl from "earl";
import * as membership from "../../src/membership/types.js";
import * as upstream from "../../src/upstream/types.js";
import * as messages from "../../src/request/plain-messages.js";
import * as fakes from "./fake-fleet.js";

function createFleet() {
  const fleet = new fakes.FakeFleet();
  const nodes = ["owner", "backup", "entry"].map((vm, index) => fleet.add(vm, `zone-${index}`));
  const [owner, backup, entry] = nodes as [fakes.FakeNode, fakes.FakeNode, fakes.FakeNode];
  let id = "";
  do id = `${owner.createSession()}.1`;
  while (owner.parse(id).session.backup?.vm !== "backup");
  const count = (): number => fleet.service.executions.get(id) ?? 0;
  return { fleet, owner, backup, entry, id, count };
}

async function waitForResult<Value>(fleet: fakes.FakeFleet, call: Promise<Value>): Promise<Value> {
  const progress = { isDone: false };
  const finished = call.finally(() => (progress.isDone = true));
  finished.catch(() => undefined);
  for (let step = 0; step < 400 && !progress.isDone; step += 1) await fleet.clock.advance(25);
  earl.expect(progress.isDone).toEqual(true);
  return await finished;
}

test.describe("createPlainCalls", () => {
  test.it("refuses a non-idempotent operation without an id and returns a session", async () => {
    const { fleet, owner } = createFleet();
    const error = (await waitForResult(
      fleet,
      owner.sendBooking(undefined).catch((reason: unknown) => reason),
    )) as { code: { number: number }; ran: string; session: string };
    earl.expect([error.code.number, error.ran]).toEqual([1006, "no"]);
    earl.expect(owner.parse(`${error.session}.1`).session.owner.vm).toEqual("owner");
  });

  test.it(
    "runs a request once despite concurrent and later duplicates at the owner and another node",
    async () => {
      const { fleet, owner, entry, id, count } = createFleet();
      const calls = [owner.sendBooking(id), entry.sendBooking(id), entry.sendBooking(id)].map(
        fakes.readResult,
      );
      earl.expect(await waitForResult(fleet, Promise.all(calls))).toEqual([201, 201, 201]);
      earl.expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id)))).toEqual(201);
      earl.expect(count()).toEqual(1);
    },
  );

  test.it("never runs a request whose intent the backup did not confirm", async () => {
    const { fleet, owner, id, count } = createFleet();
    fleet.lostReplies.add("owner>backup");
    earl
      .expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id))))
      .toEqual("4001 no");
    fleet.lostReplies.clear();
    earl
      .expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id))))
      .toEqual("4001 no");
    earl.expect(count()).toEqual(0);
  });

  test.it(
    "refuses a request whose owner cannot be reached, and does not run it when the owner gets it later",
    async () => {
      const { fleet, owner, entry, id, count } = createFleet();
      fleet.lostRequests.add("entry>owner");
      earl
        .expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id))))
        .toEqual("4002 no");
      earl
        .expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id))))
        .toEqual("4002 no");
      earl.expect(count()).toEqual(0);
    },
  );

  test.it(
    "answers `ran: unknown` before the deadline when the owner becomes suspect after its intent",
    async () => {
      const { fleet, entry, id, count } = createFleet();
      fleet.service.handleCall = (_, execute) => {
        execute();
        return new Promise(() => undefined);
      };
      const call = fakes.readResult(entry.sendBooking(id));
      await fleet.clock.advance(50);
      fleet.setState("owner", membership.MEMBER_STATE.suspect);
      earl.expect(await waitForResult(fleet, call)).toEqual("4003 unknown");
      earl.expect(count()).toEqual(1);
    },
  );

  test.it("replays the result from the backup when the owner restarted", async () => {
    const { fleet, owner, entry, id, count } = createFleet();
    earl.expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id)))).toEqual(201);
    await fleet.clock.advance(50);
    fleet.nodes.delete("owner");
    fleet.add("owner", "zone-0", 2);
    earl.expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id)))).toEqual(201);
    earl.expect(count()).toEqual(1);
  });

  test.it(
    "answers `ran: unknown` when the owner is gone and the backup has restarted",
    async () => {
      const { fleet, entry, id, count } = createFleet();
      fleet.nodes.delete("owner");
      fleet.add("backup", "zone-1", 2);
      earl
        .expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id))))
        .toEqual("4003 unknown");
      earl.expect(count()).toEqual(0);
    },
  );

  // Guards against BUDGET: a call that waited for its backup ran although it was quarantined meanwhile.
  test.it("does not run a call that is quarantined while its intent is sent", async () => {
    const { fleet, owner, id, count } = createFleet();
    const crashes = owner.kernel.use("crashes");
    const target = `${fakes.SERVICE.name} POST /bookings`;
    const fingerprint = crashes.computeFingerprint(fakes.CALLER.name, target, Buffer.from("{}"));
    fleet.beforeHandle = () => {
      for (const name of ["u1", "u2"]) crashes.recordCrash(name, [fingerprint]);
      return Promise.resolve();
    };
    const result = await waitForResult(fleet, fakes.readResult(owner.sendBooking(id)));
    earl.expect([result, count()]).toEqual(["1010 no", 0]);
  });

  test.it("tries another backend when no connection was made", async () => {
    const { fleet, owner, id, count } = createFleet();
    fleet.service.handleCall = (backend, execute) => {
      if (backend !== "back-a") {
        execute();
        return Promise.resolve();
      }
      const { notConnected } = upstream.UPSTREAM_FAILURE;
      return Promise.reject(new upstream.UpstreamError(notConnected, "refused"));
    };
    earl.expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id)))).toEqual(201);
    earl.expect(count()).toEqual(1);
  });

  test.it("does not repeat a call whose connection broke", async () => {
    const { fleet, owner, entry, id, count } = createFleet();
    fleet.service.handleCall = (_, execute) => {
      execute();
      const { broken } = upstream.UPSTREAM_FAILURE;
      return Promise.reject(new upstream.UpstreamError(broken, "reset"));
    };
    earl
      .expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id))))
      .toEqual("4003 unknown");
    earl
      .expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id))))
      .toEqual("4003 unknown");
    earl.expect(count()).toEqual(1);
  });

  test.it("never runs a request whose owner was paused past the deadline", async () => {
    const { fleet, owner, entry, id, count } = createFleet();
    let deliverIntent: () => void = () => undefined;
    fleet.beforeHandle = (kind) =>
      kind === messages.INTENT.kind
        ? new Promise((done) => (deliverIntent = done))
        : Promise.resolve();
    const call = fakes.readResult(owner.sendBooking(id, 500));
    await fleet.clock.advance(10);
    owner.clock.pause();
    await fleet.clock.advance(20_000);
    deliverIntent();
    await fleet.clock.settle();
    owner.clock.resume();
    earl.expect(await waitForResult(fleet, call)).toEqual("3001 no");
    earl
      .expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id))))
      .toEqual("3001 no");
    fleet.nodes.delete("owner");
    earl
      .expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id))))
      .toEqual("3001 no");
    earl.expect(count()).toEqual(0);
  });

  test.it("records the result after the caller disconnected", async () => {
    const { fleet, owner, entry, id, count } = createFleet();
    const caller = new AbortController();
    const call = fakes.readResult(owner.sendBooking(id, 5000, caller.signal));
    caller.abort();
    earl.expect(await waitForResult(fleet, call)).toEqual("3005 unknown");
    earl.expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id)))).toEqual(201);
    earl.expect(count()).toEqual(1);
  });

  test.it("refuses new ids on a leaving owner, but replays recorded results", async () => {
    const { fleet, owner, entry, id, count } = createFleet();
    earl.expect(await waitForResult(fleet, fakes.readResult(owner.sendBooking(id)))).toEqual(201);
    fleet.setState("owner", membership.MEMBER_STATE.leaving);
    earl.expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(id)))).toEqual(201);
    const other = id.replace(/1$/, "2");
    earl
      .expect(await waitForResult(fleet, fakes.readResult(entry.sendBooking(other))))
      .toEqual("2003 no");
    earl.expect(count()).toEqual(1);
    earl.expect(owner.parse(`${owner.createSession()}.1`).session.owner.vm).not.toEqual("owner");
  });
});
