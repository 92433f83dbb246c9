import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as occupancies from "../../src/capacity/occupancy.js";
import * as ledgers from "../../src/capacity/prefill-ledger.js";
import * as runnerFixture from "./runner-fixture.js";

function createRequest(id: string, isCrashSuspect: boolean) {
  return {
    runner: "p0",
    id,
    attempt: 1,
    isCrashSuspect,
    tokens: 10,
    prefixes: [],
    endWithinMs: 10_000,
  };
}

test.describe("PrefillLedger", () => {
  // If two suspects started together, a crash could not be attributed to one of them.
  test.it("starts one crash suspect at a time, and other requests before the next suspect", () => {
    const clock = new virtualClock.VirtualClock();
    const ledger = new ledgers.PrefillLedger(
      runnerFixture.PREFILL_RUNNER,
      clock,
      new occupancies.Occupancy(clock, 500),
    );
    for (const id of ["s1", "s2"]) ledger.grant(createRequest(id, true), 10, runnerFixture.HOLDER);
    ledger.grant(createRequest("other", false), 10, runnerFixture.HOLDER);
    const listStarted = () =>
      ledger
        .listLeases()
        .filter((lease) => lease.startedAt !== undefined)
        .map((lease) => lease.id);
    earl.expect(listStarted()).toEqual(["s1", "other"]);
    ledger.recordEnd("s1", 1);
    earl.expect(listStarted()).toEqual(["s2", "other"]);
  });
});
