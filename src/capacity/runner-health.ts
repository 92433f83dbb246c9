/** Failures and inter-token latencies of runners as observed by this node. */
import type * as clocks from "../kernel/clock.js";
import * as lru from "lru-cache";
import type * as messages from "./messages.js";

const MAX_RUNNERS = 10_000;
/** Exclusion after the first failure; each consecutive failure doubles it, up to the maximum. */
const MIN_EXCLUSION_MS = 1000;
const MAX_EXCLUSION_MS = 30_000;

interface RunnerRecord {
  gapSumMs: number;
  gapCount: number;
  failures: number;
  excludedUntil: number;
}

/** Observations by runner; the least recently used are evicted beyond the limit. */
export class RunnerHealth {
  readonly #clock: clocks.Clock;
  readonly #runners = new lru.LRUCache<string, RunnerRecord>({ max: MAX_RUNNERS });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Records a failed request and excludes the runner, twice as long after each consecutive failure. */
  recordFailure(runner: string): void {
    const record = this.#getRecord(runner);
    const exclusionMs = Math.min(MAX_EXCLUSION_MS, MIN_EXCLUSION_MS * 2 ** record.failures);
    record.failures += 1;
    record.excludedUntil = this.#clock.now() + exclusionMs;
  }

  /** Records a successful request, which ends the exclusion and resets its duration. */
  recordSuccess(runner: string): void {
    const record = this.#getRecord(runner);
    record.failures = 0;
    record.excludedUntil = 0;
  }

  /** Records the time between two tokens. */
  recordGap(runner: string, gapMs: number): void {
    const record = this.#getRecord(runner);
    record.gapSumMs += gapMs;
    record.gapCount += 1;
  }

  /** Whether the runner is excluded after a recent failure. */
  isExcluded(runner: string): boolean {
    return this.#getRecord(runner).excludedUntil > this.#clock.now();
  }

  /** Returns and resets the mean inter-token latency of each runner measured since the last call. */
  drainGaps(): readonly messages.RunnerGap[] {
    const gaps: messages.RunnerGap[] = [];
    for (const [runner, record] of this.#runners.entries()) {
      if (record.gapCount === 0) continue;
      gaps.push({ runner, gapMs: Math.ceil(record.gapSumMs / record.gapCount) });
      record.gapSumMs = 0;
      record.gapCount = 0;
    }
    return gaps;
  }

  #getRecord(runner: string): RunnerRecord {
    let record = this.#runners.get(runner);
    if (record === undefined) {
      record = {
        gapSumMs: 0,
        gapCount: 0,
        failures: 0,
        excludedUntil: 0,
      };
      this.#runners.set(runner, record);
    }
    return record;
  }
}
