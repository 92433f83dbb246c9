/** Nodes with the real capacity service over an in-process network and fake engines. */
import * as localFleet from "../../bench/local-fleet.js";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as capacities from "../../src/capacity/capacity.js";
import type * as policies from "../../src/capacity/policy.js";
import type * as types from "../../src/capacity/types.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import type * as platform from "../../src/configuration/types.js";
import type * as document from "../../src/settings/document.js";
import type * as upstream from "../../src/upstream/types.js";

/** Options of a fixture. */
export interface FixtureOptions {
  readonly nodes?: number;
  readonly slots?: number;
  readonly pieces?: number;
  readonly decoders?: number;
  readonly policy?: Partial<policies.CapacityPolicy>;
}

/** Engines that record cancellations and report the attempts set by the test. */
export class FakeEngines {
  readonly cancelled: string[] = [];
  readonly held = new Map<string, upstream.AttemptId[]>();
  readonly down = new Set<string>();

  /** Creates the client of one node. */
  createClient(slots: number): upstream.EngineClient {
    const refuse = (): never => {
      throw new Error("the fake engine implements only cancel, readCacheEvents and readLoad");
    };
    return {
      prefill: refuse,
      decode: refuse,
      resume: refuse,
      sendOrder: refuse,
      cancel: (runner, { id, attempt }) => {
        this.cancelled.push(`${runner.name} ${id} ${attempt}`);
        return Promise.resolve();
      },
      readCacheEvents: () => Promise.resolve([]),
      readLoad: (runner) => {
        if (this.down.has(runner.name)) return Promise.reject(new Error("down"));
        const held = this.held.get(runner.name) ?? [];
        return Promise.resolve({
          slotsUsed: held.length,
          slotsTotal: slots,
          piecesUsed: held.length,
          piecesTotal: 4000,
          queuedPrefillTokens: 0,
          model: "m",
          adapters: [],
          version: "1",
          role: runner.name.startsWith("p") ? "prefill" : "decode",
          fencing: 1,
          ageMs: 0,
          held,
        });
      },
    };
  }
}

/** A fleet of nodes; `capacities` has their capacity services, by the index of the node. */
export class Fixture implements AsyncDisposable {
  readonly clock = new virtualClock.VirtualClock();
  readonly fleet = new localFleet.LocalFleet(this.clock, 1);
  readonly engines = new FakeEngines();
  readonly capacities: types.Capacity[] = [];
  readonly #kernels: container.Kernel[] = [];

  constructor(options: FixtureOptions) {
    const fleet = createDocument(options);
    for (let index = 0; index < (options.nodes ?? 1); index += 1) {
      const node = this.fleet.addNode(`vm${index}`, `zone-${index % 2}`, "region");
      const kernel = container.createKernel();
      kernel.register("clock", () => this.clock);
      kernel.register("random", () => random.createSeededRandom(index + 1));
      kernel.register("network", () => node.network);
      kernel.register("membership", () => node.membership);
      kernel.register("engines", () => this.engines.createClient(options.slots ?? 2));
      kernel.register("log", () => ({ write: () => undefined }));
      kernel.register("configuration", () => createConfiguration(fleet));
      kernel.register("capacity", (parent) => capacities.createCapacity(parent, options.policy));
      this.#kernels.push(kernel);
      this.capacities.push(kernel.use("capacity"));
    }
  }

  /** Starts the services and advances the clock past the settling time of new allocators. */
  async start(): Promise<this> {
    await Promise.all(this.capacities.map((capacity) => capacity.start()));
    await this.clock.run(this.clock.now() + 4000);
    return this;
  }

  /** Advances the clock and returns the settled result of a promise. */
  async waitSettled<Value>(
    promise: Promise<Value>,
    ms = 100,
  ): Promise<PromiseSettledResult<Value>> {
    const settled = Promise.allSettled([promise]);
    await this.clock.run(this.clock.now() + ms);
    const [result] = await settled;
    return result;
  }

  /** Reserves at a node and returns the settled result. */
  async reserve(
    id: string,
    changes: Partial<types.Demand> = {},
    node = 0,
  ): Promise<PromiseSettledResult<types.Reservation>> {
    const capacity = this.capacities[node];
    if (capacity === undefined) throw new Error(`no node ${node}`);
    const demand = createDemand(id, this.clock.now(), changes);
    return this.waitSettled(capacity.reserve(demand, new AbortController().signal));
  }

  /** Reserves at a node and throws if the reservation is refused. */
  async reserveGranted(
    id: string,
    changes: Partial<types.Demand> = {},
    node = 0,
  ): Promise<types.Reservation> {
    const result = await this.reserve(id, changes, node);
    if (result.status === "rejected") throw result.reason;
    return result.value;
  }

  /** Returns the leases of decode runners that all nodes have granted. */
  listDecodeLeases(): types.LeaseView[] {
    return this.capacities
      .flatMap((capacity) => [...capacity.listLeases()])
      .filter((lease) => lease.slots > 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const kernel of this.#kernels) await kernel[Symbol.asyncDispose]();
  }
}

/** Creates a demand whose targets are easily met by an idle fleet. */
export function createDemand(
  id: string,
  now: number,
  changes: Partial<types.Demand> = {},
): types.Demand {
  return {
    id,
    attempt: 1,
    caller: "caller",
    model: "m",
    promptTokens: 1000,
    maxTokens: 100,
    prefixes: [],
    priority: 5,
    share: 1,
    firstTokenBy: now + 2000,
    betweenTokensMs: 60,
    deadline: now + 60_000,
    exclude: [],
    ...changes,
  };
}

function createConfiguration(fleet: document.FleetDocument): platform.Configuration {
  return {
    current: { document: fleet, revision: 1, digest: "" },
    ready: true,
    lastRefusal: undefined,
    apply: () => true,
    onChange: () => ({ [Symbol.dispose]: () => undefined }),
    start: () => Promise.resolve(),
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
}

function createDocument(options: FixtureOptions): document.FleetDocument {
  const createRunner = (name: string, pool: string, index: number): document.Runner => ({
    name,
    host: "127.0.0.1",
    port: 1,
    zone: `zone-${index % 2}`,
    pool,
    slots: options.slots ?? 2,
    pieces: options.pieces ?? 4000,
    prefillTokensPerSecond: 10_000,
    stepMs: 20,
    checksFencing: true,
  });
  const decoders = Array.from({ length: options.decoders ?? 1 }, (_, index) =>
    createRunner(`d${index}`, "decoders", index),
  );
  return {
    format: 1,
    revision: 1,
    operator: "test",
    regions: [{ name: "region", zones: ["zone-0", "zone-1"] }],
    callers: [],
    models: [
      {
        name: "m",
        version: "1",
        adapters: [],
        weightBytes: 1,
        tokensPerPiece: 16,
        kvBytesPerToken: 1000,
        maxOutputTokens: 1000,
      },
    ],
    pools: [
      { name: "prefills", role: "prefill", model: "m" },
      { name: "decoders", role: "decode", model: "m" },
    ],
    runners: [createRunner("p0", "prefills", 0), ...decoders],
    services: [],
    links: [],
    weightStore: { bytesPerSecond: 1 },
  };
}
