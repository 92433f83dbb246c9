/**
 * Turns to load weights: wall-clock time is cut into cycles in which each runner of the document
 * has one turn, as long as its load takes at the weight store's rate. Every node computes the same
 * turns from the document alone, so loads of different allocators don't overlap.
 */
import type * as runnerOrder from "./runner-order.js";

/** A load may begin in this first part of its turn, and ends within the turn. */
const START_SHARE = 1 / 3;
/** Shortest turn, so that a pass of the reconciler fits into its beginning. */
const MIN_TURN_MS = 3000;
const MS_PER_SECOND = 1000;

/** When a runner may begin to load, in wall-clock milliseconds. */
export interface LoadTurn {
  /** Whether it may begin now. */
  readonly isOpen: boolean;
  /** Start of its next turn. */
  readonly nextAt: number;
}

/**
 * Computes a runner's turn.
 *
 * @param bytesPerSecond - rate of the weight store.
 * @example computeLoadTurn(desired, 1e9, "p1", clock.wallTime()).isOpen;
 */
export function computeLoadTurn(
  desired: readonly runnerOrder.DesiredRunner[],
  bytesPerSecond: number,
  runner: string,
  wallTime: number,
): LoadTurn {
  const turns = desired.map((entry) => ({
    name: entry.runner.name,
    durationMs: computeTurnDuration(entry.model.weightBytes, bytesPerSecond),
  }));
  const cycleMs = turns.reduce((sum, turn) => sum + turn.durationMs, 0);
  const index = turns.findIndex((turn) => turn.name === runner);
  const ownMs = turns[index]?.durationMs ?? 0;
  const offsetMs = turns.slice(0, index).reduce((sum, turn) => sum + turn.durationMs, 0);
  const cycleStart = wallTime - (wallTime % cycleMs);
  const startsAt = cycleStart + offsetMs;
  const isOpen = wallTime >= startsAt && wallTime < startsAt + ownMs * START_SHARE;
  const nextAt = startsAt > wallTime ? startsAt : startsAt + cycleMs;
  return { isOpen, nextAt };
}

function computeTurnDuration(weightBytes: number, bytesPerSecond: number): number {
  const loadMs = (weightBytes / bytesPerSecond) * MS_PER_SECOND;
  return Math.max(MIN_TURN_MS, Math.ceil(loadMs / (1 - START_SHARE)));
}
