/** Limits retries to a fraction of the calls, so that failures do not multiply the load. */
import type * as clocks from "../kernel/clock.js";

const RETRIES_PER_CALL = 0.2;
/** Retries that may follow each other without new calls. */
const MAX_BURST_RETRIES = 10;

/** Refill rates and capacity of a retry budget. */
export interface RetryBudgetLimits {
  /** Retries added for each call. */
  readonly retriesPerCall: number;
  /** Capacity of the budget: retries that may accumulate. */
  readonly maxRetries: number;
  /** Retries added for each millisecond. */
  readonly retriesPerMs: number;
}

const DEFAULT_LIMITS: RetryBudgetLimits = {
  retriesPerCall: RETRIES_PER_CALL,
  maxRetries: MAX_BURST_RETRIES,
  retriesPerMs: 0,
};

/** A token bucket of retries, which calls and time refill. */
export class RetryBudget {
  readonly #clock: Pick<clocks.Clock, "now"> | undefined;
  #limits: RetryBudgetLimits;
  #available: number;
  #refilledAt: number;

  constructor(limits = DEFAULT_LIMITS, clock?: Pick<clocks.Clock, "now">) {
    this.#limits = limits;
    this.#clock = clock;
    this.#available = limits.maxRetries;
    this.#refilledAt = clock?.now() ?? 0;
  }

  /** Retries that are available now; negative while some are owed. */
  get available(): number {
    return this.#available;
  }

  /** Replaces the limits. Available retries beyond the new capacity are lost. */
  setLimits(limits: RetryBudgetLimits): void {
    this.#limits = limits;
    this.#available = Math.min(this.#available, limits.maxRetries);
  }

  /** Records a call, which adds a fraction of a retry. */
  recordCall(): void {
    this.#addRetries(this.#limits.retriesPerCall);
  }

  /**
   * Takes a retry from the budget if one is available; returns whether it was. A retry that sends several
   * requests costs as many, and what is missing is owed.
   */
  reserve(cost = 1): boolean {
    const now = this.#clock?.now() ?? 0;
    this.#addRetries((now - this.#refilledAt) * this.#limits.retriesPerMs);
    this.#refilledAt = now;
    if (this.#available < 1) return false;
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
