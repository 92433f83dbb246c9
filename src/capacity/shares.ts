/** Recent requests and grants of each caller, to find callers above their max-min fair share. */
import type * as clocks from "../kernel/clock.js";

/** Half-life of the counts of requests and grants. */
const COUNT_HALF_LIFE_MS = 5000;
/** Time without a request after which a caller is evicted. */
const CALLER_IDLE_LIMIT_MS = 60_000;
const MAX_CALLERS = 10_000;
/** Time for which a computed fair level is cached. */
const LEVEL_CACHE_MS = 200;
/** Number of recent requests up to which a caller always counts as within its share. */
const EXEMPT_REQUESTS = 2;
/** Factor by which a caller's requests may exceed the fair level, to allow for their variance. */
const SHARE_TOLERANCE = 1.2;
/** Minimum usage reported for a caller above its share. */
const MIN_USAGE = 0.25;

interface CallerDemand {
  share: number;
  requests: number;
  grants: number;
  at: number;
}

/** A caller's share and its demand per unit of share. */
interface WeightedDemand {
  readonly perShare: number;
  readonly share: number;
}

/**
 * Exponentially decayed counts of requests and grants per caller, and of all grants. The fair level
 * is the demand per unit of share up to which all callers can be served. Callers are evicted after
 * a minute without a request, and the longest idle ones beyond the limit; an evicted caller counts
 * as within its share.
 */
export class CallerShares {
  readonly #clock: clocks.Clock;
  readonly #callers = new Map<string, CallerDemand>();
  #grants = 0;
  #grantsAt = 0;
  #level = Infinity;
  #levelValidUntil = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Number of callers with a record. */
  get size(): number {
    return this.#callers.size;
  }

  /** Records one request, whether granted or not. */
  recordRequest(caller: string, share: number): void {
    const now = this.#clock.now();
    const known = this.#callers.get(caller);
    const decay = known === undefined ? 0 : computeDecay(known.at, now);
    const requests = 1 + decay * (known?.requests ?? 0);
    const grants = decay * (known?.grants ?? 0);
    this.#callers.delete(caller);
    this.#callers.set(caller, { share, requests, grants, at: now });
    this.#removeOldest(now);
  }

  /** Records one grant, after the request was recorded. */
  recordGrant(caller: string): void {
    const now = this.#clock.now();
    this.#grants = 1 + this.#grants * computeDecay(this.#grantsAt, now);
    this.#grantsAt = now;
    const known = this.#callers.get(caller);
    if (known !== undefined) known.grants += 1 / computeDecay(known.at, now);
  }

  /** Whether the caller's demand exceeds its fair share while not all demand can be served. */
  isShareExceeded(caller: string): boolean {
    return this.computeUsage(caller) > 0;
  }

  /**
   * Returns the fraction of its fair share that was granted to a caller whose demand exceeds it.
   * 0 for all other callers, which can be served in full.
   */
  computeUsage(caller: string): number {
    const now = this.#clock.now();
    const own = this.#callers.get(caller);
    if (own === undefined || this.#callers.size < 2) return 0;
    const decay = computeDecay(own.at, now);
    const requests = own.requests * decay;
    const level = this.#computeLevel(now) * own.share;
    if (requests <= EXEMPT_REQUESTS || requests <= SHARE_TOLERANCE * level) return 0;
    return Math.max(MIN_USAGE, (own.grants * decay) / level);
  }

  #computeLevel(now: number): number {
    if (now < this.#levelValidUntil) return this.#level;
    const demands: WeightedDemand[] = [];
    for (const { share, requests, at } of this.#callers.values()) {
      demands.push({ share, perShare: (requests * computeDecay(at, now)) / share });
    }
    const grants = this.#grants * computeDecay(this.#grantsAt, now);
    this.#level = computeFairLevel(demands, grants);
    this.#levelValidUntil = now + LEVEL_CACHE_MS;
    return this.#level;
  }

  #removeOldest(now: number): void {
    for (const [caller, demand] of this.#callers) {
      const isIdle = now - demand.at > CALLER_IDLE_LIMIT_MS;
      if (!isIdle && this.#callers.size <= MAX_CALLERS) return;
      this.#callers.delete(caller);
    }
  }
}

/**
 * Returns the max-min fair level for `capacity`: callers whose demand per unit of share is below it
 * are served in full. Infinite if all are.
 */
export function computeFairLevel(demands: readonly WeightedDemand[], capacity: number): number {
  const sorted = [...demands].sort((left, right) => left.perShare - right.perShare);
  let shares = sorted.reduce((sum, demand) => sum + demand.share, 0);
  let remaining = capacity;
  for (const { perShare, share } of sorted) {
    if (perShare * shares > remaining) return remaining / shares;
    remaining -= perShare * share;
    shares -= share;
  }
  return Infinity;
}

function computeDecay(since: number, now: number): number {
  return 2 ** ((since - now) / COUNT_HALF_LIFE_MS);
}
