/** Which request contents run at which runner from this node, to accuse the right ones of a crash. */
import type * as clock from "../kernel/clock.js";

/** Streams that break at one runner within this time are one crash. */
const CRASH_WINDOW_MS = 1_000;

/** Counts fingerprints in flight by runner. */
export class InFlight {
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
   * Returns the contents that one crash accuses: all in flight at the first broken stream, and
   * nothing for the later ones of the same crash, whose sets shrink as streams end.
   */
  listAccused(runner: string, fingerprint: string): readonly string[] {
    const now = this.#clock.now();
    const crashedAt = this.#crashedAt.get(runner);
    if (crashedAt !== undefined && now - crashedAt < CRASH_WINDOW_MS) return [];
    this.#crashedAt.set(runner, now);
    return [...new Set([fingerprint, ...(this.#byRunner.get(runner)?.keys() ?? [])])];
  }

  #remove(runner: string, running: Map<string, number>, fingerprint: string): void {
    const left = (running.get(fingerprint) ?? 1) - 1;
    if (left > 0) running.set(fingerprint, left);
    else running.delete(fingerprint);
    if (running.size === 0) this.#byRunner.delete(runner);
  }
}
