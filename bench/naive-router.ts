/**
 * Baseline policy: round robin over the prefill runners, then, once prefill has ended, the decode
 * runner with the least load in the latest delayed report.
 */
import type * as reports from "./reports.js";
import * as requestRun from "./request-run.js";
import * as routers from "./router.js";
import type * as scenario from "./scenario.js";

/** Creates the naive policy, which has no leases, no admission control and no cancellation. */
export function createNaiveRouter(
  world: scenario.World,
  delayedReports: reports.DelayedReports,
): routers.Router {
  const nextIndexByNode = new Map<number, number>();
  return {
    ...routers.NO_OP_FAULT_INJECTOR,
    start: () => Promise.resolve(),
    countMessages: () => 0,
    countBytes: () => 0,
    [Symbol.asyncDispose]: () => Promise.resolve(),
    run: async (outcome, disconnectSignal) => {
      const node = outcome.arrival.nodeSelector;
      const nextIndex = nextIndexByNode.get(node) ?? node;
      nextIndexByNode.set(node, nextIndex + 1);
      const prefillRunner = world.prefillRunners[nextIndex % world.prefillRunners.length];
      if (prefillRunner === undefined) return;
      const result = await requestRun
        .runPrefill(outcome, world, prefillRunner)
        .catch(() => undefined);
      outcome.failed = result === undefined;
      if (result === undefined) return;
      const [decodeRunner] = world.decodeRunners
        .filter((runner) => !delayedReports.get(runner.name).down)
        .sort((a, b) => delayedReports.get(a.name).load - delayedReports.get(b.name).load);
      if (decodeRunner === undefined) return;
      disconnectSignal.addEventListener("abort", () => {
        decodeRunner.markAbandoned(outcome.arrival.id);
      });
      outcome.failed = !(await requestRun.runDecode(outcome, world, decodeRunner, result));
    },
  };
}
