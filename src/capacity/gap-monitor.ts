/**
 * Tracks the inter-token latency of a decode runner, as measured by all nodes that hold leases on
 * it, and admits only probe requests while it is slow.
 */
import type * as clocks from "../kernel/clock.js";
import * as estimates from "./estimates.js";

/** Weight of a new report in the mean inter-token latency. */
const GAP_SMOOTHING_FACTOR = 0.5;
/** Interval between requests granted at a slow runner as probes, to detect its recovery. */
const PROBE_INTERVAL_MS = 5000;

/** Decides whether a runner is too slow for a request's inter-token latency target. */
export class GapMonitor {
  readonly #clock: clocks.Clock;
  readonly #gaps = new estimates.Estimate(GAP_SMOOTHING_FACTOR);
  #nextProbeAt = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Mean inter-token latency, or 0 before the first report. */
  get gapMs(): number {
    return this.#gaps.mean ?? 0;
  }

  /** Whether the next request may be granted as a probe although the runner is slow. */
  get probeDue(): boolean {
    return this.#clock.now() >= this.#nextProbeAt;
  }

  /** Records the mean inter-token latency that a holder observed since its last report. */
  record(gapMs: number): void {
    this.#gaps.add(gapMs);
  }

  /**
   * Whether a request with this target has to be refused. False for a slow runner if a probe is due,
   * as the request is then granted as the probe.
   */
  isRefusedAsSlow(targetMs: number): boolean {
    if (this.gapMs <= targetMs) return false;
    return !this.probeDue;
  }

  /** Records a grant; if the runner is too slow for this target, restarts the probe interval. */
  recordGrant(targetMs: number): void {
    if (this.gapMs > targetMs) this.#nextProbeAt = this.#clock.now() + PROBE_INTERVAL_MS;
  }
}
