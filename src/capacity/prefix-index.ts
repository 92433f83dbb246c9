/** Which prompt prefixes runners probably have cached. A wrong entry costs no more than a miss. */
import * as lru from "lru-cache";
import type * as upstream from "../upstream/types.js";

const MAX_PREFIXES_PER_RUNNER = 20_000;
const MAX_RUNNERS = 1000;
/** Age after which an entry no longer counts, for its eviction may have been lost. */
const ENTRY_LIFE_MS = 60_000;

/** A prefix and the tokens that it covers. */
export interface PrefixLength {
  readonly hash: string;
  readonly tokens: number;
}

interface RunnerCache {
  readonly prefixes: lru.LRUCache<string, number>;
  lastEvent: number;
}

/** Prefixes by runner, from the node's own prefills and from cache events. */
export class PrefixIndex {
  readonly #runners = new lru.LRUCache<string, RunnerCache>({ max: MAX_RUNNERS });

  /** Records prefixes that a runner computed or was seen to have at `now`. */
  add(runner: string, prefixes: readonly string[], now: number): void {
    const cache = this.#getCache(runner);
    for (const prefix of prefixes) cache.prefixes.set(prefix, now);
  }

  /** Number of the last event that was applied, to read on from. */
  getLastEvent(runner: string): number {
    return this.#runners.get(runner)?.lastEvent ?? 0;
  }

  /** Applies events in order. After a gap older entries are dropped, for evictions were missed. */
  applyEvents(runner: string, events: readonly upstream.CacheEvent[], now: number): void {
    const cache = this.#getCache(runner);
    for (const event of events) {
      if (event.number <= cache.lastEvent) continue;
      if (cache.lastEvent > 0 && event.number > cache.lastEvent + 1) cache.prefixes.clear();
      cache.lastEvent = event.number;
      if (event.type === "stored") cache.prefixes.set(event.prefix, now);
      else cache.prefixes.delete(event.prefix);
    }
  }

  /** Returns the tokens of the longest prefix that the runner probably has. */
  findMatch(runner: string, prefixes: readonly PrefixLength[], now: number): number {
    const cache = this.#runners.get(runner);
    if (cache === undefined) return 0;
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      const prefix = prefixes[index];
      if (prefix === undefined) continue;
      const seenAt = cache.prefixes.get(prefix.hash);
      if (seenAt !== undefined && now - seenAt <= ENTRY_LIFE_MS) return prefix.tokens;
    }
    return 0;
  }

  #getCache(runner: string): RunnerCache {
    let cache = this.#runners.get(runner);
    if (cache === undefined) {
      cache = { prefixes: new lru.LRUCache({ max: MAX_PREFIXES_PER_RUNNER }), lastEvent: 0 };
      this.#runners.set(runner, cache);
    }
    return cache;
  }
}
