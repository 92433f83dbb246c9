/** Recent use of a runner by each caller, to tell who is above its fair share. */
import type * as clocks from "../kernel/clock.js";

const HALF_LIFE_MS = 5000;
const IDLE_LIMIT_MS = 60_000;
const MAX_CALLERS = 10_000;
/** Uses below which a caller is never above its share. */
const FREE_USES = 2;
/** How far above an equal share a caller counts as exceeding it. */
const TOLERANCE = 1.5;

interface CallerUse {
  share: number;
  uses: number;
  at: number;
}

/**
 * Decayed counts of grants for each caller. Callers beyond the limit or idle for a minute are
 * forgotten, which counts in their favour.
 */
export class CallerShares {
  readonly #clock: clocks.Clock;
  readonly #callers = new Map<string, CallerUse>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Number of callers remembered. */
  get size(): number {
    return this.#callers.size;
  }

  /** Records one grant. */
  record(caller: string, share: number): void {
    const now = this.#clock.now();
    const known = this.#callers.get(caller);
    const uses = (known === undefined ? 0 : computeDecayed(known, now)) + 1;
    this.#callers.delete(caller);
    this.#callers.set(caller, { share, uses, at: now });
    this.#removeOldest(now);
  }

  /** Returns whether the caller's recent use exceeds its weighted part of all recent use. */
  isExceeded(caller: string): boolean {
    const now = this.#clock.now();
    const own = this.#callers.get(caller);
    if (own === undefined) return false;
    const ownUses = computeDecayed(own, now);
    if (ownUses <= FREE_USES) return false;
    let totalUses = 0;
    let totalShare = 0;
    for (const use of this.#callers.values()) {
      const uses = computeDecayed(use, now);
      totalUses += uses;
      if (uses > 0.1) totalShare += use.share;
    }
    if (totalShare === own.share) return false;
    return ownUses > (TOLERANCE * totalUses * own.share) / totalShare;
  }

  #removeOldest(now: number): void {
    for (const [caller, use] of this.#callers) {
      const isIdle = now - use.at > IDLE_LIMIT_MS;
      if (!isIdle && this.#callers.size <= MAX_CALLERS) return;
      this.#callers.delete(caller);
    }
  }
}

function computeDecayed(use: CallerUse, now: number): number {
  return use.uses * 2 ** ((use.at - now) / HALF_LIFE_MS);
}
