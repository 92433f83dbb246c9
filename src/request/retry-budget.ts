/** Limits retries to a fraction of the calls, so that failures do not multiply the load. */
import type * as clocks from "../kernel/clock.js";

/** Refill rates and capacity of a retry budget. */
export interface RetryBudgetLimits {
  /** Retries added for each call. */
  readonly retriesPerCall: number;
  /** Capacity of the budget: retries that may accumulate. */
  readonly maxRetries: number;
  /** Retries added for each millisecond. */
  readonly retriesPerMs: number;
}

/**
 * A token bucket of retries, which calls and time refill. It starts empty: the process before a restart may just have
 * used what this one would start with.
 */
export class RetryBudget {
  readonly #clock: Pick<clocks.Clock, "now">;
  #limits: RetryBudgetLimits;
  #available = 0;
  #refilledAt: number;

  constructor(limits: RetryBudgetLimits, clock: Pick<clocks.Clock, "now">) {
    this.#limits = limits;
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Retries that are available now. */
  get available(): number {
    return this.#available;
  }

  /** Replaces the limits. Available retries beyond the new capacity are lost. */
  setLimits(limits: RetryBudgetLimits): void {
    this.#addRefill();
    this.#limits = limits;
    this.#addRetries(0);
  }

  /** Records a call, which adds a fraction of a retry. */
  recordCall(): void {
    this.#addRetries(this.#limits.retriesPerCall);
  }

  /** Takes `cost` retries from the budget if they are available; returns whether they were. */
  reserve(cost = 1): boolean {
    this.#addRefill();
    if (this.#available < cost) return false;
    this.#available -= cost;
    return true;
  }

  /** Returns retries that were reserved and not used. */
  release(cost: number): void {
    this.#addRetries(cost);
  }

  #addRefill(): void {
    const now = this.#clock.now();
    this.#addRetries((now - this.#refilledAt) * this.#limits.retriesPerMs);
    this.#refilledAt = now;
  }

  #addRetries(retries: number): void {
    this.#available = Math.min(this.#limits.maxRetries, this.#available + retries);
  }
}
