/** What an engine serves, and the orders that change it. */
import type * as upstream from "../../src/upstream/types.js";
import type * as engineOptions from "./engine-options.js";
import * as engineRefusal from "./engine-refusal.js";

/** What is loaded, or is to be. */
export type ServedSet = Pick<upstream.RunnerOrder, "model" | "version" | "adapters" | "role">;

/** Applies orders: checks the fencing number, loads weights, and says what can be served. */
export class Served {
  readonly #options: engineOptions.EngineOptions;
  readonly #cutRunning: () => void;
  #current: ServedSet;
  #target: ServedSet;
  #fencing = 0;
  #loading: AbortController | undefined;

  /** @param cutRunning - called when what runs now cannot go on. */
  constructor(options: engineOptions.EngineOptions, cutRunning: () => void) {
    this.#options = options;
    this.#cutRunning = cutRunning;
    const { model, version, adapters, role } = options;
    this.#current = { model, version, adapters, role };
    this.#target = this.#current;
  }

  get current(): ServedSet {
    return this.#current;
  }

  /** Fencing number of the last order that was accepted. */
  get fencing(): number {
    return this.#fencing;
  }

  /** @throws EngineRefusal when the engine cannot serve this now. */
  check(role: ServedSet["role"], model: string, adapter: string | undefined): void {
    if (this.#loading !== undefined && !isOnlyAdapters(this.#current, this.#target)) {
      throw engineRefusal.createRefusal("unavailable", "weights are being loaded");
    }
    if (role !== this.#current.role || model !== this.#current.model) {
      throw engineRefusal.createRefusal("conflict", "serves another model or role");
    }
    if (adapter !== undefined && !this.#current.adapters.includes(adapter)) {
      throw engineRefusal.createRefusal("conflict", "adapter is not loaded");
    }
  }

  /** Accepts an order and begins to carry it out. @throws EngineRefusal */
  apply(order: upstream.RunnerOrder): void {
    if (this.#options.checksFencing && order.fencing < this.#fencing) {
      throw engineRefusal.createRefusal("conflict", "old fencing number");
    }
    this.#fencing = order.fencing;
    const { model, version, adapters, role } = order;
    const target: ServedSet = { model, version, adapters: [...adapters], role };
    if (isSame(target, this.#target)) return;
    this.#target = target;
    this.#loading?.abort();
    if (!isOnlyAdapters(this.#current, target)) this.#cutRunning();
    void this.#load(target);
  }

  /** Returns to what the engine served when it started. */
  reset(): void {
    this.#loading?.abort();
    this.#loading = undefined;
    const { model, version, adapters, role } = this.#options;
    this.#current = { model, version, adapters, role };
    this.#target = this.#current;
    this.#fencing = 0;
  }

  async #load(target: ServedSet): Promise<void> {
    const loading = new AbortController();
    this.#loading = loading;
    try {
      await this.#options.weightStore.send(this.#countBytes(target), loading.signal);
    } catch {
      return;
    }
    this.#loading = undefined;
    this.#current = target;
  }

  #countBytes(target: ServedSet): number {
    const sameWeights =
      target.model === this.#current.model && target.version === this.#current.version;
    const known = sameWeights ? this.#current.adapters : [];
    const missing = target.adapters.filter((adapter) => !known.includes(adapter));
    const weightBytes = sameWeights ? 0 : this.#options.weightBytes;
    return weightBytes + missing.length * this.#options.adapterBytes;
  }
}

function isOnlyAdapters(current: ServedSet, target: ServedSet): boolean {
  return (
    current.model === target.model &&
    current.version === target.version &&
    current.role === target.role
  );
}

function isSame(first: ServedSet, second: ServedSet): boolean {
  const firstAdapters = [...first.adapters].sort().join(",");
  const secondAdapters = [...second.adapters].sort().join(",");
  return isOnlyAdapters(first, second) && firstAdapters === secondAdapters;
}
