/** The configuration in force at this node: store, service reader and spreading brought together. */
import type * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import * as configurationStore from "./configuration-store.js";
import * as documentSpreader from "./document-spreader.js";
import * as serviceReader from "./service-reader.js";
import type * as types from "./types.js";

/** Times a starting node asks peers that do not answer before it goes on without them. */
const MAX_ROUNDS = 5;
const ROUND_PERIOD_MS = 1000;

class SpreadConfiguration implements types.Configuration {
  readonly #clock: clocks.Clock;
  readonly #store: configurationStore.ConfigurationStore;
  readonly #spreader: documentSpreader.DocumentSpreader;
  readonly #reader: serviceReader.ServiceReader;
  readonly #controller = new AbortController();
  #task: Promise<void> = Promise.resolve();
  #hasAsked = false;

  constructor(kernel: container.Kernel) {
    this.#clock = kernel.use("clock");
    this.#store = new configurationStore.ConfigurationStore(kernel.use("log"));
    const shared = {
      membership: kernel.use("membership"),
      store: this.#store,
      clock: this.#clock,
      random: kernel.use("random"),
      log: kernel.use("log"),
    };
    this.#spreader = new documentSpreader.DocumentSpreader({
      ...shared,
      network: kernel.use("network"),
    });
    this.#reader = new serviceReader.ServiceReader({
      ...shared,
      platform: kernel.use("platform"),
    });
  }

  get current(): types.InForce | undefined {
    return this.#store.current;
  }

  get ready(): boolean {
    return this.#hasAsked && this.#store.current !== undefined;
  }

  get lastRefusal(): configurationStore.Refusal | undefined {
    return this.#store.lastRefusal;
  }

  get lastConflict(): types.RevisionConflict | undefined {
    return this.#store.lastConflict;
  }

  apply(published: types.PublishedDocument): boolean {
    return this.#store.apply(published);
  }

  onChange(listener: (inForce: types.InForce) => void): Disposable {
    return this.#store.onChange(listener);
  }

  start(): Promise<void> {
    this.#task = this.#run(this.#controller.signal);
    return Promise.resolve();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node stops"));
    await this.#task;
  }

  /** Asks peers and the service, then watches. */
  async #run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#callPeers(signal), this.#reader.read(signal)]);
    this.#hasAsked = true;
    await this.#reader.run(signal);
  }

  async #callPeers(signal: AbortSignal): Promise<void> {
    for (let round = 0; round < MAX_ROUNDS && !signal.aborted; round += 1) {
      if (await this.#spreader.callPeers()) return;
      await clocks.sleep(this.#clock, ROUND_PERIOD_MS, signal).catch(() => undefined);
    }
  }
}

/**
 * Creates the configuration of a node.
 *
 * @example kernel.register("configuration", (services) => createConfiguration(services));
 */
export function createConfiguration(kernel: container.Kernel): types.Configuration {
  return new SpreadConfiguration(kernel);
}
