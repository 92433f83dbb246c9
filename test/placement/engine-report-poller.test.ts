import * as test from "node:test";
import * as earl from "earl";
import * as runnerCodec from "../../platform/runner-codec.js";
import * as engineReportPoller from "../../src/placement/engine-report-poller.js";
import type * as poolScheduler from "../../src/placement/pool-scheduler.js";
import * as runnerTable from "../../src/runners/runner-table.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "../runners/raw-runner.js";

const SERVICE = "model";
const log = { write: () => undefined };

/** Polls two runners that do not answer for some seconds; returns those for which a report counts as missing. */
async function pollSilent(
  lostPaths: readonly string[],
  paused?: string,
): Promise<ReadonlySet<string>> {
  const clock = fakeClock.createFakeClock();
  const table = new runnerTable.RunnerTable(clock, log);
  for (const id of ["one", "two"])
    table.setRunner(id, { ...raw.createRunner(id, 1), service: SERVICE });
  const missing = new Set<string>();
  const scheduler = { recordMissingReport: (id: string) => missing.add(id) };
  await using poller = new engineReportPoller.EngineReportPoller({
    clock,
    log,
    runners: table,
    calls: { sendMessage: () => Promise.reject(new Error("no connection")) } as never,
    codec: runnerCodec.RUNNER_CODEC,
    pauses: { computePause: ({ id }) => (id === paused ? 1_000 : 0) },
    listSchedulers: () => new Map([[SERVICE, scheduler as unknown as poolScheduler.PoolScheduler]]),
    onReport: () => undefined,
    hasLostPath: ({ id }) => Promise.resolve(lostPaths.includes(id)),
  });
  void poller.run();
  await clock.advance(3_000);
  return missing;
}

// Guards against RECOVER: a scheduler without paths to some runners kept the whole fleet from using them.
test.describe("EngineReportPoller", () => {
  test.it("counts a report as missing unless only this VM does not reach the runner", async () => {
    earl.expect(await pollSilent([])).toEqual(new Set(["one", "two"]));
    earl.expect(await pollSilent(["one"])).toEqual(new Set(["two"]));
    earl.expect(await pollSilent(["one", "two"])).toEqual(new Set());
  });

  // Guards against BUDGET: a runner that wanted nothing from this VM was polled.
  test.it("polls no runner that asked for a pause, and misses none of its reports", async () => {
    earl.expect(await pollSilent([], "one")).toEqual(new Set(["two"]));
  });
});
