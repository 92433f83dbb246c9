/** Chooses the runners of one request by what is placed on them. */
import * as runners from "../runners/types.js";
import type * as memoryForecast from "./memory-forecast.js";
import type * as poolLoads from "./pool-loads.js";

/** Longest queue at a prefill runner: beyond it waiting in line is better, for the choice stays open. */
const LONGEST_PREFILL_WAIT_MS = 150;

/** Outcome of choosing a prefill runner. */
export type PrefillChoice =
  | { readonly kind: "runner"; readonly id: string }
  /** All queues are long. */
  | { readonly kind: "busy" }
  /** There is none: the decode runner reads the prompt itself. */
  | { readonly kind: "none" };

/**
 * Returns the prefill runner with the shortest queue, among equals one of the zone. Load pattern: answers
 * of prefills that are lost on their way; whoever read the prompt has it in its cache for some seconds.
 */
export function choosePrefillRunner(
  usable: readonly runners.Runner[],
  loads: poolLoads.PoolLoads,
  zone: string,
  cachedBy: string | undefined,
): PrefillChoice {
  const readers = usable.filter((runner) => runner.stage === runners.STAGE.prefill);
  const waits = readers.map((runner) => ({
    id: runner.id,
    waitMs: loads.usePrefill(runner.id).computeWait(),
    isFar: runner.zone !== zone,
  }));
  waits.sort(
    (first, second) => first.waitMs - second.waitMs || Number(first.isFar) - Number(second.isFar),
  );
  const best = waits.find(({ id }) => id === cachedBy) ?? waits[0];
  if (best === undefined) return { kind: "none" };
  return best.waitMs > LONGEST_PREFILL_WAIT_MS ? { kind: "busy" } : { kind: "runner", id: best.id };
}

/** What of a decode runner may be filled. */
export interface DecodeLimits {
  readonly memoryTokens: number;
  /** Part of the runner's slots. */
  readonly slotShare: number;
}

/** Returns the decode runner whose memory stays the emptiest with the run, if it fits on any. */
export function chooseDecodeRunner(
  usable: readonly runners.Runner[],
  loads: poolLoads.PoolLoads,
  run: memoryForecast.ForecastRun,
  limits: DecodeLimits,
  now: number,
): string | undefined {
  let best: { readonly id: string; readonly peak: number } | undefined;
  for (const runner of usable) {
    if (runner.stage === runners.STAGE.prefill) continue;
    const load = loads.useDecode(runner.id);
    if (load.count >= Math.max(1, runner.slots * limits.slotShare)) continue;
    const peak = load.computePeak(run, now);
    const fits = peak <= limits.memoryTokens || load.count === 0;
    if (fits && (best === undefined || peak < best.peak)) best = { id: runner.id, peak };
  }
  return best?.id;
}

/** Returns the runner with the least work placed on it. */
export function chooseLeastLoaded(
  candidates: readonly runners.Runner[],
  loads: poolLoads.PoolLoads,
): runners.Runner | undefined {
  const sorted = candidates
    .map((runner) => {
      const waitMs = loads.usePrefill(runner.id).computeWait();
      return { runner, load: waitMs + loads.useDecode(runner.id).count };
    })
    .sort((first, second) => first.load - second.load);
  return sorted[0]?.runner;
}
