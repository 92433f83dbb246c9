/** Recent demand and grants of each caller, to tell who has had its max-min fair share. */
import type * as clocks from "../kernel/clock.js";

const HALF_LIFE_MS = 5000;
const IDLE_LIMIT_MS = 60_000;
const MAX_CALLERS = 10_000;
/** How long a computed level stays in use. */
const LEVEL_LIFE_MS = 200;
/** Recent requests up to which a caller is within its share. */
const FREE_REQUESTS = 2;
/** How far above the fair level a caller's requests may be, for their spread. */
const TOLERANCE = 1.2;
/** Least use of a caller that asks for more than its share. */
const MIN_USE = 0.25;

interface CallerDemand {
  share: number;
  requests: number;
  grants: number;
  at: number;
}

/** A caller's demand for each unit of its share, and the share. */
interface WeighedDemand {
  readonly perShare: number;
  readonly share: number;
}

/**
 * Decayed counts of requests and grants for each caller, and of grants in all. The fair level is the demand
 * for each unit of share up to which all can be served. Callers idle for a minute, or the longest
 * idle beyond the limit, are forgotten, which counts in their favour.
 */
export class CallerShares {
  readonly #clock: clocks.Clock;
  readonly #callers = new Map<string, CallerDemand>();
  #grants = 0;
  #grantsAt = 0;
  #level = Infinity;
  #levelUntil = 0;

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Number of callers remembered. */
  get size(): number {
    return this.#callers.size;
  }

  /** Records one request, granted or not. */
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

  /** Records one grant to a caller whose request was recorded. */
  recordGrant(caller: string): void {
    const now = this.#clock.now();
    this.#grants = 1 + this.#grants * computeDecay(this.#grantsAt, now);
    this.#grantsAt = now;
    const known = this.#callers.get(caller);
    if (known !== undefined) known.grants += 1 / computeDecay(known.at, now);
  }

  /** Returns whether the caller asks for more than its fair share while not all can be served. */
  isExceeded(caller: string): boolean {
    return this.computeUse(caller) > 0;
  }

  /**
   * Returns what a caller that asks for more than its fair share has had, as a part of that share.
   * 0 for all others, who can be served in full.
   */
  computeUse(caller: string): number {
    const now = this.#clock.now();
    const own = this.#callers.get(caller);
    if (own === undefined || this.#callers.size < 2) return 0;
    const decay = computeDecay(own.at, now);
    const requests = own.requests * decay;
    const level = this.#computeLevel(now) * own.share;
    if (requests <= FREE_REQUESTS || requests <= TOLERANCE * level) return 0;
    return Math.max(MIN_USE, (own.grants * decay) / level);
  }

  #computeLevel(now: number): number {
    if (now < this.#levelUntil) return this.#level;
    const demands: WeighedDemand[] = [];
    for (const { share, requests, at } of this.#callers.values()) {
      demands.push({ share, perShare: (requests * computeDecay(at, now)) / share });
    }
    const grants = this.#grants * computeDecay(this.#grantsAt, now);
    this.#level = computeFairLevel(demands, grants);
    this.#levelUntil = now + LEVEL_LIFE_MS;
    return this.#level;
  }

  #removeOldest(now: number): void {
    for (const [caller, demand] of this.#callers) {
      const isIdle = now - demand.at > IDLE_LIMIT_MS;
      if (!isIdle && this.#callers.size <= MAX_CALLERS) return;
      this.#callers.delete(caller);
    }
  }
}

/**
 * Returns the max-min fair demand for each unit of share when `capacity` is divided: those below
 * it are served in full. Infinite when all are.
 */
export function computeFairLevel(demands: readonly WeighedDemand[], capacity: number): number {
  const sorted = [...demands].sort((left, right) => left.perShare - right.perShare);
  let shares = sorted.reduce((sum, demand) => sum + demand.share, 0);
  let left = capacity;
  for (const { perShare, share } of sorted) {
    if (perShare * shares > left) return left / shares;
    left -= perShare * share;
    shares -= share;
  }
  return Infinity;
}

function computeDecay(since: number, now: number): number {
  return 2 ** ((since - now) / HALF_LIFE_MS);
}
