/**
 * Forecast of a decode runner's memory. Load pattern: long answers grow while they run, so a runner that
 * has room now may have none in two seconds, and then preempts what it has begun.
 */

/** A run on a decode runner. */
export interface ForecastRun {
  readonly promptTokens: number;
  /** Mean output of requests like this one. */
  readonly expectedOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Time at which decoding begins or began. */
  readonly startsAt: number;
  /** The caller's own estimate, `undefined` for a run that goes on with an answer. */
  readonly estimatedOutputTokens?: number | undefined;
}

/** A run that outlasts its estimate is expected to go on for this part of its age. */
const OVERDUE_SHARE = 0.35;

/** A run on the straight line of its growth. */
interface Growth {
  readonly promptTokens: number;
  readonly startsAt: number;
  readonly endsAt: number;
}

/**
 * Returns the most tokens that the runs are expected to hold at one time from `now` on.
 *
 * @param msPerToken - time of one output token of a run.
 */
export function computePeakTokens(
  runs: readonly ForecastRun[],
  now: number,
  msPerToken: number,
): number {
  const growths = runs.map((run) => computeGrowth(run, now, msPerToken));
  let peak = 0;
  // The sum only falls where a run ends, so its highest point is just before such an end.
  for (const { endsAt } of growths) {
    peak = Math.max(peak, computeTokensAt(growths, endsAt, msPerToken));
  }
  return peak;
}

function computeGrowth(run: ForecastRun, now: number, msPerToken: number): Growth {
  const { promptTokens, startsAt } = run;
  const latestEnd = startsAt + run.maxOutputTokens * msPerToken;
  const expectedEnd = startsAt + run.expectedOutputTokens * msPerToken;
  const overdueEnd = now + (now - startsAt) * OVERDUE_SHARE;
  const endsAt = Math.min(latestEnd, Math.max(expectedEnd, overdueEnd));
  return { promptTokens, startsAt, endsAt: Math.max(now, endsAt) };
}

function computeTokensAt(growths: readonly Growth[], at: number, msPerToken: number): number {
  let tokens = 0;
  for (const { promptTokens, startsAt, endsAt } of growths) {
    if (endsAt >= at) tokens += promptTokens + Math.max(0, at - startsAt) / msPerToken;
  }
  return tokens;
}
