/**
 * The order in which requests wait for a place. Load pattern: bursts in which not all can be served.
 * Whoever can still be on time goes before whoever cannot; among these a short request goes before a
 * long one that came a little earlier, since it leaves room for more; the size only counts as some
 * hundred milliseconds of waiting, so that long ones are passed over in a burst and not for good.
 * Those who were refused before and came back go first among the late.
 */
import type * as clocks from "../kernel/clock.js";

/** Grants of this time tell how fast the line moves. */
const RATE_WINDOW_MS = 4_000;
/** Requests that may wait before any grant has told the line's speed. */
const FEWEST_WAITING = 8;
/** A burst lasts some seconds; who comes back sooner meets it again and has used up its retry. */
const SHORTEST_RETRY_MS = 2_500;
const LONGEST_RETRY_MS = 4_500;
/** Waiting that a request of average size counts for: most of the time in which one can be on time. */
const SIZE_WEIGHT_MS = 300;
/** A request larger than this many average ones counts no more. */
const LARGEST_SIZE = 3;

/** One who waits. */
export interface LineEntry {
  /** Expected use of the pool against an average request. */
  readonly size: number;
  /** Whether it was refused before and came back. */
  readonly returned: boolean;
}

interface Place<Entry extends LineEntry> {
  readonly entry: Entry;
  /** Latest time of a grant that still meets the target. */
  readonly onTimeUntil: number;
  /** Time after which waiting is no use. */
  readonly givesUpAt: number;
  /** Its turn: the lowest goes first. */
  readonly rank: number;
}

/** A refusal with the time to come back. */
export interface LineRefusal {
  readonly retryAfterMs: number;
}

/** Keeps those who wait in the order of their turns. */
export class WaitingLine<Entry extends LineEntry> {
  readonly #clock: clocks.Clock;
  #places: Place<Entry>[] = [];
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
    if (waitMs > patienceMs && !entry.returned) return { retryAfterMs: computeRetryTime(waitMs) };
    const now = this.#clock.now();
    const onTimeUntil = now + slackMs;
    const rank = onTimeUntil + SIZE_WEIGHT_MS * Math.min(LARGEST_SIZE, entry.size);
    this.#places.push({ entry, onTimeUntil, givesUpAt: now + patienceMs, rank });
    this.#places.sort((first, second) => first.rank - second.rank);
    return undefined;
  }

  remove(entry: Entry): void {
    this.#places = this.#places.filter((place) => place.entry !== entry);
  }

  /** Returns whose turn it is. */
  findNext(): { readonly entry: Entry; readonly late: boolean } | undefined {
    const now = this.#clock.now();
    const onTime = this.#places.find((place) => place.onTimeUntil >= now);
    if (onTime !== undefined) return { entry: onTime.entry, late: false };
    const next = this.#places.find((place) => place.entry.returned) ?? this.#places[0];
    return next === undefined ? undefined : { entry: next.entry, late: true };
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
  return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs));
}
