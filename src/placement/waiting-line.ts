/** The order in which requests wait for a place. */
import type * as clocks from "../kernel/clock.js";

/** Grants of this time tell how fast the line moves. */
const RATE_WINDOW_MS = 4_000;
/** Requests that may wait before any grant has told the line's speed. */
const FEWEST_WAITING = 8;
const SHORTEST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 3_000;

interface Place<Entry> {
  readonly entry: Entry;
  /** Latest time of a grant that still meets the target. */
  readonly onTimeUntil: number;
  /** Time after which waiting is no use. */
  readonly givesUpAt: number;
}

/** A refusal with the time to come back. */
export interface LineRefusal {
  readonly retryAfterMs: number;
}

/** Those who can be on time first, in the order of their targets; then the others, oldest first. */
export class WaitingLine<Entry> {
  readonly #clock: clocks.Clock;
  readonly #places: Place<Entry>[] = [];
  readonly #grants: number[] = [];

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#places.length;
  }

  /**
   * Adds a request, unless its turn would come after its patience.
   *
   * @param slackMs - time left until a grant comes too late for the target.
   */
  add(entry: Entry, slackMs: number, patienceMs: number): LineRefusal | undefined {
    const waitMs = this.#computeWait();
    if (waitMs > patienceMs) return { retryAfterMs: computeRetryTime(waitMs) };
    const now = this.#clock.now();
    const place = { entry, onTimeUntil: now + slackMs, givesUpAt: now + patienceMs };
    this.#places.push(place);
    this.#places.sort((first, second) => first.onTimeUntil - second.onTimeUntil);
    return undefined;
  }

  remove(entry: Entry): void {
    const index = this.#places.findIndex((place) => place.entry === entry);
    if (index >= 0) this.#places.splice(index, 1);
  }

  /** Returns whose turn it is. */
  findNext(): { readonly entry: Entry; readonly late: boolean } | undefined {
    const now = this.#clock.now();
    const onTime = this.#places.find((place) => place.onTimeUntil >= now);
    const next = onTime ?? this.#places[0];
    return next === undefined ? undefined : { entry: next.entry, late: onTime === undefined };
  }

  recordGrant(entry: Entry): void {
    this.remove(entry);
    this.#grants.push(this.#clock.now());
  }

  /** Removes those whose patience has ended. */
  removeExpired(): readonly { readonly entry: Entry; readonly retryAfterMs: number }[] {
    const now = this.#clock.now();
    const expired = this.#places.filter((place) => place.givesUpAt <= now);
    for (const { entry } of expired) this.remove(entry);
    const retryAfterMs = computeRetryTime(this.#computeWait());
    return expired.map(({ entry }) => ({ entry, retryAfterMs }));
  }

  /** Returns the time until someone's patience ends or someone turns late. */
  computeNextChange(): number | undefined {
    const now = this.#clock.now();
    let next: number | undefined;
    for (const { onTimeUntil, givesUpAt } of this.#places) {
      const at = onTimeUntil > now ? Math.min(onTimeUntil, givesUpAt) : givesUpAt;
      next = Math.min(next ?? at, at);
    }
    return next === undefined ? undefined : Math.max(1, next - now + 1);
  }

  /** Returns how long a request that comes last would wait. */
  #computeWait(): number {
    const now = this.#clock.now();
    while ((this.#grants[0] ?? now) < now - RATE_WINDOW_MS) this.#grants.shift();
    if (this.#places.length < FEWEST_WAITING) return 0;
    return (this.#places.length * RATE_WINDOW_MS) / Math.max(1, this.#grants.length);
  }
}

function computeRetryTime(waitMs: number): number {
  return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs / 2));
}
