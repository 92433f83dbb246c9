import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as ledgers from "../../src/capacity/decode-ledger.js";
import * as messages from "../../src/capacity/messages.js";
import * as occupancies from "../../src/capacity/occupancy.js";
import * as policies from "../../src/capacity/policy.js";
import * as shares from "../../src/capacity/shares.js";
import * as runnerFixture from "./runner-fixture.js";

function createLedger(policy: Partial<policies.CapacityPolicy> = {}) {
  const clock = new virtualClock.VirtualClock();
  const occupancy = new occupancies.Occupancy(clock, 500);
  const ledger = new ledgers.DecodeLedger({
    runner: runnerFixture.DECODE_RUNNER,
    clock,
    policy: { ...policies.DEFAULT_POLICY, ...policy },
    shares: new shares.CallerShares(clock),
    occupancy,
  });
  return { clock, ledger, occupancy };
}

function createRequest(id: string, changes: Partial<messages.DecodeLeaseRequest> = {}) {
  return {
    runner: "d0",
    id,
    attempt: 1,
    caller: "caller",
    share: 1,
    priority: 5,
    pieces: 1,
    isFirstCandidate: true,
    betweenTokensMs: 60,
    startWithinMs: 100_000,
    leadMs: 100,
    ...changes,
  };
}

