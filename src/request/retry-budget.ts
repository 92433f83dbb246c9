/** Bounds retries to a fraction of the calls, so that failures do not multiply the load. */

const RETRIES_PER_CALL = 0.2;
const MAX_SAVED_RETRIES = 10;

/** A token bucket: calls fill it, retries empty it. */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES;

  /** Records a first try, which earns a fraction of a retry. */
  recordCall(): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRIES_PER_CALL);
  }

  /** Takes one retry out of the budget; returns whether there was one. */
  reserve(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
