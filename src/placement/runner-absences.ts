/** Runners that could not be reached or fell silent lately, as any VM told. */
import type * as clocks from "../kernel/clock.js";

/** Pause after the first failure; doubles with each further one until the runner answers. */
const FIRST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 8_000;

interface Absence {
  readonly until: number;
  readonly failures: number;
}

/** Keeps runners out of use for a while after a failure. */
export class RunnerAbsences {
  readonly #clock: clocks.Clock;
  readonly #absences = new Map<string, Absence>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  has(runnerId: string): boolean {
    return this.#clock.now() < (this.#absences.get(runnerId)?.until ?? 0);
  }

  recordFailure(runnerId: string): void {
    const failures = (this.#absences.get(runnerId)?.failures ?? 0) + 1;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures - 1));
    this.#absences.set(runnerId, { until: this.#clock.now() + pauseMs, failures });
  }

  recordAnswer(runnerId: string): void {
    this.#absences.delete(runnerId);
  }
}
