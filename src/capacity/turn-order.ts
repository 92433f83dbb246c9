/** Order in which queued decode leases start. */
import type * as decodeLeases from "./decode-lease.js";

/** Steps per fair share to which usage is rounded down; within a step, priority decides. */
const USAGE_STEPS = 4;

/** Returns the usage of its fair share by a caller that exceeds it; 0 for all other callers. */
export type ComputeUsage = (caller: string) => number;

/** Sort key of a lease; lower values go first. */
interface Rank {
  readonly usage: number;
  readonly priority: number;
}

/** Properties of a request that determine its rank. */
export interface Ranked {
  readonly caller: string;
  readonly priority: number;
}

/**
 * Returns a queue in the order in which it is served: callers within their fair share first, then
 * those with the lower usage of it; at equal usage by priority, then by age.
 */
export function listByRank(
  queue: readonly decodeLeases.DecodeLease[],
  computeUsage: ComputeUsage,
): readonly decodeLeases.DecodeLease[] {
  if (queue.length < 2) return queue;
  const ranked = queue.map((lease) => ({ lease, rank: computeRank(lease.request, computeUsage) }));
  ranked.sort(
    (left, right) =>
      compareRanks(left.rank, right.rank) || left.lease.grantedAt - right.lease.grantedAt,
  );
  return ranked.map(({ lease }) => lease);
}

/** Counts the queued leases that are served before a new request. */
export function countAhead(
  queue: readonly decodeLeases.DecodeLease[],
  request: Ranked,
  computeUsage: ComputeUsage,
): number {
  if (queue.length === 0) return 0;
  const own = computeRank(request, computeUsage);
  return queue.filter((lease) => compareRanks(computeRank(lease.request, computeUsage), own) <= 0)
    .length;
}

function computeRank({ caller, priority }: Ranked, computeUsage: ComputeUsage): Rank {
  return { usage: Math.floor(computeUsage(caller) * USAGE_STEPS), priority };
}

function compareRanks(left: Rank, right: Rank): number {
  return left.usage - right.usage || left.priority - right.priority;
}
