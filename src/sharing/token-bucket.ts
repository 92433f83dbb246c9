/** A token bucket: limits what may be taken at a rate, with what accumulates while less is taken. Performs no I/O. */

/** Rate and size of a bucket. */
export interface TokenBucketLimits {
  /** Tokens that become available per second. */
  readonly perSecond: number;
  /** Tokens that may accumulate. */
  readonly capacity: number;
  /** Tokens by which one reservation may exceed what is available; later ones wait until they have been made up for. */
  readonly maxOverdraft: number;
}

const MS_PER_S = 1_000;

/**
 * A bucket that starts empty, as it is not known what was taken elsewhere a moment before.
 *
 * A large reservation needs as many tokens as small ones hardly ever leave to it, so it may overdraw the bucket, which holds up
 * later ones by as much.
 */
export class TokenBucket {
  #limits: TokenBucketLimits;
  #available = 0;
  #refilledAt: number;

  /** @param startedAt - monotonic time from which on the bucket is filled. */
  constructor(limits: TokenBucketLimits, startedAt: number) {
    this.#limits = limits;
    this.#refilledAt = startedAt;
  }

  /** Tokens that are available now; negative after an overdraft. */
  get available(): number {
    return this.#available;
  }

  /** Adds what has become available under the limits so far, and replaces them. */
  update(limits: TokenBucketLimits, now: number): void {
    this.#add((this.#limits.perSecond * (now - this.#refilledAt)) / MS_PER_S);
    this.#refilledAt = now;
    this.#limits = limits;
    this.#add(0);
  }

  /** Returns 0 if `cost` tokens may be taken now, otherwise the time in milliseconds until they may; `Infinity` for never. */
  computeWait(cost: number): number {
    const { perSecond, capacity, maxOverdraft } = this.#limits;
    if (cost > capacity + maxOverdraft || perSecond === 0) return Infinity;
    const needed = Math.max(0, cost - maxOverdraft);
    const missing = needed - this.#available;
    const isAvailable = needed > 0 ? missing <= 0 : this.#available > 0;
    return isAvailable ? 0 : Math.max(1, (missing / perSecond) * MS_PER_S);
  }

  /** Takes `cost` tokens if they are available; returns what `computeWait` does. */
  reserve(cost: number): number {
    const waitMs = this.computeWait(cost);
    if (waitMs === 0) this.#available -= cost;
    return waitMs;
  }

  /** Returns tokens that were taken and not used. */
  release(cost: number): void {
    this.#add(cost);
  }

  #add(tokens: number): void {
    this.#available = Math.min(this.#limits.capacity, this.#available + tokens);
  }
}
