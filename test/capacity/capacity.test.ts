import * as test from "node:test";
import * as earl from "earl";
import * as resultCodes from "../../src/protocol/result-codes.js";
import * as fixtures from "./capacity-fixture.js";

const NEVER_ABORTED = new AbortController().signal;

/** Returns the error of a refused reservation. */
function getRefusal(result: PromiseSettledResult<unknown>): resultCodes.RequestError {
  if (result.status === "fulfilled") throw new Error("expected a refusal, got a result");
  earl.expect(result.reason).toBeA(resultCodes.RequestError);
  return result.reason as resultCodes.RequestError;
}

/** Occupies both slots of the only decode runner and returns the reservations. */
async function reserveSlots(fixture: fixtures.Fixture) {
  const reservations = [await fixture.reserveGranted("a"), await fixture.reserveGranted("b")];
  for (const reservation of reservations) {
    await fixture.waitSettled(reservation.waitForPrefillStart(NEVER_ABORTED), 500);
    reservation.recordPrefillEnd(0);
    reservation.recordDecodeStart();
  }
  await fixture.clock.run(fixture.clock.now() + 50);
  return reservations;
}

test.describe("createCapacity", () => {
  test.it("leases a prefill and a decode runner and releases both on disposal", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    const reservation = await fixture.reserveGranted("a");
    earl.expect(reservation.decode.name).toEqual("d0");
    earl.expect(reservation.prefill.name).toEqual("p0");
    earl.expect(fixture.capacities[0]?.listLeases().length).toEqual(2);
    await reservation[Symbol.asyncDispose]();
    await fixture.clock.run(fixture.clock.now() + 50);
    earl.expect(fixture.capacities[0]?.listLeases()).toEqual([]);
  });

  test.it(
    "refuses a request at once as overloaded and not run if no slot will be free in time",
    async () => {
      await using fixture = await new fixtures.Fixture({}).start();
      await reserveSlots(fixture);
      const result = await fixture.reserve("c", { firstTokenBy: fixture.clock.now() + 300 });
      const refusal = getRefusal(result);
      earl.expect(refusal.code).toEqual(resultCodes.RESULT_CODES.overloaded);
      earl.expect(refusal.ran).toEqual(resultCodes.RAN.no);
      earl.expect((refusal.retryAfterMs ?? 0) > 0).toEqual(true);
      earl.expect(fixture.listDecodeLeases().map((lease) => lease.id)).toEqual(["a", "b"]);
    },
  );

  test.it("starts a queued request only when a slot is released", async () => {
    await using fixture = await new fixtures.Fixture({ policy: { leaseAhead: false } }).start();
    const [first] = await reserveSlots(fixture);
    const firstTokenBy = fixture.clock.now() + 10_000;
    const queued = await fixture.reserveGranted("c", { firstTokenBy });
    let started = false;
    const wait = queued.waitForPrefillStart(NEVER_ABORTED).then(() => {
      started = true;
    });
    await fixture.clock.run(fixture.clock.now() + 1000);
    earl.expect(started).toEqual(false);
    await first?.[Symbol.asyncDispose]();
    await fixture.waitSettled(wait, 500);
    earl.expect(started).toEqual(true);
  });

  test.it(
    "refuses a queued request as not run when it cannot meet its first-token target",
    async () => {
      await using fixture = await new fixtures.Fixture({ policy: { leaseAhead: false } }).start();
      await reserveSlots(fixture);
      const firstTokenBy = fixture.clock.now() + 5000;
      const queued = await fixture.reserveGranted("c", { firstTokenBy });
      const wait = queued.waitForPrefillStart(NEVER_ABORTED);
      const result = await fixture.waitSettled(wait, 5000);
      earl.expect(getRefusal(result).ran).toEqual(resultCodes.RAN.no);
      earl.expect(fixture.listDecodeLeases().map((lease) => lease.id)).toEqual(["a", "b"]);
    },
  );

  // If the nodes computed different allocators for a runner, its slots would be leased twice.
  test.it("leases each decode slot once when several nodes request leases", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 4, decoders: 2 }).start();
    const results = [];
    for (let index = 0; index < 12; index += 1) {
      const changes = { firstTokenBy: fixture.clock.now() + 600 };
      results.push(await fixture.reserve(`r${index}`, changes, index % 4));
    }
    const granted = results.filter((result) => result.status === "fulfilled");
    earl.expect(granted.length).toEqual(4);
    earl.expect(fixture.listDecodeLeases().length).toEqual(4);
  });

  test.it("does not start or lease requests for more pieces than a runner has", async () => {
    await using fixture = await new fixtures.Fixture({ pieces: 100 }).start();
    await fixture.reserveGranted("a", { promptTokens: 900 });
    const firstTokenBy = fixture.clock.now() + 500;
    const second = await fixture.reserve("b", { promptTokens: 900, firstTokenBy });
    if (second.status === "fulfilled") {
      const outcome = await fixture.waitSettled(
        second.value.waitForPrefillStart(NEVER_ABORTED),
        2000,
      );
      earl.expect(outcome.status).toEqual("rejected");
    }
    const tooLong = await fixture.reserve("c", { promptTokens: 100_000 });
    earl.expect(getRefusal(tooLong).code).toEqual(resultCodes.RESULT_CODES.promptTooLong);
  });

  // If the older attempt went on, a request retried through another node would run twice.
  test.it("revokes an older attempt for a newer one and cancels it at the engine", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 2 }).start();
    const older = await fixture.reserveGranted("a", {}, 0);
    const newer = await fixture.reserveGranted("a", { attempt: 2 }, 1);
    earl.expect(older.revoked.aborted).toEqual(true);
    earl.expect(newer.revoked.aborted).toEqual(false);
    earl.expect(fixture.engines.cancelled).toInclude("d0 a 1");
    earl.expect(fixture.listDecodeLeases().map(({ attempt }) => attempt)).toEqual([2]);
  });

  // A dead node cannot release its leases, so its requests would go on at the engine. The delay is for
  // nodes that were declared dead by mistake, which can return within it.
  test.it("cancels the requests of a dead node, but not within a second of its end", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 2 }).start();
    const allocator = fixture.capacities[0]?.findAllocator("d0");
    const holder = allocator === "vm0" ? 1 : 0;
    await fixture.reserveGranted("a", {}, holder);
    fixture.fleet.stopNode(`vm${holder}`, 100);
    await fixture.clock.run(fixture.clock.now() + 1000);
    earl.expect(fixture.engines.cancelled).toEqual([]);
    await fixture.clock.run(fixture.clock.now() + 1500);
    earl.expect(fixture.engines.cancelled).toInclude("d0 a 1");
  });

  // If the holders did not report their leases, the new allocator would take their running requests
  // for orphans and cancel them.
  test.it("records the leases of a dead allocator at the new one and cancels none", async () => {
    await using fixture = await new fixtures.Fixture({ nodes: 3 }).start();
    const allocator = Number(fixture.capacities[0]?.findAllocator("d0")?.slice(2));
    const holder = (allocator + 1) % 3;
    const reservation = await fixture.reserveGranted("a", {}, holder);
    fixture.fleet.stopNode(`vm${allocator}`, 100);
    await fixture.clock.run(fixture.clock.now() + 2500);
    const next = Number(fixture.capacities[holder]?.findAllocator("d0")?.slice(2));
    earl.expect(next).not.toEqual(allocator);
    const leases = fixture.capacities[next]?.listLeases() ?? [];
    earl.expect(leases.some((lease) => lease.id === "a" && lease.slots === 1)).toEqual(true);
    earl.expect(reservation.revoked.aborted).toEqual(false);
    earl.expect(fixture.engines.cancelled).toEqual([]);
  });

  // Requests without a lease remain at an engine when a cancellation is lost, or when a holder and the
  // allocator of its runner die together.
  test.it("cancels a request that an engine reports and that has no lease", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    fixture.engines.held.set("d0", [{ id: "stray", attempt: 3 }]);
    await fixture.clock.run(fixture.clock.now() + 5000);
    earl.expect(fixture.engines.cancelled).toInclude("d0 stray 3");
  });

  // A new allocator does not know all leases of a runner yet. If it counted only those that it knows,
  // it would lease slots that are in use.
  test.it("counts requests that have no lease as users of the engine's slots", async () => {
    await using fixture = await new fixtures.Fixture({}).start();
    fixture.engines.held.set("d0", [
      { id: "x", attempt: 1 },
      { id: "y", attempt: 1 },
    ]);
    await fixture.clock.run(fixture.clock.now() + 1000);
    const result = await fixture.reserve("a", { firstTokenBy: fixture.clock.now() + 500 });
    earl.expect(result.status).toEqual("rejected");
  });

  test.it("does not lease an unreachable runner, and leases it again when it answers", async () => {
    await using fixture = await new fixtures.Fixture({ decoders: 2 }).start();
    fixture.engines.down.add("d0");
    await fixture.clock.run(fixture.clock.now() + 3000);
    earl.expect((await fixture.reserveGranted("a")).decode.name).toEqual("d1");
    earl.expect((await fixture.reserveGranted("b")).decode.name).toEqual("d1");
    fixture.engines.down.delete("d0");
    await fixture.clock.run(fixture.clock.now() + 3000);
    earl.expect((await fixture.reserveGranted("c")).decode.name).toEqual("d0");
  });

  test.it("does not lease a runner that the request excludes", async () => {
    await using fixture = await new fixtures.Fixture({ decoders: 2 }).start();
    const reservation = await fixture.reserveGranted("a", { exclude: ["d0"] });
    earl.expect(reservation.decode.name).toEqual("d1");
  });
});
