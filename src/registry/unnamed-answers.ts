/**
 * Decides when answers of a platform that named an epoch and names none any more are taken. A few may be those of another server;
 * a platform that goes on so would otherwise be refused for good.
 */
import type * as clocks from "../kernel/clock.js";

/** Time for which all answers to this VM name no epoch before they are taken. */
export const UNNAMED_MS = 5_000;
/** Time without any answer after which the time starts anew; a refused reader asks again sooner. */
const MAX_SILENCE_MS = 2_500;

/** What this VM's calls show of a platform that names no epoch; shared by all readers of the VM. */
export class UnnamedAnswers {
  readonly #clock: Pick<clocks.Clock, "now">;
  #since: number | undefined;
  #latest = -Infinity;
  #isTaken = false;

  constructor(clock: Pick<clocks.Clock, "now">) {
    this.#clock = clock;
  }

  /** Whether answers without an epoch are taken. */
  get isTaken(): boolean {
    return this.#isTaken;
  }

  /** Records an answer without an epoch; returns whether such answers are taken from now on and were not before. */
  recordUnnamed(): boolean {
    const now = this.#clock.now();
    if (this.#since === undefined || now - this.#latest > MAX_SILENCE_MS) this.#since = now;
    this.#latest = now;
    if (this.#isTaken || now - this.#since < UNNAMED_MS) return false;
    this.#isTaken = true;
    return true;
  }

  /** Records an answer that names an epoch. */
  recordNamed(): void {
    this.#since = undefined;
    this.#isTaken = false;
  }
}
