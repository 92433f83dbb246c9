/** Results of finished prefills: each expires after a short life unless it is fetched. */
import type * as upstream from "../../src/upstream/types.js";
import type * as engineCounters from "./engine-counters.js";
import type * as engineOptions from "./engine-options.js";

interface StoredResult {
  readonly kv: engineOptions.KvExport;
  readonly cancelTimer: () => void;
}

/** Results by handle; what is dropped unused counts as wasted. */
export class PrefillResults {
  readonly #options: engineOptions.EngineOptions;
  readonly #counters: engineCounters.EngineCounters;
  readonly #onExpired: () => void;
  readonly #results = new Map<string, StoredResult>();
  #lastHandle = 0;

  /** @param onExpired - called when memory became free because a result expired. */
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

  /** Attempts whose result is kept. */
  listHeld(): upstream.AttemptId[] {
    return [...this.#results.values()].map(({ kv }) => ({ id: kv.id, attempt: kv.attempt }));
  }

  /** Keeps a result for its life and returns its handle. */
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

  /** Hands a result over; it is no longer held here. */
  pop(handle: string): engineOptions.KvExport | undefined {
    const result = this.#results.get(handle);
    result?.cancelTimer();
    this.#results.delete(handle);
    return result?.kv;
  }

  /** Drops results unused. */
  removeWhere(isRemoved: (kv: engineOptions.KvExport) => boolean): void {
    for (const [handle, result] of this.#results) {
      if (!isRemoved(result.kv)) continue;
      result.cancelTimer();
      this.#results.delete(handle);
      this.#counters.wastedPrefillTokens += result.kv.computedTokens;
    }
  }
}
