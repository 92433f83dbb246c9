/** Which request contents run at which runner from this node, to accuse the right ones of a crash. */
import type * as clock from "../kernel/clock.js";

/** Streams that break at one runner within this time are one crash. */
const CRASH_WINDOW_MS = 1_000;

/** Counts fingerprints in flight by runner. */
export class InFlightFingerprints {
  readonly #clock: clock.Clock;
  readonly #byRunner = new Map<string, Map<string, number>>();
  readonly #crashedAt = new Map<string, number>();

  constructor(timeSource: clock.Clock) {
    this.#clock = timeSource;
  }

  /** Records that a fingerprint runs at a runner until the result is disposed of. */
  add(runner: string, fingerprint: string): Disposable {
    const running = this.#byRunner.get(runner) ?? new Map<string, number>();
    this.#byRunner.set(runner, running);
    running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
    return {
      [Symbol.dispose]: () => {
        this.#remove(runner, running, fingerprint);
      },
    };
  }

  /**
   * Records a broken stream and returns the contents that its crash accuses: all in flight at the
   * first break, and nothing at later ones of the same crash, whose sets shrink as streams end.
   */
  recordBreak(runner: string, fingerprint: string): readonly string[] {
    const now = this.#clock.now();
    this.#removeOldCrashes(now);
    if (this.#crashedAt.has(runner)) return [];
    this.#crashedAt.set(runner, now);
    return [...new Set([fingerprint, ...(this.#byRunner.get(runner)?.keys() ?? [])])];
  }

  #removeOldCrashes(now: number): void {
    for (const [runner, at] of this.#crashedAt) {
      if (now - at >= CRASH_WINDOW_MS) this.#crashedAt.delete(runner);
    }
  }

  #remove(runner: string, running: Map<string, number>, fingerprint: string): void {
    const left = (running.get(fingerprint) ?? 1) - 1;
    if (left > 0) running.set(fingerprint, left);
    else running.delete(fingerprint);
    if (running.size === 0) this.#byRunner.delete(runner);
  }
}
