/**
 * Priority queue of requests that wait for a placement, used when requests arrive faster than they
 * can be placed. Requests that can still meet their target go before late ones. Within these, a
 * cheap request goes before an expensive one whose target expires slightly earlier, since it leaves
 * capacity for more requests. The cost adds at most `COST_PENALTY_MS` x `MAX_RELATIVE_COST` to the
 * rank, so that expensive requests are delayed in a burst but not starved. Late requests that were
 * refused before and retried go before the other late ones.
 */
import type * as clocks from "../kernel/clock.js";

/** Window over which the rate of grants is computed. */
const GRANT_RATE_WINDOW_MS = 4_000;
/** Queue length from which the expected wait is computed; a shorter queue admits every request. */
const MIN_LENGTH_FOR_ESTIMATE = 8;
/**
 * Minimum retry time in a refusal. Bursts last a few seconds; an earlier retry would arrive during
 * the same burst and be refused again.
 */
const MIN_RETRY_AFTER_MS = 2_500;
const MAX_RETRY_AFTER_MS = 4_500;
/**
 * Rank penalty of a request of average cost: a large part of the time in which a request can still
 * meet its target.
 */
const COST_PENALTY_MS = 300;
/** Upper bound on the relative cost that counts for the rank. */
const MAX_RELATIVE_COST = 3;

/** A request in the queue. */
export interface QueueEntry {
  /** Expected use of memory over time, relative to the average request. */
  readonly relativeCost: number;
  /** Whether this is a retry of a refused request. */
  readonly isRetry: boolean;
  /** Whether it resumes a stream that its caller has in part. */
  readonly isResumed: boolean;
}

interface QueueItem<Entry extends QueueEntry> {
  readonly entry: Entry;
  /** Latest time at which a grant still meets the target. */
  readonly onTimeUntil: number;
  /** Time at which waiting is no longer useful. */
  readonly expiresAt: number;
  /**
   * Sort key in ms: `onTimeUntil` plus the cost penalty; among on-time requests the lowest goes
   * first.
   */
  readonly rank: number;
}

/** A refusal with the time after which to retry. */
export interface QueueRefusal {
  readonly retryAfterMs: number;
}

/** Queued requests in the order of their ranks. */
export class PlacementQueue<Entry extends QueueEntry> {
  readonly #clock: clocks.Clock;
  #items: QueueItem<Entry>[] = [];
  readonly #grantTimes: number[] = [];

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#items.length;
  }

  /**
   * Adds a request, or refuses it if its expected wait exceeds `maxWaitMs`. Retries are always
   * added, and so are resumed streams.
   *
   * @param slackMs - time left in which a grant still meets the target.
   */
  add(entry: Entry, slackMs: number, maxWaitMs: number): QueueRefusal | undefined {
    const waitMs = this.#computeExpectedWait();
    if (waitMs > maxWaitMs && !entry.isRetry && !entry.isResumed)
      return { retryAfterMs: computeRetryAfter(waitMs) };
    const now = this.#clock.now();
    const onTimeUntil = now + slackMs;
    const rank = onTimeUntil + COST_PENALTY_MS * Math.min(MAX_RELATIVE_COST, entry.relativeCost);
    this.#items.push({ entry, onTimeUntil, expiresAt: now + maxWaitMs, rank });
    this.#items.sort((first, second) => first.rank - second.rank);
    return undefined;
  }

  remove(entry: Entry): void {
    this.#items = this.#items.filter((item) => item.entry !== entry);
  }

  /**
   * Returns the entry that is to be granted next, and whether it is late; `undefined` when there is none. Resumed streams
   * come first, since what they have produced would be lost.
   *
   * @param blocked - entries to leave out.
   */
  findNext(
    blocked: ReadonlySet<Entry> = new Set(),
  ): { readonly entry: Entry; readonly late: boolean } | undefined {
    const now = this.#clock.now();
    const items = this.#items.filter(({ entry }) => !blocked.has(entry));
    const resumed = items.find(({ entry }) => entry.isResumed);
    if (resumed !== undefined) return { entry: resumed.entry, late: resumed.onTimeUntil < now };
    const onTime = items.find((item) => item.onTimeUntil >= now);
    if (onTime !== undefined) return { entry: onTime.entry, late: false };
    const next = items.find((item) => item.entry.isRetry) ?? items[0];
    return next === undefined ? undefined : { entry: next.entry, late: true };
  }

  listEntries(): readonly Entry[] {
    return this.#items.map(({ entry }) => entry);
  }

  recordGrant(entry: Entry): void {
    this.remove(entry);
    this.#grantTimes.push(this.#clock.now());
  }

  /** Removes and returns the entries whose `maxWaitMs` has passed, with a retry time. */
  removeExpired(): readonly { readonly entry: Entry; readonly retryAfterMs: number }[] {
    const now = this.#clock.now();
    const expired = this.#items.filter((item) => item.expiresAt <= now);
    for (const { entry } of expired) this.remove(entry);
    const retryAfterMs = computeRetryAfter(this.#computeExpectedWait());
    return expired.map(({ entry }) => ({ entry, retryAfterMs }));
  }

  /**
   * Returns the time until the next entry expires or becomes late, `undefined` when the queue is
   * empty.
   */
  computeTimeToNextChange(): number | undefined {
    const now = this.#clock.now();
    let next: number | undefined;
    for (const { onTimeUntil, expiresAt } of this.#items) {
      const at = onTimeUntil > now ? Math.min(onTimeUntil, expiresAt) : expiresAt;
      next = Math.min(next ?? at, at);
    }
    return next === undefined ? undefined : Math.max(1, next - now + 1);
  }

  /** Returns the expected wait of a request at the end of the queue. */
  #computeExpectedWait(): number {
    const now = this.#clock.now();
    while ((this.#grantTimes[0] ?? now) < now - GRANT_RATE_WINDOW_MS) this.#grantTimes.shift();
    if (this.#items.length < MIN_LENGTH_FOR_ESTIMATE) return 0;
    return (this.#items.length * GRANT_RATE_WINDOW_MS) / Math.max(1, this.#grantTimes.length);
  }
}

function computeRetryAfter(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