test.describe("DecodeLedger", () => {
  // If two suspects started together, a crash could not be attributed to one of them.
  test.it("starts one crash suspect at a time and other requests at the same time", async () => {
    const { clock, ledger } = createLedger({ leaseAhead: false });
    for (const id of ["s1", "s2"])
      ledger.grant(createRequest(id, { isCrashSuspect: true }), runnerFixture.HOLDER);
    ledger.grant(createRequest("other"), runnerFixture.HOLDER);
    const getPhase = (id: string) => ledger.findLease(id)?.phase;
    earl.expect(["s1", "s2", "other"].map(getPhase)).toEqual([1, 0, 1]);
    ledger.setPhase("s1", 1, messages.PHASE.running);
    ledger.startQueued();
    earl.expect(getPhase("s2")).toEqual(messages.PHASE.queued);
    await clock.run(clock.now() + 301);
    ledger.startQueued();
    earl.expect(getPhase("s2")).toEqual(messages.PHASE.started);
  });

  test.it("starts queued leases in the order of priority, then of age", () => {
    const { ledger } = createLedger({ leaseAhead: false });
    for (const id of ["a", "b", "c", "d"]) ledger.grant(createRequest(id), runnerFixture.HOLDER);
    ledger.grant(createRequest("late"), runnerFixture.HOLDER);
    ledger.grant(createRequest("later"), runnerFixture.HOLDER);
    ledger.grant(createRequest("urgent", { priority: 0 }), runnerFixture.HOLDER);
    const listStarted = () =>
      ledger
        .listLeases()
        .filter((lease) => lease.phase === messages.PHASE.started)
        .map((lease) => lease.request.id);
    earl.expect(listStarted()).toEqual(["a", "b", "c", "d"]);
    ledger.release("a", 1);
    earl.expect(listStarted()).toEqual(["b", "c", "d", "urgent"]);
    ledger.release("b", 1);
    earl.expect(listStarted()).toEqual(["c", "d", "late", "urgent"]);
  });

  // Without leasing ahead, slots idle during the prefill of the next request.
  test.it("leases ahead of expected releases once it has observed decode durations", async () => {
    const { clock, ledger } = createLedger();
    for (let index = 0; index < 20; index += 1) {
      ledger.grant(createRequest(`r${index}`, { leadMs: 1000 }), runnerFixture.HOLDER);
      ledger.setPhase(`r${index}`, 1, messages.PHASE.running);
      await clock.run(clock.now() + 1000);
      ledger.release(`r${index}`, 1);
    }
    const startDecisions = ["a", "b", "c", "d", "e", "f"].map((id) => {
      const { reply } = ledger.grant(createRequest(id, { leadMs: 1000 }), runnerFixture.HOLDER);
      ledger.setPhase(id, 1, messages.PHASE.running);
      return reply.mayStart;
    });
    earl.expect(startDecisions).toEqual([true, true, true, true, true, true]);
    const { reply } = ledger.grant(createRequest("g", { leadMs: 1000 }), runnerFixture.HOLDER);
    earl.expect(reply.mayStart).toEqual(false);
  });

  test.it("refuses an older attempt and replaces an attempt by a newer one", () => {
    const { ledger } = createLedger();
    ledger.grant(createRequest("a", { attempt: 2 }), runnerFixture.HOLDER);
    earl
      .expect(ledger.grant(createRequest("a"), runnerFixture.HOLDER).reply.granted)
      .toEqual(false);
    const newer = ledger.grant(createRequest("a", { attempt: 3 }), runnerFixture.HOLDER);
    earl.expect(newer.reply.granted).toEqual(true);
    earl.expect(newer.revoked.map((lease) => lease.attempt)).toEqual([2]);
    ledger.release("a", 2);
    earl.expect(ledger.listLeases().map((lease) => lease.attempt)).toEqual([3]);
  });

  // A new allocator grants leases before all holders have reported theirs, so that slots which look
  // free may be in use.
  test.it("keeps slots free while some leases may be unknown", () => {
    const { ledger, occupancy } = createLedger();
    occupancy.hasUnknownLeases = true;
    const mayStart = ["a", "b", "c"].map(
      (id) => ledger.grant(createRequest(id), runnerFixture.HOLDER).reply.mayStart,
    );
    earl.expect(mayStart).toEqual([true, true, false]);
  });

  // A lost holder cannot release its leases, so their slots would stay occupied.
  test.it(
    "releases a lost holder's lease once the engine no longer reports its request",
    async () => {
      const { clock, ledger } = createLedger();
      for (const id of ["ended", "shown", "new"]) {
        ledger.grant(createRequest(id), runnerFixture.HOLDER);
        ledger.setPhase(id, 1, messages.PHASE.running);
        await clock.run(clock.now() + 1000);
      }
      ledger.releaseEnded(() => true, new Set(["shown"]), 1500);
      earl.expect(ledger.listLeases().map(({ request }) => request.id)).toEqual(["shown", "new"]);
      ledger.releaseEnded(() => false, new Set(), 5000);
      earl.expect(ledger.listLeases().length).toEqual(2);
    },
  );

  test.it("never starts more leases than slots and pieces allow, for any sequence of calls", () => {
    const step = fastCheck.record({
      id: fastCheck.integer({ min: 0, max: 12 }),
      attempt: fastCheck.integer({ min: 1, max: 3 }),
      pieces: fastCheck.integer({ min: 1, max: 60 }),
      action: fastCheck.constantFrom("grant", "run", "release", "wait"),
    });
    const property = fastCheck.asyncProperty(
      fastCheck.array(step, { maxLength: 60 }),
      async (steps) => {
        const { clock, ledger } = createLedger({ leaseAhead: false });
        for (const { id, attempt, pieces, action } of steps) {
          const name = `r${id}`;
          if (action === "grant")
            ledger.grant(createRequest(name, { attempt, pieces }), runnerFixture.HOLDER);
          if (action === "run") ledger.setPhase(name, attempt, messages.PHASE.running);
          if (action === "release") ledger.release(name, attempt);
          if (action === "wait") await clock.run(clock.now() + 100);
          const started = ledger
            .listLeases()
            .filter((lease) => lease.phase !== messages.PHASE.queued);
          const used = started.reduce((sum, lease) => sum + lease.request.pieces, 0);
          if (
            started.length > runnerFixture.DECODE_RUNNER.slots ||
            used > runnerFixture.DECODE_RUNNER.pieces
          )
            return false;
        }
        return true;
      },
    );
    return fastCheck.assert(property, { seed: 7, numRuns: 100 });
  });
});
