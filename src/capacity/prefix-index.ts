/** Prompt prefixes that runners probably have cached. A stale entry costs only a cache miss. */
import * as lru from "lru-cache";
import type * as upstream from "../upstream/types.js";

const MAX_PREFIXES_PER_RUNNER = 20_000;
const MAX_RUNNERS = 1000;
/** Age after which an entry is ignored, since its eviction event may have been lost. */
const ENTRY_TTL_MS = 60_000;

/** A prompt prefix: its hash and the number of tokens that it covers. */
export interface PrefixLength {
  readonly hash: string;
  readonly tokens: number;
}

interface RunnerCache {
  readonly prefixes: lru.LRUCache<string, number>;
  lastEventNumber: number;
}

/** Cached prefixes by runner, learned from this node's prefills and from cache events. */
export class PrefixIndex {
  readonly #runners = new lru.LRUCache<string, RunnerCache>({ max: MAX_RUNNERS });

  /** Records prefixes that a runner has cached at `now`. */
  add(runner: string, prefixes: readonly string[], now: number): void {
    const cache = this.#getCache(runner);
    for (const prefix of prefixes) cache.prefixes.set(prefix, now);
  }

  /** Sequence number of the last applied event, from which reading resumes; 0 if there is none. */
  getLastEventNumber(runner: string): number {
    return this.#runners.get(runner)?.lastEventNumber ?? 0;
  }

  /**
   * Applies events in order and skips those already applied. A gap in their numbers clears the
   * runner's entries, as evictions may have been missed.
   */
  applyEvents(runner: string, events: readonly upstream.CacheEvent[], now: number): void {
    const cache = this.#getCache(runner);
    for (const event of events) {
      if (event.number <= cache.lastEventNumber) continue;
      if (cache.lastEventNumber > 0 && event.number > cache.lastEventNumber + 1)
        cache.prefixes.clear();
      cache.lastEventNumber = event.number;
      if (event.type === "stored") cache.prefixes.set(event.prefix, now);
      else cache.prefixes.delete(event.prefix);
    }
  }

  /** Returns the tokens of the longest prefix that the runner probably has cached. */
  findMatch(runner: string, prefixes: readonly PrefixLength[], now: number): number {
    const cache = this.#runners.get(runner);
    if (cache === undefined) return 0;
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      const prefix = prefixes[index];
      if (prefix === undefined) continue;
      const seenAt = cache.prefixes.get(prefix.hash);
      if (seenAt !== undefined && now - seenAt <= ENTRY_TTL_MS) return prefix.tokens;
    }
    return 0;
  }

  #getCache(runner: string): RunnerCache {
    let cache = this.#runners.get(runner);
    if (cache === undefined) {
      cache = { prefixes: new lru.LRUCache({ max: MAX_PREFIXES_PER_RUNNER }), lastEventNumber: 0 };
      this.#runners.set(runner, cache);
    }
    return cache;
  }
}
