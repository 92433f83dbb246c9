/** Observed gaps between the tokens of one decode runner, over all holders; eases off a slow one. */
import type * as clocks from "../kernel/clock.js";
import * as estimates from "./estimates.js";

const GAIN = 0.5;
/** Interval between requests let through to a slow runner to learn whether it recovered. */
const PROBE_INTERVAL_MS = 5000;

/** Decides whether a runner is too slow for a target. */
export class GapMonitor {
  readonly #clock: clocks.Clock;
  readonly #gaps = new estimates.Estimate(GAIN);
  #nextProbeAt = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Mean gap, or 0 before the first report. */
  get gapMs(): number {
    return this.#gaps.mean ?? 0;
  }

  /** Whether a request may go to the runner even if it is slow. */
  get probeDue(): boolean {
    return this.#clock.now() >= this.#nextProbeAt;
  }

  /** Records a holder's mean gap since its last report. */
  record(gapMs: number): void {
    this.#gaps.add(gapMs);
  }

  /** Returns whether a request with this target must go elsewhere; else it may be the probe. */
  isTooSlow(targetMs: number): boolean {
    if (this.gapMs <= targetMs) return false;
    return !this.probeDue;
  }

  /** Records that a request with this target was let through. */
  recordGrant(targetMs: number): void {
    if (this.gapMs > targetMs) this.#nextProbeAt = this.#clock.now() + PROBE_INTERVAL_MS;
  }
}
