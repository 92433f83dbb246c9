/** Tells whether the platform was down while a watch got no answer, or only the watch's connection was dead. */
import type * as clocks from "../kernel/clock.js";

/** What this VM's calls to the platform show of its outages; shared by all readers of the VM. */
export class PlatformOutages {
  readonly #clock: Pick<clocks.Clock, "now">;
  #failedAt = -Infinity;

  constructor(clock: Pick<clocks.Clock, "now">) {
    this.#clock = clock;
  }

  /** Records a call that failed in a way that a dead connection does not explain. */
  recordFailure(): void {
    this.#failedAt = this.#clock.now();
  }

  /** Whether such a call failed at `since` or later. */
  hasFailedSince(since: number): boolean {
    return this.#failedAt >= since;
  }
}
