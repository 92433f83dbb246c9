/** Order in which the queued decode leases of a runner start. */
import type * as decodeLeases from "./decode-lease.js";

/** Steps per fair share: usage is rounded down to multiples of 1/4 of it; priority breaks ties. */
const USAGE_STEPS = 4;

/**
 * Returns the fraction of a caller's fair share that the caller was granted, if its demand exceeds
 * the share; 0 for all other callers.
 */
export type ComputeUsage = (caller: string) => number;

/** Sort key of a lease; lower values go first. */
interface Rank {
  readonly usageStep: number;
  readonly priority: number;
}

/** Properties of a request from which its rank is computed; a lower `priority` goes first. */
export interface RankInput {
  readonly caller: string;
  readonly priority: number;
}

/**
 * Returns the queued leases in the order in which they start: by usage rounded down to quarters of
 * the fair share (0 for callers whose demand is within it), then by priority number, then by age.
 * Granted leases are queued until they may start.
 */
export function listInStartOrder(
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

/** Counts the queued leases that start before a new request. */
export function countAhead(
  queue: readonly decodeLeases.DecodeLease[],
  request: RankInput,
  computeUsage: ComputeUsage,
): number {
  if (queue.length === 0) return 0;
  const ownRank = computeRank(request, computeUsage);
  return queue.filter(
    (lease) => compareRanks(computeRank(lease.request, computeUsage), ownRank) <= 0,
  ).length;
}

function computeRank({ caller, priority }: RankInput, computeUsage: ComputeUsage): Rank {
  return { usageStep: Math.floor(computeUsage(caller) * USAGE_STEPS), priority };
}

function compareRanks(left: Rank, right: Rank): number {
  return left.usageStep - right.usageStep || left.priority - right.priority;
}
