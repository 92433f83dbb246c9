/** Tracks a decode runner's token gaps over all holders and limits requests while it is slow. */
import type * as clocks from "../kernel/clock.js";
import * as estimates from "./estimates.js";

const GAP_GAIN = 0.5;
/** Interval between probe requests, sent to a slow runner to detect its recovery. */
const PROBE_INTERVAL_MS = 5000;

/** Decides whether a runner is too slow for a request's token gap target. */
export class GapMonitor {
  readonly #clock: clocks.Clock;
  readonly #gaps = new estimates.Estimate(GAP_GAIN);
  #nextProbeAt = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Mean gap between tokens, or 0 before the first report. */
  get gapMs(): number {
    return this.#gaps.mean ?? 0;
  }

  /** Whether a request may be sent as a probe although the runner is slow. */
  get probeDue(): boolean {
    return this.#clock.now() >= this.#nextProbeAt;
  }

  /** Records the mean gap that a holder observed since its last report. */
  record(gapMs: number): void {
    this.#gaps.add(gapMs);
  }

  /** Whether a request with this target must be refused; false as well if it is the due probe. */
  isTooSlow(targetMs: number): boolean {
    if (this.gapMs <= targetMs) return false;
    return !this.probeDue;
  }

  /** Records a grant; if the runner is slow for this target, it counts as the probe. */
  recordGrant(targetMs: number): void {
    if (this.gapMs > targetMs) this.#nextProbeAt = this.#clock.now() + PROBE_INTERVAL_MS;
  }
}
