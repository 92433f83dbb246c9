/** Limits retries to a fraction of the calls, so that failures do not multiply the load. */

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
 * A token bucket of retries, which calls and time refill. It starts empty unless told otherwise: the process before a
 * restart may just have used what this one would start with.
 */
export class RetryBudget {
  #limits: RetryBudgetLimits;
  #available = 0;
  #refilledAt: number;

  /**
   * @param startedAt - monotonic time from which time refills the budget.
   * @param initialRetries - retries that it starts with.
   */
  constructor(limits: RetryBudgetLimits, startedAt: number, initialRetries = 0) {
    this.#limits = limits;
    this.#refilledAt = startedAt;
    this.#addRetries(initialRetries);
  }

  /** Retries that are available now. */
  get available(): number {
    return this.#available;
  }

  /**
   * Replaces the limits and adds what time has refilled. Available retries beyond the new capacity are lost.
   *
   * @param now - monotonic time.
   * @param inForceMs - time for which the limits have been in force.
   */
  update(limits: RetryBudgetLimits, now: number, inForceMs: number): void {
    this.#limits = limits;
    this.#addRetries(Math.min(now - this.#refilledAt, inForceMs) * limits.retriesPerMs);
    this.#refilledAt = now;
  }

  /** Records a call, which adds a fraction of a retry. */
  recordCall(): void {
    this.#addRetries(this.#limits.retriesPerCall);
  }

  /** Takes `cost` retries from the budget if they are available; returns whether they were. */
  reserve(cost: number): boolean {
    if (this.#available < cost) return false;
    this.#available -= cost;
    return true;
  }

  /** Returns retries that were reserved and not used. */
  release(cost: number): void {
    this.#addRetries(cost);
  }

  #addRetries(retries: number): void {
    this.#available = Math.min(this.#limits.maxRetries, this.#available + retries);
  }
}
