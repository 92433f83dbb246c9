/** Tracks which requests this node has in flight on each runner, for crash attribution. */
import type * as clocks from "../kernel/clock.js";

/** Streams that break on one runner within this time count as one crash. */
const CRASH_WINDOW_MS = 1_000;

/** Fingerprints in flight by runner, with the number of requests of each. */
export class InFlightFingerprints {
  readonly #clock: clocks.Clock;
  readonly #byRunner = new Map<string, Map<string, number>>();
  readonly #crashedAt = new Map<string, number>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Records a fingerprint as in flight on a runner until the returned object is disposed of. */
  add(runner: string, fingerprint: string): Disposable {
    const counts = this.#byRunner.get(runner) ?? new Map<string, number>();
    this.#byRunner.set(runner, counts);
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    return {
      [Symbol.dispose]: () => {
        this.#remove(runner, counts, fingerprint);
      },
    };
  }

  /**
   * Records a broken stream and returns the fingerprints implicated in the crash: all in flight
   * when the first stream breaks. Later breaks of the same crash return none, because the set
   * in flight shrinks as the streams end.
   */
  recordBrokenStream(runner: string, fingerprint: string): readonly string[] {
    const now = this.#clock.now();
    this.#removeOldCrashes(now);
    if (this.#crashedAt.has(runner)) return [];
    this.#crashedAt.set(runner, now);
    return [...new Set([fingerprint, ...(this.#byRunner.get(runner)?.keys() ?? [])])];
  }

  #removeOldCrashes(now: number): void {
    for (const [runner, crashedAt] of this.#crashedAt) {
      if (now - crashedAt >= CRASH_WINDOW_MS) this.#crashedAt.delete(runner);
    }
  }

  #remove(runner: string, counts: Map<string, number>, fingerprint: string): void {
    const remaining = (counts.get(fingerprint) ?? 1) - 1;
    if (remaining > 0) counts.set(fingerprint, remaining);
    else counts.delete(fingerprint);
    if (counts.size === 0) this.#byRunner.delete(runner);
  }
}
