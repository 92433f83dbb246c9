/** Checks of the retry budget and of the limit on runners per request, from what runners received. */

/** A request as a runner received it, or a prefill or decode of it. */
export interface Arrival {
  /** Id of the caller's request. */
  readonly call: string;
  readonly service: string;
  readonly runner: string;
  /** Monotonic time in ms. */
  readonly at: number;
  readonly isPrefill: boolean;
  /** Whether the runner began to run it; false when it answered that it was not executed. */
  readonly hasRun: boolean;
}

/** A request of a caller. */
export interface SentCall {
  readonly call: string;
  readonly service: string;
  readonly at: number;
  /** Name of the gateway that got it. */
  readonly gateway?: string;
}

/** Limits of the retry budget of a service. */
export interface BudgetRule {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/** The window in which the repeats of a service are the largest part of what is allowed. */
export interface WorstWindow {
  /** Arrivals beyond the first of each request in the window. */
  readonly repeats: number;
  readonly allowed: number;
}

/** Returns the arrivals of a request that count: all but the first prefill that ran. */
function listCounted(arrivals: readonly Arrival[]): Arrival[] {
  const freePrefill = arrivals.find(({ isPrefill, hasRun }) => isPrefill && hasRun);
  return arrivals.filter((arrival) => arrival !== freePrefill);
}

function createGroups(arrivals: readonly Arrival[]): Map<string, Arrival[]> {
  const groups = new Map<string, Arrival[]>();
  for (const arrival of arrivals) {
    const group = groups.get(arrival.call);
    if (group === undefined) groups.set(arrival.call, [arrival]);
    else group.push(arrival);
  }
  return groups;
}

/** Returns the times of the arrivals beyond the first of each request, sorted. */
export function listRepeats(arrivals: readonly Arrival[]): number[] {
  const repeats = [...createGroups(arrivals).values()].flatMap((group) =>
    listCounted(group).slice(1),
  );
  return repeats.map(({ at }) => at).sort((first, second) => first - second);
}

/**
 * Returns the worst window of a service. The requests are counted in the window, the one before it or the
 * one half a window before it, whichever has most.
 */
export function computeWorstWindow(
  rule: BudgetRule,
  calls: readonly SentCall[],
  arrivals: readonly Arrival[],
): WorstWindow {
  const { ratio, slack, windowMs } = rule;
  const repeats = listRepeats(arrivals);
  const countCalls = (from: number): number =>
    calls.filter(({ at }) => at >= from && at < from + windowMs).length;
  let worst: WorstWindow = { repeats: 0, allowed: slack };
  for (const from of repeats.flatMap((at) => [at, at - windowMs + 1])) {
    const count = repeats.filter((at) => at >= from && at < from + windowMs).length;
    const requests = Math.max(
      ...[from, from - windowMs / 2, from - windowMs].map((start) => countCalls(start)),
    );
    const allowed = ratio * requests + slack;
    if (count / allowed > worst.repeats / worst.allowed) worst = { repeats: count, allowed };
  }
  return worst;
}

/**
 * Returns the requests that ran on more runners than `maxAttempts`; the first prefill that ran does not
 * count, further ones do.
 *
 * @param isExcused - whether a runner ended or was cut off after it had received the request.
 */
export function listOverAttempted(
  arrivals: readonly Arrival[],
  maxAttempts: number,
  isExcused: (arrival: Arrival) => boolean = () => false,
): string[] {
  return [...createGroups(arrivals)].flatMap(([call, group]) => {
    const counted = listCounted(group).filter((arrival) => arrival.hasRun && !isExcused(arrival));
    return new Set(counted.map(({ runner }) => runner)).size > maxAttempts ? [call] : [];
  });
}
