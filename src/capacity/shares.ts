/** Recent demand of each caller at a runner, to tell who is above its max-min fair share. */
import type * as clocks from "../kernel/clock.js";

const HALF_LIFE_MS = 5000;
const IDLE_LIMIT_MS = 60_000;
const MAX_CALLERS = 10_000;
/** How long a computed level stays in use. */
const LEVEL_LIFE_MS = 200;
/** How far above the fair level a caller counts as exceeding it. */
const TOLERANCE = 1.5;
/** Recent requests below which a caller is never above its share. */
const FREE_REQUESTS = 2;

interface CallerDemand {
  share: number;
  requests: number;
  at: number;
}

/** A caller's demand for each unit of its share, and the share. */
interface WeighedDemand {
  readonly perShare: number;
  readonly share: number;
}

/**
 * Decayed counts of requests for each caller, and of grants in all. The fair level is the demand
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
    const requests = known === undefined ? 1 : 1 + computeDecayed(known.requests, known.at, now);
    this.#callers.delete(caller);
    this.#callers.set(caller, { share, requests, at: now });
    this.#removeOldest(now);
  }

  /** Records one grant. */
  recordGrant(): void {
    const now = this.#clock.now();
    this.#grants = 1 + computeDecayed(this.#grants, this.#grantsAt, now);
    this.#grantsAt = now;
  }

  /** Returns whether the caller asks for more than its fair share while not all can be served. */
  isExceeded(caller: string): boolean {
    return this.computeExcess(caller) > 0;
  }

  /** Returns how many times its fair share the caller asks for, or 0 when it is within it. */
  computeExcess(caller: string): number {
    const now = this.#clock.now();
    const own = this.#callers.get(caller);
    if (own === undefined || this.#callers.size < 2) return 0;
    const requests = computeDecayed(own.requests, own.at, now);
    if (requests <= FREE_REQUESTS) return 0;
    const excess = requests / own.share / this.#computeLevel(now);
    return excess > TOLERANCE ? excess : 0;
  }

  #computeLevel(now: number): number {
    if (now < this.#levelUntil) return this.#level;
    const demands: WeighedDemand[] = [];
    for (const { share, requests, at } of this.#callers.values()) {
      demands.push({ share, perShare: computeDecayed(requests, at, now) / share });
    }
    const grants = computeDecayed(this.#grants, this.#grantsAt, now);
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

function computeDecayed(count: number, at: number, now: number): number {
  return count * 2 ** ((at - now) / HALF_LIFE_MS);
}
