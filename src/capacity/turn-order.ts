/** Order of the turns of queued leases. */
import type * as decodeLeases from "./decode-lease.js";

/** Tells how far a caller is above its fair share; 0 when it is within it. */
export type ComputeExcess = (caller: string) => number;

/** Returns a queue in the order of turns: callers within their shares first, then by priority, then by age. */
export function listByTurn(
  queue: readonly decodeLeases.DecodeLease[],
  computeExcess: ComputeExcess,
): readonly decodeLeases.DecodeLease[] {
  if (queue.length < 2) return queue;
  const excess = new Map<string, number>();
  for (const { request } of queue) excess.set(request.caller, computeExcess(request.caller));
  return [...queue].sort(
    (left, right) =>
      (excess.get(left.request.caller) ?? 0) - (excess.get(right.request.caller) ?? 0) ||
      left.request.priority - right.request.priority ||
      left.grantedAt - right.grantedAt,
  );
}

/** Counts those in a queue whose turn comes before that of a new request of the caller. */
export function countAhead(
  queue: readonly decodeLeases.DecodeLease[],
  caller: string,
  computeExcess: ComputeExcess,
): number {
  if (queue.length === 0) return 0;
  const own = computeExcess(caller);
  return queue.filter((lease) => computeExcess(lease.request.caller) <= own).length;
}
