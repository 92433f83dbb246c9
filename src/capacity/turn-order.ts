/** Order of the turns of queued leases. */
import type * as decodeLeases from "./decode-lease.js";

/** Uses of shares that differ by less than one step count as equal. */
const STEPS = 4;

/** Tells what a caller above its fair share has had of it; 0 for a caller within its share. */
export type ComputeUse = (caller: string) => number;

/** Place of a lease in the order; the lower go first. */
interface Rank {
  readonly use: number;
  readonly priority: number;
}

/** Whom a rank is computed for. */
export interface Ranked {
  readonly caller: string;
  readonly priority: number;
}

/**
 * Returns a queue in the order of turns: callers within their fair share first, then those that had
 * less of it; among equals by priority, then by age.
 */
export function listByTurn(
  queue: readonly decodeLeases.DecodeLease[],
  computeUse: ComputeUse,
): readonly decodeLeases.DecodeLease[] {
  if (queue.length < 2) return queue;
  const ranked = queue.map((lease) => ({ lease, rank: computeRank(lease.request, computeUse) }));
  ranked.sort(
    (left, right) =>
      compareRanks(left.rank, right.rank) || left.lease.grantedAt - right.lease.grantedAt,
  );
  return ranked.map(({ lease }) => lease);
}

/** Counts those in a queue whose turn comes before that of a new request. */
export function countAhead(
  queue: readonly decodeLeases.DecodeLease[],
  request: Ranked,
  computeUse: ComputeUse,
): number {
  if (queue.length === 0) return 0;
  const own = computeRank(request, computeUse);
  return queue.filter((lease) => compareRanks(computeRank(lease.request, computeUse), own) <= 0)
    .length;
}

function computeRank({ caller, priority }: Ranked, computeUse: ComputeUse): Rank {
  return { use: Math.floor(computeUse(caller) * STEPS), priority };
}

function compareRanks(left: Rank, right: Rank): number {
  return left.use - right.use || left.priority - right.priority;
}
