/** Checks of the quota of a team, from what callers sent and what runners received. */

/** A request of a team. */
export interface QuotaRequest {
  readonly team: string;
  /** Cost in the unit of the quota. */
  readonly cost: number;
  /** Monotonic time in ms at which its caller sent it. */
  readonly sentAt: number;
  /** Monotonic time in ms at which it first arrived at a runner that ran it, if it did. */
  readonly arrivedAt?: number | undefined;
}

/** Limit on what the requests of one team that run may cost. */
export interface QuotaRule {
  readonly perSecond: number;
  readonly burst: number;
  readonly windowMs: number;
  /** Part of the limit by which it may be exceeded. */
  readonly over: number;
  /** Cost that is allowed in addition. */
  readonly slack: number;
}

/** The window in which the requests that ran cost most. */
export interface QuotaUse {
  /** Cost of the requests that were both sent and run in that window. */
  readonly worst: number;
  readonly allowed: number;
  /** Start of that window, monotonic time in ms. */
  readonly from: number;
}

const MS_PER_S = 1_000;

/** Returns what the requests that run in a window may cost. */
export function computeAllowed({ perSecond, burst, windowMs, over, slack }: QuotaRule): number {
  return ((perSecond * windowMs) / MS_PER_S + burst) * (1 + over) + slack;
}

/** Returns the worst window of a team, of those that start at `from` or later. */
export function computeQuotaUse(
  rule: QuotaRule,
  requests: readonly QuotaRequest[],
  from = -Infinity,
): QuotaUse {
  const starts = requests.map(({ sentAt }) => sentAt).filter((sentAt) => sentAt >= from);
  const allowed = computeAllowed(rule);
  let use: QuotaUse = { worst: 0, allowed, from };
  for (const start of starts) {
    const worst = computeCost(requests, start, start + rule.windowMs);
    if (worst > use.worst) use = { worst, allowed, from: start };
  }
  return use;
}

/** Returns the cost of the requests that were both sent and run in a time. */
export function computeCost(requests: readonly QuotaRequest[], from: number, to: number): number {
  return requests
    .filter(({ sentAt, arrivedAt = Infinity }) => sentAt >= from && arrivedAt < to)
    .reduce((sum, { cost }) => sum + cost, 0);
}
