/** Exponential backoff for runners that any VM reported as unreachable or unresponsive. */
import type * as clocks from "../kernel/clock.js";

/** Backoff after the first failure; doubles with each further one until the runner answers. */
const INITIAL_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 8_000;

interface BackoffEntry {
  readonly until: number;
  readonly failures: number;
}

/** Excludes runners from placement for a time after a failure. */
export class RunnerBackoff {
  readonly #clock: clocks.Clock;
  readonly #entries = new Map<string, BackoffEntry>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Whether the backoff of a runner has not ended. */
  has(runnerId: string): boolean {
    return this.#clock.now() < (this.#entries.get(runnerId)?.until ?? 0);
  }

  /** Starts or extends the backoff of a runner. */
  recordFailure(runnerId: string): void {
    const failures = (this.#entries.get(runnerId)?.failures ?? 0) + 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1));
    this.#entries.set(runnerId, { until: this.#clock.now() + backoffMs, failures });
  }

  /** Ends the backoff of a runner that answered. */
  recordAnswer(runnerId: string): void {
    this.#entries.delete(runnerId);
  }
}
