/** A fleet on simulated time whose VMs relay one registry of the platform, which can be restored from a copy. */
import * as clocks from "../../src/kernel/clock.js";
import type * as container from "../../src/kernel/container.js";
import * as network from "../../src/protocol/network.js";
import * as registryExchange from "../../src/registry/registry-exchange.js";
import * as registryReader from "../../src/registry/registry-reader.js";
import * as registryRelay from "../../src/registry/registry-relay.js";
import * as registryView from "../../src/registry/registry-view.js";
import type * as types from "../../src/registry/types.js";
import * as fleets from "../membership/fleet.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

const PULL_CALL = 30;
const PULL_STREAM = 35;
const ANSWER_MS = 4;
const EXPIRY_CHECK_PERIOD_MS = 250;

/** What the registry keeps. */
export interface RegistryState {
  readonly items: ReadonlyMap<string, types.RegistryItem<string>>;
  readonly changes: readonly types.RegistryChange<string>[];
  readonly revision: number;
}

/** The platform's registry, with its calls counted. */
export class FakeRegistry {
  readonly #clock: clocks.Clock;
  #items = new Map<string, types.RegistryItem<string>>();
  #changes: types.RegistryChange<string>[] = [];
  #revision = 1;
  #epoch = 1;
  callCount = 0;
  /** Whether answers name the epoch. */
  namesEpoch = true;
  /** Whether the platform answers a VM. */
  isReachable: (vm: string) => boolean = () => true;
  /** Whether the history that a VM's watch asks for is gone. */
  hasGap: (vm: string) => boolean = () => false;
  /** Ends or holds up the full reads of a VM. */
  holdRead: (vm: string, signal: AbortSignal) => Promise<void> = () => Promise.resolve();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Writes an item; one without a value cannot be parsed. */
  set(key: string, value: string | undefined): void {
    this.#revision += 1;
    const item = { key, revision: this.#revision, value };
    this.#items.set(key, item);
    this.#changes.push({ removed: false, item });
  }

  remove(key: string): void {
    this.#revision += 1;
    this.#items.delete(key);
    this.#changes.push({ removed: true, key, revision: this.#revision });
  }

  /** Returns what the registry keeps now. */
  copy(): RegistryState {
    return { items: new Map(this.#items), changes: [...this.#changes], revision: this.#revision };
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restore({ items, changes, revision }: RegistryState): void {
    this.#items = new Map(items);
    this.#changes = [...changes];
    this.#revision = revision;
    this.#epoch += 1;
  }

  createSource(vm: string): types.RegistrySource<string> {
    return {
      readAll: async (signal) => {
        await this.#answer(vm, signal);
        await this.holdRead(vm, signal);
        const items = [...this.#items.values()];
        return { epoch: this.#findNamedEpoch(), revision: this.#revision, items };
      },
      watch: async (after, waitMs, signal) => {
        await this.#answer(vm, signal);
        const until = this.#clock.now() + waitMs;
        while (this.#revision <= after && this.#clock.now() < until && !this.hasGap(vm))
          await clocks.sleep(this.#clock, 20, signal);
        if (!this.isReachable(vm)) await clocks.sleep(this.#clock, 60_000, signal);
        // The history of a revision that has not been given out is not available.
        if (after > this.#revision || this.hasGap(vm)) return undefined;
        const changes = this.#changes.filter((change) => getRevision(change) > after);
        return { epoch: this.#findNamedEpoch(), revision: this.#revision, changes };
      },
    };
  }

  #findNamedEpoch(): number | undefined {
    return this.namesEpoch ? this.#epoch : undefined;
  }

  async #answer(vm: string, signal: AbortSignal): Promise<void> {
    this.callCount += 1;
    await clocks.sleep(this.#clock, this.isReachable(vm) ? ANSWER_MS : 60_000, signal);
  }
}

function getRevision(change: types.RegistryChange<string>): number {
  return change.removed ? change.revision : change.item.revision;
}

/** A fleet whose VMs relay one registry. */
export class RelayFleet implements AsyncDisposable {
  readonly fleet = new fleets.TestFleet();
  readonly registry = new FakeRegistry(this.fleet.clock);
  readonly views = new Map<string, registryView.RegistryView<string>>();
  readonly roles = new Map<string, registryRelay.RegistryRelay>();
  /** Whether peers answer no call for a snapshot. */
  breaksPulls = false;
  readonly #controllers = new Map<string, AbortController>();

  /** @param namesEpoch - whether the platform's answers name the epoch. */
  static async start(size: number, namesEpoch = true): Promise<RelayFleet> {
    const relayed = new RelayFleet();
    relayed.registry.namesEpoch = namesEpoch;
    relayed.registry.set("a", "a1");
    relayed.fleet.startExtraServices = (kernel) => {
      relayed.#startNode(kernel);
      return Promise.resolve();
    };
    await relayed.fleet.start(size);
    await relayed.fleet.waitUntil(() => relayed.fleet.isAliveCount(size), 30_000);
    await relayed.fleet.clock.advance(10_000);
    return relayed;
  }

  /** Starts a VM's process anew, which then knows nothing. */
  async restart(vm: string): Promise<void> {
    this.#controllers.get(vm)?.abort();
    this.views.delete(vm);
    this.roles.delete(vm);
    const killed = this.fleet.kill(vm);
    await this.fleet.clock.advance(100);
    await killed;
    const started = this.fleet.startNode(vm);
    await this.fleet.clock.advance(2_000);
    await started;
  }

  /** VMs that do not read the platform in their usual role. */
  listFollowers(): readonly string[] {
    return [...this.roles].filter(([, role]) => !role.isReading()).map(([vm]) => vm);
  }

  listReaders(): readonly string[] {
    return [...this.roles].filter(([, role]) => role.hasFollowers).map(([vm]) => vm);
  }

  /** Returns how long it takes until every listed VM has a value. */
  waitForValue(key: string, value: string | undefined, vms: readonly string[]): Promise<number> {
    const isSeen = (vm: string): boolean =>
      this.views
        .get(vm)
        ?.list()
        .find((item) => item.key === key)?.value === value;
    return this.fleet.waitUntil(() => vms.every(isSeen), 20_000);
  }

  #createNetwork(peers: network.PeerNetwork): network.PeerNetwork {
    const isBroken = (): boolean => this.breaksPulls;
    return new Proxy(peers, {
      get: (target, name) => {
        if (name === "stream" && isBroken())
          return () => {
            throw new network.PeerCallError(network.CALL_FAILURE.noReply, "no part");
          };
        const member: unknown = Reflect.get(target, name);
        return typeof member === "function" ? (member.bind(target) as unknown) : member;
      },
    });
  }

  #startNode(kernel: container.Kernel): void {
    const clock = kernel.use("clock");
    const { vm } = kernel.use("settings");
    const view = new registryView.RegistryView<string>(clock);
    const shared = {
      clock,
      random: kernel.use("random"),
      log: kernel.use("log"),
      metrics: inertMetrics.createInertMetrics(),
      network: this.#createNetwork(kernel.use("network")),
      membership: kernel.use("membership"),
      name: "runners",
      view,
    };
    const relay = new registryRelay.RegistryRelay(shared);
    const source = this.registry.createSource(vm);
    const reader = new registryReader.RegistryReader({ ...shared, source, role: relay });
    const { name } = shared;
    const exchange = new registryExchange.RegistryExchange({
      ...{ ...shared, callKind: PULL_CALL, streamKind: PULL_STREAM },
      onFailedTry: () => {
        relay.handleFailedPull(name);
      },
      onPosition: (position) => {
        reader.recordTold(position);
      },
    });
    const relayedRegistry = {
      name,
      view,
      findAnsweredAt: () => reader.answeredAt,
      pull: (peer: string) => exchange.pull(peer),
      waitForPull: () => exchange.waitForPull(),
      recordTold: (position: types.RegistryPosition) => {
        exchange.recordTold(position);
      },
      handlePosition: (position: types.RegistryPosition, peer: string) => {
        exchange.handlePosition(position, peer);
      },
    };
    relay.addRegistry(registryRelay.createRelayedRegistry(relayedRegistry));
    this.views.set(vm, view);
    this.roles.set(vm, relay);
    const controller = new AbortController();
    this.#controllers.set(vm, controller);
    void reader.run(controller.signal);
    void relay.run(controller.signal);
    void runExpiry(clock, view, controller.signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const controller of this.#controllers.values()) controller.abort();
    await this.fleet[Symbol.asyncDispose]();
  }
}

async function runExpiry(
  clock: clocks.Clock,
  view: registryView.RegistryView<string>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clocks.sleep(clock, EXPIRY_CHECK_PERIOD_MS, signal).catch(() => undefined);
    view.removeExpired();
  }
}
