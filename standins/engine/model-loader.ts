/** The model that an engine serves, and the orders that change it. */
import type * as upstream from "../../src/upstream/types.js";
import type * as engineOptions from "./engine-options.js";
import * as engineRefusal from "./engine-refusal.js";

/** Model, version, adapters and role of an engine. */
export type ServedModel = Pick<upstream.RunnerOrder, "model" | "version" | "adapters" | "role">;

/** Applies orders: checks their fencing number, loads weights, and tracks what can be served. */
export class ModelLoader {
  readonly #options: engineOptions.EngineOptions;
  readonly #abortRunning: () => void;
  #current: ServedModel;
  #target: ServedModel;
  #fencing = 0;
  #loadController: AbortController | undefined;

  /** @param abortRunning - called when an order changes the model, its version or the role. */
  constructor(options: engineOptions.EngineOptions, abortRunning: () => void) {
    this.#options = options;
    this.#abortRunning = abortRunning;
    const { model, version, adapters, role } = options;
    this.#current = { model, version, adapters, role };
    this.#target = this.#current;
  }

  /** What the engine serves now; an order takes effect here when its weights are loaded. */
  get current(): ServedModel {
    return this.#current;
  }

  /** Fencing number of the last accepted order. */
  get fencing(): number {
    return this.#fencing;
  }

  /** @throws EngineRefusal if the engine cannot currently serve this role, model and adapter. */
  check(role: ServedModel["role"], model: string, adapter: string | undefined): void {
    if (this.#loadController !== undefined && !hasSameWeightsAndRole(this.#current, this.#target)) {
      throw engineRefusal.createRefusal("unavailable", "weights are being loaded");
    }
    if (role !== this.#current.role || model !== this.#current.model) {
      throw engineRefusal.createRefusal("conflict", "serves another model or role");
    }
    if (adapter !== undefined && !this.#current.adapters.includes(adapter)) {
      throw engineRefusal.createRefusal("conflict", "adapter is not loaded");
    }
  }

  /**
   * Accepts an order, and starts to load weights unless it asks for what is loaded or being loaded.
   *
   * @throws EngineRefusal when fencing is checked and the order's number is lower than the last
   * one.
   */
  apply(order: upstream.RunnerOrder): void {
    if (this.#options.checksFencing && order.fencing < this.#fencing) {
      throw engineRefusal.createRefusal("conflict", "old fencing number");
    }
    this.#fencing = order.fencing;
    const { model, version, adapters, role } = order;
    const target: ServedModel = { model, version, adapters: [...adapters], role };
    if (isSameServedModel(target, this.#target)) return;
    this.#target = target;
    this.#loadController?.abort();
    if (!hasSameWeightsAndRole(this.#current, target)) this.#abortRunning();
    void this.#load(target);
  }

  /** Restores the model, adapters and role of the options, and accepts any fencing number again. */
  reset(): void {
    this.#loadController?.abort();
    this.#loadController = undefined;
    const { model, version, adapters, role } = this.#options;
    this.#current = { model, version, adapters, role };
    this.#target = this.#current;
    this.#fencing = 0;
  }

  async #load(target: ServedModel): Promise<void> {
    const loading = new AbortController();
    this.#loadController = loading;
    try {
      await this.#options.weightStore.send(this.#countBytes(target), loading.signal);
    } catch {
      return;
    }
    this.#loadController = undefined;
    this.#current = target;
  }

  #countBytes(target: ServedModel): number {
    const sameWeights =
      target.model === this.#current.model && target.version === this.#current.version;
    const loadedAdapters = sameWeights ? this.#current.adapters : [];
    const missingAdapters = target.adapters.filter((adapter) => !loadedAdapters.includes(adapter));
    const weightBytes = sameWeights ? 0 : this.#options.weightBytes;
    return weightBytes + missingAdapters.length * this.#options.adapterBytes;
  }
}

function hasSameWeightsAndRole(current: ServedModel, target: ServedModel): boolean {
  return (
    current.model === target.model &&
    current.version === target.version &&
    current.role === target.role
  );
}

function isSameServedModel(first: ServedModel, second: ServedModel): boolean {
  const firstAdapters = [...first.adapters].sort().join(",");
  const secondAdapters = [...second.adapters].sort().join(",");
  return hasSameWeightsAndRole(first, second) && firstAdapters === secondAdapters;
}
