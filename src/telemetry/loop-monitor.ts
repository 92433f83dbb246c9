/** Measures how late the timers of this process fire: the time for which nothing is read, answered or judged. */
import * as clocks from "../kernel/clock.js";
import * as logEvents from "./log-events.js";
import type * as types from "./types.js";

const SAMPLE_PERIOD_MS = 250;
/** Delay from which on peers may take this VM for silent. */
const LOGGED_DELAY_MS = 500;
const LOG_PERIOD_MS = 5_000;

/** Services that the monitor uses. */
export interface LoopMonitorOptions {
  readonly clock: clocks.Clock;
  readonly log: types.EventLog;
  readonly metrics: types.Metrics;
}

/** Records the delay of the event loop as the duration `event_loop_delay`, and logs long delays. */
export class LoopMonitor implements AsyncDisposable {
  readonly #options: LoopMonitorOptions;
  readonly #controller = new AbortController();
  #nextLogAt = 0;
  #longestMs = 0;

  constructor(options: LoopMonitorOptions) {
    this.#options = options;
  }

  /** Samples until disposal. */
  async run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#controller;
    for (;;) {
      const dueAt = clock.now() + SAMPLE_PERIOD_MS;
      try {
        await clocks.sleep(clock, SAMPLE_PERIOD_MS, signal);
      } catch {
        // Aborted by disposal.
        return;
      }
      this.#record(Math.max(0, clock.now() - dueAt));
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    return Promise.resolve();
  }

  #record(delayMs: number): void {
    const { clock, log, metrics } = this.#options;
    metrics.recordDuration("event_loop_delay", delayMs);
    this.#longestMs = Math.max(this.#longestMs, delayMs);
    if (this.#longestMs < LOGGED_DELAY_MS || clock.now() < this.#nextLogAt) return;
    const fields = { longestMs: Math.round(this.#longestMs) };
    log.write(logEvents.LOG_EVENTS.eventLoopDelayed, fields);
    this.#longestMs = 0;
    this.#nextLogAt = clock.now() + LOG_PERIOD_MS;
  }
}
