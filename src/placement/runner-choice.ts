/** Chooses the runners of a request by their load. */
import * as runners from "../runners/types.js";
import type * as memoryForecast from "./memory-forecast.js";
import type * as poolLoads from "./pool-loads.js";

/**
 * Maximum queue time of a prefill runner: beyond it the request stays in the scheduler's queue and
 * can still go to any runner.
 */
const MAX_PREFILL_QUEUE_MS = 150;

/** Result of choosing a prefill runner. */
export type PrefillChoice =
  | { readonly kind: "runner"; readonly id: string }
  /** Every prefill runner's queue is too long. */
  | { readonly kind: "busy" }
  /** There is no prefill runner: the decode runner processes the prompt itself. */
  | { readonly kind: "none" };

/** Properties of a prefill runner that a request prefers. */
export interface PrefillPreference {
  readonly zone: string;
  /** The runner that processed the prompt last. */
  readonly cachedBy: string | undefined;
  /** Version of the decode runner that fetches the KV cache, if only one will do. */
  readonly softwareVersion: string | undefined;
}

/**
 * Returns the prefill runner with the shortest queue, preferring the software version and then the zone on a tie. The runner
 * `cachedBy` goes before all others: when the response to a prefill is lost, the runner that
 * processed the prompt still has it in its cache for some seconds.
 */
export function choosePrefillRunner(
  usable: readonly runners.Runner[],
  loads: poolLoads.PoolLoads,
  { zone, cachedBy, softwareVersion }: PrefillPreference,
): PrefillChoice {
  const prefillRunners = usable.filter((runner) => runner.stage === runners.STAGE.prefill);
  const waits = prefillRunners.map((runner) => ({
    id: runner.id,
    waitMs: loads.getOrCreatePrefill(runner.id).computeQueueTime(),
    isOtherVersion: softwareVersion !== undefined && runner.softwareVersion !== softwareVersion,
    isOtherZone: runner.zone !== zone,
  }));
  waits.sort(
    (first, second) =>
      first.waitMs - second.waitMs ||
      Number(first.isOtherVersion) - Number(second.isOtherVersion) ||
      Number(first.isOtherZone) - Number(second.isOtherZone),
  );
  const best = waits.find(({ id }) => id === cachedBy) ?? waits[0];
  if (best === undefined) return { kind: "none" };
  return best.waitMs > MAX_PREFILL_QUEUE_MS ? { kind: "busy" } : { kind: "runner", id: best.id };
}

/** Capacity of a decode runner that may be used. */
export interface DecodeLimits {
  readonly memoryTokens: number;
  /** Fraction of the runner's slots. */
  readonly slotShare: number;
}

/**
 * Returns the decode runner with the lowest forecast memory peak including the run, `undefined` if
 * the run fits on none. A runner without runs accepts a run of any size.
 */
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
    const load = loads.getOrCreateDecode(runner.id);
    if (load.runCount >= Math.max(1, runner.slots * limits.slotShare)) continue;
    const peak = load.computePeakTokens(run, now);
    const fits = peak <= limits.memoryTokens || load.runCount === 0;
    if (fits && (best === undefined || peak < best.peak)) best = { id: runner.id, peak };
  }
  return best?.id;
}

/**
 * Returns the runner with the least load: prefill queue time in milliseconds plus number of decode
 * runs. The candidates have the same stage, so usually one of the two is 0.
 */
export function chooseLeastLoaded(
  candidates: readonly runners.Runner[],
  loads: poolLoads.PoolLoads,
): runners.Runner | undefined {
  const sorted = candidates
    .map((runner) => {
      const waitMs = loads.getOrCreatePrefill(runner.id).computeQueueTime();
      return { runner, load: waitMs + loads.getOrCreateDecode(runner.id).runCount };
    })
    .sort((first, second) => first.load - second.load);
  return sorted[0]?.runner;
}
