/**
 * Time windows in which runners load weights. Wall-clock time is divided into cycles of equal
 * length. In each cycle, each desired runner has one window, long enough for its load at
 * the weight store's bandwidth. Every node computes the same windows from the document and the wall
 * clock, without messages between nodes, so loads that different allocators start do not overlap.
 */
import type * as runnerOrder from "./runner-order.js";

/**
 * Fraction of a window, from its start, within which a load may start so that it ends within the
 * window.
 */
const START_FRACTION = 1 / 3;
/**
 * Minimum length of a window; its initial `START_FRACTION` must be long enough for a reconciliation
 * pass.
 */
const MIN_WINDOW_MS = 3000;
const MS_PER_SECOND = 1000;

/** Whether and when a runner may start to load weights, in wall-clock milliseconds. */
export interface LoadWindow {
  /**
   * Whether the load may start now: the window has begun and `START_FRACTION` of it has not passed.
   */
  readonly isOpen: boolean;
  /** Start of its next window, later than the current time. */
  readonly nextAt: number;
}

/**
 * Computes a runner's load window.
 *
 * @param bytesPerSecond - bandwidth of the weight store.
 * @example computeLoadWindow(desired, 1e9, "p1", clock.wallTime()).isOpen;
 */
export function computeLoadWindow(
  desired: readonly runnerOrder.DesiredRunner[],
  bytesPerSecond: number,
  runner: string,
  wallTime: number,
): LoadWindow {
  const windows = desired.map((entry) => ({
    name: entry.runner.name,
    durationMs: computeWindowDuration(entry.model.weightBytes, bytesPerSecond),
  }));
  const cycleMs = windows.reduce((sum, window) => sum + window.durationMs, 0);
  const index = windows.findIndex((window) => window.name === runner);
  const ownMs = windows[index]?.durationMs ?? 0;
  const offsetMs = windows.slice(0, index).reduce((sum, window) => sum + window.durationMs, 0);
  const cycleStart = wallTime - (wallTime % cycleMs);
  const startsAt = cycleStart + offsetMs;
  const isOpen = wallTime >= startsAt && wallTime < startsAt + ownMs * START_FRACTION;
  const nextAt = startsAt > wallTime ? startsAt : startsAt + cycleMs;
  return { isOpen, nextAt };
}

function computeWindowDuration(weightBytes: number, bytesPerSecond: number): number {
  const loadMs = (weightBytes / bytesPerSecond) * MS_PER_SECOND;
  return Math.max(MIN_WINDOW_MS, Math.ceil(loadMs / (1 - START_FRACTION)));
}
