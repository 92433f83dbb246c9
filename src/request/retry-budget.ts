/** Bounds repeats to a fraction of the calls, so that failures do not multiply the load. */
import type * as clocks from "../kernel/clock.js";

const RETRIES_PER_CALL = 0.2;
const MAX_SAVED_RETRIES = 10;

/** How a budget fills. */
export interface RetryBudgetLimits {
  /** Repeats that each first try earns. */
  readonly retriesPerCall: number;
  /** Repeats that may be saved. */
  readonly maxRetries: number;
  /** Repeats that time alone earns, for each millisecond. */
  readonly retriesPerMs: number;
}

const DEFAULT_LIMITS: RetryBudgetLimits = {
  retriesPerCall: RETRIES_PER_CALL,
  maxRetries: MAX_SAVED_RETRIES,
  retriesPerMs: 0,
};

/** A token bucket: calls and time fill it, repeats empty it. */
export class RetryBudget {
  readonly #clock: Pick<clocks.Clock, "now"> | undefined;
  #limits: RetryBudgetLimits;
  #saved: number;
  #filledAt: number;

  constructor(limits = DEFAULT_LIMITS, clock?: Pick<clocks.Clock, "now">) {
    this.#limits = limits;
    this.#clock = clock;
    this.#saved = limits.maxRetries;
    this.#filledAt = clock?.now() ?? 0;
  }

  /** Changes how it fills; what was saved is cut to the new limit. */
  setLimits(limits: RetryBudgetLimits): void {
    this.#limits = limits;
    this.#saved = Math.min(this.#saved, limits.maxRetries);
  }

  /** Records a first try, which earns a fraction of a repeat. */
  recordCall(): void {
    this.#add(this.#limits.retriesPerCall);
  }

  /** Takes one repeat out of the budget; returns whether there was one. */
  reserve(): boolean {
    const now = this.#clock?.now() ?? 0;
    this.#add((now - this.#filledAt) * this.#limits.retriesPerMs);
    this.#filledAt = now;
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }

  #add(repeats: number): void {
    this.#saved = Math.min(this.#limits.maxRetries, this.#saved + repeats);
  }
}
