/** Checks that a runner gets no more requests than it named as its limit, and how much of the limit arrives. */

/** A limit that a runner named for a time. */
export interface NamedLimit {
  readonly runner: string;
  readonly perSecond: number;
  readonly from: number;
  readonly to: number;
}

/** An arrival at a runner. */
export interface LimitedArrival {
  readonly runner: string;
  readonly at: number;
}

/** Time from the first answer with a limit to the first window that counts; `stable_window_ms`. */
const STABLE_WINDOW_MS = 3_000;
const WINDOW_MS = 4_000;
/** Arrivals in a window as a part of the limit, and beyond it, that the platform allows. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const MS_PER_S = 1_000;

/** What a runner got while it named one limit. */
export interface LimitUse {
  readonly runner: string;
  /** Most arrivals in one window. */
  readonly worst: number;
  readonly allowed: number;
  /** Arrivals as a part of the limit, over the whole time that counts. */
  readonly usedShare: number;
}

/** Computes the use of a limit; `undefined` if it was named for less than one window that counts. */
export function computeLimitUse(
  { runner, perSecond, from, to }: NamedLimit,
  arrivals: readonly LimitedArrival[],
): LimitUse | undefined {
  const countedFrom = from + STABLE_WINDOW_MS;
  if (to - countedFrom < WINDOW_MS) return undefined;
  const times = arrivals
    .filter((one) => one.runner === runner && one.at >= countedFrom && one.at < to)
    .map(({ at }) => at);
  const counts = times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS));
  return {
    runner,
    worst: Math.max(0, ...counts.map(({ length }) => length)),
    allowed: Math.floor((ALLOWED_FACTOR * perSecond * WINDOW_MS) / MS_PER_S) + ALLOWED_EXTRA,
    usedShare: times.length / ((perSecond * (to - countedFrom)) / MS_PER_S),
  };
}
