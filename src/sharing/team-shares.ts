/**
 * Tells which teams have taken more than their share of a pool lately. Designed for one team that sends several times its usual
 * load while the pool has too little room for all: the requests of the others go first then.
 */
import type * as clocks from "../kernel/clock.js";

/** Time in which the weight of a grant halves; a burst lasts for some seconds. */
const HALF_LIFE_MS = 2_000;
/** A team is above its share from this multiple of the mean use per weight on, so that uneven arrivals do not count. */
const ABOVE_FACTOR = 1.5;
/** Use below this fraction of one average grant counts as none. */
const MIN_USE = 0.05;
/** Limit on the teams that are kept; the one that was granted something least recently is dropped. */
const MAX_TEAMS = 10_000;

/** A team that competes for a pool. */
export interface ShareHolder {
  readonly name: string;
  /** Size of its share relative to other teams, such as the rate of its quota. */
  readonly weight: number;
}

interface Use {
  readonly weight: number;
  amount: number;
  updatedAt: number;
}

/** Recent grants by team, which decay over time. */
export class TeamShares {
  readonly #clock: Pick<clocks.Clock, "now">;
  readonly #uses = new Map<string, Use>();

  constructor(clock: Pick<clocks.Clock, "now">) {
    this.#clock = clock;
  }

  /** Records a grant; `cost` is relative to the average grant. */
  recordGrant({ name, weight }: ShareHolder, cost = 1): void {
    const use = this.#uses.get(name);
    const amount = use === undefined ? 0 : this.#computeAmount(use);
    this.#uses.delete(name);
    this.#uses.set(name, { weight, amount: amount + cost, updatedAt: this.#clock.now() });
    const [oldest] = this.#uses.keys();
    if (this.#uses.size > MAX_TEAMS && oldest !== undefined) this.#uses.delete(oldest);
  }

  /** Returns the teams whose use per weight is well above the mean of all that used the pool lately. */
  listAboveShare(): ReadonlySet<string> {
    const active = [...this.#uses]
      .map(([name, use]) => ({ name, weight: use.weight, amount: this.#computeAmount(use) }))
      .filter(({ amount }) => amount > MIN_USE);
    const totalAmount = active.reduce((sum, { amount }) => sum + amount, 0);
    const totalWeight = active.reduce((sum, { weight }) => sum + weight, 0);
    const limit = (ABOVE_FACTOR * totalAmount) / Math.max(Number.MIN_VALUE, totalWeight);
    const above = active.filter(({ amount, weight }) => amount > limit * weight);
    return new Set(above.map(({ name }) => name));
  }

  #computeAmount({ amount, updatedAt }: Use): number {
    return amount * 0.5 ** ((this.#clock.now() - updatedAt) / HALF_LIFE_MS);
  }
}
