import * as test from "node:test";
import * as earl from "earl";
import * as fakeClock from "../../standins/fake-clock.js";
import * as reportedRuns from "../../src/streams/reported-runs.js";
import * as raw from "../runners/raw-runner.js";

const FIRST = { ...raw.createRunner("r1", 1), softwareVersion: "v1", bornAt: 7 };
const SECOND = { ...raw.createRunner("r2", 2), softwareVersion: "v2", bornAt: 7 };

function createReport(callId: string, events: number, bornAt = 7) {
  return { bornAt, runs: [{ callId, tokensInMemory: 100, events }] };
}

test.describe("ReportedRuns", () => {
  test.it("keeps the versions of the runners that report a run with events", () => {
    const reported = new reportedRuns.ReportedRuns(fakeClock.createFakeClock());
    reported.record(FIRST, createReport("a", 1));
    reported.record(FIRST, createReport("a", 2));
    reported.record(SECOND, createReport("b", 1));
    reported.record(FIRST, createReport("b", 1));
    earl
      .expect([reported.listVersions("a"), reported.listVersions("b")])
      .toEqual([["v1"], ["v2", "v1"]]);
  });

  // Guards against ORDER: a run without events is not the one whose events the caller has.
  test.it("keeps no run without events, and none of another start or of an unknown version", () => {
    const reported = new reportedRuns.ReportedRuns(fakeClock.createFakeClock());
    reported.record(FIRST, createReport("a", 0));
    reported.record(FIRST, createReport("a", 1, 8));
    reported.record({ ...FIRST, softwareVersion: undefined }, createReport("a", 1));
    earl.expect(reported.listVersions("a")).toEqual([]);
  });

  test.it("forgets a run a minute after its last report", async () => {
    const clock = fakeClock.createFakeClock();
    const reported = new reportedRuns.ReportedRuns(clock);
    reported.record(FIRST, createReport("a", 1));
    await clock.advance(60_001);
    earl.expect(reported.listVersions("a")).toEqual([]);
  });
});
