/**
 * Forecasts the KV cache usage of a decode runner. Long responses grow while they are generated, so
 * a runner that has free memory now may run out within two seconds and then preempts running
 * requests.
 */

/** A run on a decode runner, as input of the forecast. */
export interface ForecastRun {
  readonly promptTokens: number;
  /** Mean output of requests with the same estimate. */
  readonly expectedOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Time at which decoding starts or started. */
  readonly startsAt: number;
  /**
   * The caller's estimate of the output, which the scheduler reads and the forecast does not use;
   * `undefined` for a run that continues a partly delivered response.
   */
  readonly estimatedOutputTokens?: number | undefined;
}

/** Every run is expected to continue for at least this fraction of its age, up to its output limit. */
const OVERDUE_EXTENSION_FRACTION = 0.35;

/** Linear memory growth of a run. */
interface MemoryGrowth {
  readonly promptTokens: number;
  readonly startsAt: number;
  readonly endsAt: number;
}

/**
 * Returns the peak number of tokens that the runs are expected to hold at any time from `now` on.
 *
 * @param msPerToken - decode time per output token of a run.
 */
export function computePeakTokens(
  runs: readonly ForecastRun[],
  now: number,
  msPerToken: number,
): number {
  const growths = runs.map((run) => computeGrowth(run, now, msPerToken));
  let peak = 0;
  // The sum only falls where a run ends, so its maximum is at one of the ends.
  for (const { endsAt } of growths) {
    peak = Math.max(peak, computeTokensAt(growths, endsAt, msPerToken));
  }
  return peak;
}

function computeGrowth(run: ForecastRun, now: number, msPerToken: number): MemoryGrowth {
  const { promptTokens, startsAt } = run;
  const latestEnd = startsAt + run.maxOutputTokens * msPerToken;
  const expectedEnd = startsAt + run.expectedOutputTokens * msPerToken;
  const overdueEnd = now + (now - startsAt) * OVERDUE_EXTENSION_FRACTION;
  const endsAt = Math.min(latestEnd, Math.max(expectedEnd, overdueEnd));
  return { promptTokens, startsAt, endsAt: Math.max(now, endsAt) };
}

function computeTokensAt(growths: readonly MemoryGrowth[], at: number, msPerToken: number): number {
  let tokens = 0;
  for (const { promptTokens, startsAt, endsAt } of growths) {
    if (endsAt >= at) tokens += promptTokens + Math.max(0, at - startsAt) / msPerToken;
  }
  return tokens;
}
