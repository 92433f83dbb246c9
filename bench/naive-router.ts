/** Round robin over prefill runners; the decode runner by the last report, once prefill has ended. */
import type * as reports from "./reports.js";
import * as requestRun from "./request-run.js";
import * as routers from "./router.js";
import type * as scenario from "./scenario.js";

/** Creates the naive policy: no leases, no refusal, no cancel. */
export function createNaiveRouter(
  world: scenario.World,
  late: reports.DelayedReports,
): routers.Router {
  const next = new Map<number, number>();
  return {
    ...routers.NO_OP_FAULT_INJECTOR,
    start: () => Promise.resolve(),
    countMessages: () => 0,
    countBytes: () => 0,
    [Symbol.asyncDispose]: () => Promise.resolve(),
    run: async (outcome, left) => {
      const node = outcome.arrival.node;
      const turn = next.get(node) ?? node;
      next.set(node, turn + 1);
      const prefill = world.prefillRunners[turn % world.prefillRunners.length];
      if (prefill === undefined) return;
      const result = await requestRun.runPrefill(outcome, world, prefill).catch(() => undefined);
      outcome.failed = result === undefined;
      if (result === undefined) return;
      const [decode] = world.decodeRunners
        .filter((runner) => !late.get(runner.name).down)
        .sort((a, b) => late.get(a.name).load - late.get(b.name).load);
      if (decode === undefined) return;
      left.addEventListener("abort", () => {
        decode.markAbandoned(outcome.arrival.id);
      });
      outcome.failed = !(await requestRun.runDecode(outcome, world, decode, result));
    },
  };
}
