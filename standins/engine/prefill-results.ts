/** Results of finished prefills; each expires after `resultLifeMs` unless it is fetched. */
import type * as upstream from "../../src/upstream/types.js";
import type * as engineCounters from "./engine-counters.js";
import type * as engineOptions from "./engine-options.js";

interface StoredResult {
  readonly kv: engineOptions.KvExport;
  readonly cancelTimer: () => void;
}

/** Results by handle. The tokens of results that are removed unused are counted as wasted. */
export class PrefillResults {
  readonly #options: engineOptions.EngineOptions;
  readonly #counters: engineCounters.EngineCounters;
  readonly #onExpired: () => void;
  readonly #results = new Map<string, StoredResult>();
  #lastHandle = 0;

  /** @param onExpired - called when a result expires, which frees its memory. */
  constructor(
    options: engineOptions.EngineOptions,
    counters: engineCounters.EngineCounters,
    onExpired: () => void,
  ) {
    this.#options = options;
    this.#counters = counters;
    this.#onExpired = onExpired;
  }

  get size(): number {
    return this.#results.size;
  }

  get piecesUsed(): number {
    let pieces = 0;
    for (const result of this.#results.values()) pieces += result.kv.pieces;
    return pieces;
  }

  /** Returns the attempts whose results are stored. */
  listHeld(): upstream.AttemptId[] {
    return [...this.#results.values()].map(({ kv }) => ({ id: kv.id, attempt: kv.attempt }));
  }

  /** Stores a result until it expires or is fetched, and returns its handle. */
  add(kv: engineOptions.KvExport): string {
    this.#lastHandle += 1;
    const handle = `${this.#options.name}-${this.#lastHandle}`;
    const cancelTimer = this.#options.clock.schedule(this.#options.resultLifeMs, () => {
      this.removeWhere((other) => other === kv);
      this.#onExpired();
    });
    this.#results.set(handle, { kv, cancelTimer });
    return handle;
  }

  /**
   * Removes a result and returns it, without counting it as wasted; `undefined` when it is gone.
   */
  pop(handle: string): engineOptions.KvExport | undefined {
    const result = this.#results.get(handle);
    result?.cancelTimer();
    this.#results.delete(handle);
    return result?.kv;
  }

  /** Removes the results that `isRemoved` selects, and counts their tokens as wasted. */
  removeWhere(isRemoved: (kv: engineOptions.KvExport) => boolean): void {
    for (const [handle, result] of this.#results) {
      if (!isRemoved(result.kv)) continue;
      result.cancelTimer();
      this.#results.delete(handle);
      this.#counters.wastedPrefillTokens += result.kv.computedTokens;
    }
  }
}
