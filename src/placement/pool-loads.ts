/** The load that a scheduler has placed on the runners of its pool. */
import * as decodeLoad from "./decode-load.js";
import type * as memoryForecast from "./memory-forecast.js";
import * as prefillLoad from "./prefill-load.js";

/** Time per output token while no decode runner is known; only its order of magnitude matters. */
const DEFAULT_MS_PER_TOKEN = 1;

/** Loads by runner id, created on first use. */
export class PoolLoads {
  readonly #decode = new Map<string, decodeLoad.DecodeLoad>();
  readonly #prefill = new Map<string, prefillLoad.PrefillLoad>();

  getOrCreateDecode(id: string): decodeLoad.DecodeLoad {
    const known = this.#decode.get(id);
    if (known !== undefined) return known;
    const load = new decodeLoad.DecodeLoad();
    this.#decode.set(id, load);
    return load;
  }

  getOrCreatePrefill(id: string): prefillLoad.PrefillLoad {
    const known = this.#prefill.get(id);
    if (known !== undefined) return known;
    const load = new prefillLoad.PrefillLoad();
    this.#prefill.set(id, load);
    return load;
  }

  /**
   * Removes a pending prompt from the runner on which it was placed; `prefillMs` is its duration if
   * the prefill succeeded.
   */
  releasePrefill(key: string, prefillMs: number | undefined): void {
    for (const load of this.#prefill.values()) {
      if (load.remove(key, prefillMs)) return;
    }
  }

  /** Removes a run from the runner on which it was placed; returns it if it was known. */
  releaseDecode(
    key: string,
    outputTokens: number,
    decodeMs: number,
    now: number,
  ): memoryForecast.ForecastRun | undefined {
    for (const load of this.#decode.values()) {
      const run = load.remove(key, now);
      if (run === undefined) continue;
      load.recordSpeed(outputTokens, decodeMs);
      return run;
    }
    return undefined;
  }

  /** Drops work whose end was not reported, and idle runners that are no longer listed. */
  expire(now: number, listed: ReadonlySet<string>): void {
    for (const [id, load] of this.#decode) {
      load.expire(now);
      if (load.runCount === 0 && !listed.has(id)) this.#decode.delete(id);
    }
    for (const [id, load] of this.#prefill) {
      load.expire(now);
      if (load.computeQueueTime() === 0 && !listed.has(id)) this.#prefill.delete(id);
    }
  }

  /** Returns the mean prefill speed of the pool's runners, in tokens per millisecond. */
  computePrefillSpeed(): number {
    const speeds = [...this.#prefill.values()].map((load) => load.tokensPerMs);
    return computeMean(speeds) ?? new prefillLoad.PrefillLoad().tokensPerMs;
  }

  /** Returns the mean decode time per output token over the pool's runners. */
  computeMsPerToken(): number {
    const speeds = [...this.#decode.values()].map((load) => load.msPerToken);
    return computeMean(speeds) ?? DEFAULT_MS_PER_TOKEN;
  }
}

function computeMean(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
