/** Configuration of this node: combines the store, the reader and the replication between nodes. */
import type * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import * as configurationStore from "./configuration-store.js";
import * as documentReplicator from "./document-replicator.js";
import * as configurationReader from "./configuration-reader.js";
import type * as types from "./types.js";

/** Maximum attempts of a starting node to reach a peer before it continues without one. */
const MAX_PEER_ATTEMPTS = 5;
const PEER_ATTEMPT_PERIOD_MS = 1000;

class ReplicatedConfiguration implements types.Configuration {
  readonly #clock: clocks.Clock;
  readonly #store: configurationStore.ConfigurationStore;
  readonly #replicator: documentReplicator.DocumentReplicator;
  readonly #reader: configurationReader.ConfigurationReader;
  readonly #controller = new AbortController();
  #task: Promise<void> = Promise.resolve();
  #hasQueried = false;

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
    this.#replicator = new documentReplicator.DocumentReplicator({
      ...shared,
      network: kernel.use("network"),
    });
    this.#reader = new configurationReader.ConfigurationReader({
      ...shared,
      platform: kernel.use("platform"),
    });
  }

  get current(): types.ActiveConfiguration | undefined {
    return this.#store.current;
  }

  get ready(): boolean {
    return this.#hasQueried && this.#store.current !== undefined;
  }

  get lastRefusal(): configurationStore.DocumentRefusal | undefined {
    return this.#store.lastRefusal;
  }

  get lastConflict(): types.RevisionConflict | undefined {
    return this.#store.lastConflict;
  }

  apply(published: types.PublishedDocument): boolean {
    return this.#store.apply(published);
  }

  onChange(listener: (active: types.ActiveConfiguration) => void): Disposable {
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

  /** Queries peers and the configuration service, then watches the service. */
  async #run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#pullFromPeers(signal), this.#reader.read(signal)]);
    this.#hasQueried = true;
    await this.#reader.run(signal);
  }

  async #pullFromPeers(signal: AbortSignal): Promise<void> {
    for (let attempt = 0; attempt < MAX_PEER_ATTEMPTS && !signal.aborted; attempt += 1) {
      if (await this.#replicator.pullFromPeers()) return;
      await clocks.sleep(this.#clock, PEER_ATTEMPT_PERIOD_MS, signal).catch(() => undefined);
    }
  }
}

/**
 * Creates the configuration of a node.
 *
 * @example kernel.register("configuration", (services) => createConfiguration(services));
 */
export function createConfiguration(kernel: container.Kernel): types.Configuration {
  return new ReplicatedConfiguration(kernel);
}
