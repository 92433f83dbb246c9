/**
 * Clock and timers as a service, which tests replace with a fake. Durations are in milliseconds.
 */
import * as perfHooks from "node:perf_hooks";

/** Source of time and timers. */
export interface Clock {
  /**
   * Returns monotonic milliseconds since an arbitrary start; unaffected by changes of the wall
   * clock.
   */
  now(): number;
  /** Returns wall-clock milliseconds since the Unix epoch. */
  wallTime(): number;
  /**
   * Calls `callback` once after `delayMs`, or after the longest delay that the clock supports.
   *
   * @returns a function that cancels the timer; safe to call more than once.
   */
  schedule(delayMs: number, callback: () => void): () => void;
}

/** Longest delay of Node.js timers, 24 days, which fire a longer one at once. */
export const MAX_DELAY_MS = 2_147_483_647;

/**
 * Delay of a timer from which on the process may have stood still. What arrived meanwhile is then read before the timer's callback
 * runs, so that a time limit does not end a call whose answer is there.
 */
const LATE_TIMER_MS = 25;

/**
 * Creates the clock that reads the system time.
 *
 * @example const clock = createSystemClock(); clock.now();
 */
export function createSystemClock(): Clock {
  return {
    now: () => perfHooks.performance.now(),
    wallTime: () => Date.now(),
    schedule: (delayMs, callback) => {
      const boundedMs = Math.min(delayMs, MAX_DELAY_MS);
      const dueAt = perfHooks.performance.now() + boundedMs;
      let deferred: NodeJS.Immediate | undefined;
      const timer = setTimeout(() => {
        // Node.js runs the timers that are due before it reads from sockets, and immediates after that.
        if (perfHooks.performance.now() - dueAt < LATE_TIMER_MS) callback();
        else deferred = setImmediate(callback);
      }, boundedMs);
      return () => {
        clearTimeout(timer);
        clearImmediate(deferred);
      };
    },
  };
}

/**
 * Waits for `delayMs`.
 *
 * @throws the signal's reason when `signal` aborts first.
 * @example await sleep(clock, 200, signal);
 */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(signal.reason as Error);
      return;
    }
    const onAbort = (): void => {
      cancel();
      reject(signal?.reason as Error);
    };
    const cancel = clock.schedule(delayMs, () => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    });
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

/** An abort signal with a time limit. Disposing of it stops the timer. */
export interface TimeLimit extends Disposable {
  readonly signal: AbortSignal;
}

/**
 * Creates a signal that aborts after `limitMs` with a `TimeoutError`, or together with `parent` and
 * with its reason.
 *
 * @returns the limit; dispose of it to stop the timer.
 * @example using limit = createTimeLimit(clock, 500, signal); await send(limit.signal);
 */
export function createTimeLimit(clock: Clock, limitMs: number, parent?: AbortSignal): TimeLimit {
  const controller = new AbortController();
  const onParentAbort = (): void => {
    controller.abort(parent?.reason);
  };
  const cancel = clock.schedule(Math.max(0, limitMs), () => {
    controller.abort(new DOMException(`no result within ${limitMs} ms`, "TimeoutError"));
  });
  if (parent?.aborted) onParentAbort();
  parent?.addEventListener("abort", onParentAbort, { once: true });
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      cancel();
      parent?.removeEventListener("abort", onParentAbort);
    },
  };
}
