/** An engine's prefix cache, and its events, which are published late and with gaps. */
import type * as clocks from "../../src/kernel/clock.js";
import type * as upstream from "../../src/upstream/types.js";

const MAX_EVENTS = 1_000;

interface TimedEvent extends upstream.CacheEvent {
  readonly publishedAt: number;
}

/** Options of the cache. */
export interface PrefixCacheOptions {
  readonly clock: clocks.Clock;
  /** Maximum number of blocks; the least recently used block is evicted first. */
  readonly maxBlocks: number;
  readonly eventDelayMs: number;
  /** Every n-th event is lost; 0 disables losses. */
  readonly eventLossPeriod: number;
}

/** A set of prefix blocks with least-recently-used eviction. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #blocks = new Set<string>();
  readonly #events: TimedEvent[] = [];
  #lastNumber = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /** Returns how many consecutive prefixes are cached, starting with the shortest. */
  countMatch(prefixes: readonly string[]): number {
    let matched = 0;
    for (const prefix of prefixes) {
      if (!this.#blocks.has(prefix)) break;
      matched += 1;
    }
    return matched;
  }

  /** Stores prefixes, given shortest first, as the most recently used. */
  add(prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const wasCached = this.#blocks.delete(prefix);
      this.#blocks.add(prefix);
      if (!wasCached) this.#record("stored", prefix);
    }
    this.#evict();
  }

  /** Clears the cache and its events, as a crash does; the numbering of events continues. */
  reset(): void {
    this.#blocks.clear();
    this.#events.length = 0;
  }

  /** Returns the published events with a number above `after`. */
  listEvents(after: number): upstream.CacheEvent[] {
    const now = this.#options.clock.now();
    return this.#events
      .filter((event) => event.number > after && event.publishedAt <= now)
      .map(({ number, type, prefix }) => ({ number, type, prefix }));
  }

  #evict(): void {
    for (const prefix of this.#blocks) {
      if (this.#blocks.size <= this.#options.maxBlocks) return;
      this.#blocks.delete(prefix);
      this.#record("evicted", prefix);
    }
  }

  #record(type: upstream.CacheEvent["type"], prefix: string): void {
    this.#lastNumber += 1;
    const period = this.#options.eventLossPeriod;
    if (period > 0 && this.#lastNumber % period === 0) return;
    const publishedAt = this.#options.clock.now() + this.#options.eventDelayMs;
    this.#events.push({ number: this.#lastNumber, type, prefix, publishedAt });
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }
}
