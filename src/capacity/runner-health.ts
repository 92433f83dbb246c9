/** What this node observed of runners: failures and token gaps. */
import type * as clocks from "../kernel/clock.js";
import * as lru from "lru-cache";
import * as estimates from "./estimates.js";

const MAX_RUNNERS = 10_000;
const FIRST_EXCLUSION_MS = 1000;
const MAX_EXCLUSION_MS = 30_000;
/** Interval between requests sent to a slow runner to learn whether it recovered. */
const SLOW_PROBE_INTERVAL_MS = 5000;

interface RunnerRecord {
  readonly gaps: estimates.Estimate;
  failures: number;
  excludedUntil: number;
  nextProbeAt: number;
}

/** Observations by runner; those longest unused are forgotten beyond the limit. */
export class RunnerHealth {
  readonly #clock: clocks.Clock;
  readonly #runners = new lru.LRUCache<string, RunnerRecord>({ max: MAX_RUNNERS });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Records a failed request: the runner is left out for a time that doubles with each failure. */
  recordFailure(runner: string): void {
    const record = this.#getRecord(runner);
    const exclusionMs = Math.min(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** record.failures);
    record.failures += 1;
    record.excludedUntil = this.#clock.now() + exclusionMs;
  }

  /** Records that the runner served a request. */
  recordSuccess(runner: string): void {
    const record = this.#getRecord(runner);
    record.failures = 0;
    record.excludedUntil = 0;
  }

  /** Records an observed gap between tokens. */
  recordGap(runner: string, gapMs: number): void {
    this.#getRecord(runner).gaps.add(gapMs);
  }

  /** Whether the runner failed lately and is left out. */
  isExcluded(runner: string): boolean {
    return this.#getRecord(runner).excludedUntil > this.#clock.now();
  }

  /** Whether the runner's gaps are above the target and no probe is due. */
  isSlow(runner: string, targetMs: number): boolean {
    const record = this.#getRecord(runner);
    return (record.gaps.mean ?? 0) > targetMs && record.nextProbeAt > this.#clock.now();
  }

  /** Records that a request goes to the runner, which is the probe when it is slow. */
  recordSend(runner: string): void {
    this.#getRecord(runner).nextProbeAt = this.#clock.now() + SLOW_PROBE_INTERVAL_MS;
  }

  #getRecord(runner: string): RunnerRecord {
    let record = this.#runners.get(runner);
    if (record === undefined) {
      record = {
        gaps: new estimates.Estimate(),
        failures: 0,
        excludedUntil: 0,
        nextProbeAt: 0,
      };
      this.#runners.set(runner, record);
    }
    return record;
  }
}
