/** What may be granted of the quota of a team now. Performs no I/O. */

/** Rate and size of a bucket. */
export interface QuotaBucketLimits {
  /** Cost that becomes available per second. */
  readonly perSecond: number;
  /** Cost that may accumulate. */
  readonly capacity: number;
  /** Cost by which one grant may exceed what is available; later grants wait until it has been made up for. */
  readonly maxOverdraft: number;
}

const MS_PER_S = 1_000;

/**
 * A token bucket. It starts empty, as it is not known what other VMs granted a moment before.
 *
 * A large request needs a share of the bucket that small ones hardly ever leave to it, so it may overdraw the bucket, which
 * holds up later requests by as much.
 */
export class QuotaBucket {
  #limits: QuotaBucketLimits;
  #available = 0;
  #refilledAt: number;

  /** @param startedAt - monotonic time from which on the bucket is filled. */
  constructor(limits: QuotaBucketLimits, startedAt: number) {
    this.#limits = limits;
    this.#refilledAt = startedAt;
  }

  /** Cost that is available now; negative after an overdraft. */
  get available(): number {
    return this.#available;
  }

  /** Adds what has become available under the limits so far, and replaces them. */
  update(limits: QuotaBucketLimits, now: number): void {
    this.#add((this.#limits.perSecond * (now - this.#refilledAt)) / MS_PER_S);
    this.#refilledAt = now;
    this.#limits = limits;
    this.#add(0);
  }

  /**
   * Takes `cost` if it is available.
   *
   * @returns 0 if it was taken, otherwise the time in milliseconds until it may be; `Infinity` if it never will.
   */
  reserve(cost: number): number {
    const { perSecond, capacity, maxOverdraft } = this.#limits;
    if (cost > capacity + maxOverdraft || perSecond === 0) return Infinity;
    const needed = Math.max(0, cost - maxOverdraft);
    const missing = needed - this.#available;
    const isAvailable = needed > 0 ? missing <= 0 : this.#available > 0;
    if (!isAvailable) return Math.max(1, (missing / perSecond) * MS_PER_S);
    this.#available -= cost;
    return 0;
  }

  /** Returns the cost of a request that did not run. */
  release(cost: number): void {
    this.#add(cost);
  }

  #add(cost: number): void {
    this.#available = Math.min(this.#limits.capacity, this.#available + cost);
  }
}
