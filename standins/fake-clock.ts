/** Simulated clocks for tests: time advances only on request, and nodes' timers can be paused. */
import * as fakeTimers from "@sinonjs/fake-timers";
import type * as clocks from "../src/kernel/clock.js";

const EPOCH_MS = Date.UTC(2026, 0, 1);
/** Minimum delay of Node.js timers, which round shorter delays up. */
const MIN_DELAY_MS = 1;

/** The clock of one emulated process. */
export interface NodeClock extends clocks.Clock {
  readonly paused: boolean;
  /**
   * Defers timers that become due from now on, as in a suspended process (SIGSTOP); time keeps
   * advancing.
   */
  pause(): void;
  /**
   * Schedules the deferred timers for the next millisecond, in the order in which they became due.
   */
  resume(): void;
}

/** The simulated clock shared by all nodes of a test. */
export interface FakeClock extends clocks.Clock {
  /**
   * Advances time timer by timer; between two timers, runs pending microtasks and one turn of the
   * event loop.
   *
   * @example await clock.advance(3_000);
   */
  advance(durationMs: number): Promise<void>;
  /** Runs pending microtasks and one turn of the event loop without advancing time. */
  settle(): Promise<void>;
  /** Creates the clock of one process; its wall clock is ahead of this one by `wallSkewMs`. */
  createNodeClock(wallSkewMs?: number): NodeClock;
}

/**
 * Creates a clock whose time changes only through `advance`.
 *
 * @example const clock = createFakeClock(); const run = sleep(clock, 50); await clock.advance(50);
 */
export function createFakeClock(): FakeClock {
  return new SinonClock();
}

class SinonClock implements FakeClock {
  readonly #timers = fakeTimers.createClock(EPOCH_MS);

  now(): number {
    return this.#timers.now - EPOCH_MS;
  }

  wallTime(): number {
    return this.#timers.now;
  }

  schedule(delayMs: number, callback: () => void): () => void {
    const timer = this.#timers.setTimeout(callback, Math.max(MIN_DELAY_MS, Math.ceil(delayMs)));
    return () => {
      this.#timers.clearTimeout(timer);
    };
  }

  async advance(durationMs: number): Promise<void> {
    const end = { reached: false };
    await this.settle();
    this.schedule(durationMs, () => {
      end.reached = true;
    });
    while (!end.reached) {
      this.#timers.next();
      await this.settle();
    }
    this.#timers.tick(0);
    await this.settle();
  }

  settle(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }

  createNodeClock(wallSkewMs = 0): NodeClock {
    return new PausableClock(this, wallSkewMs);
  }
}

interface DeferrableTimer {
  readonly callback: () => void;
  cancelled: boolean;
}

class PausableClock implements NodeClock {
  readonly #base: clocks.Clock;
  readonly #wallSkewMs: number;
  #deferredTimers: DeferrableTimer[] = [];
  #paused = false;

  constructor(base: clocks.Clock, wallSkewMs: number) {
    this.#base = base;
    this.#wallSkewMs = wallSkewMs;
  }

  get paused(): boolean {
    return this.#paused;
  }

  now(): number {
    return this.#base.now();
  }

  wallTime(): number {
    return this.#base.wallTime() + this.#wallSkewMs;
  }

  schedule(delayMs: number, callback: () => void): () => void {
    const timer: DeferrableTimer = { callback, cancelled: false };
    const cancelBase = this.#base.schedule(delayMs, () => {
      this.#handleTimer(timer);
    });
    return () => {
      timer.cancelled = true;
      cancelBase();
    };
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    const deferredTimers = this.#deferredTimers;
    this.#deferredTimers = [];
    for (const timer of deferredTimers) {
      this.#base.schedule(0, () => {
        this.#handleTimer(timer);
      });
    }
  }

  #handleTimer(timer: DeferrableTimer): void {
    if (timer.cancelled) return;
    if (this.#paused) this.#deferredTimers.push(timer);
    else timer.callback();
  }
}
