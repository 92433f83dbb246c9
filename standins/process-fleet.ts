/** Starts a fleet as processes on loopback: platform, upstreams of a document, and nodes. */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import type * as document from "../src/settings/document.js";
import type * as upstream from "../src/upstream/types.js";
import * as processes from "./processes.js";

const HOST = "127.0.0.1";
const FLEET_KEY = "demo-fleet-key-0001";
/** Token of the administration API on every started node. */
export const ADMIN_TOKEN = "demo-admin-token-0001";
const LISTENING_PATTERN = /listening /;
const NODE_STARTED_PATTERN = /"event":1001/;

/** A node's identity and the ports on which it listens. */
export interface NodeAddress {
  readonly vm: string;
  readonly zone: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** Options for starting a fleet. */
export interface FleetOptions {
  /** Hosts and ports of its upstreams are replaced by free ports on loopback. */
  readonly document: document.FleetDocument;
  readonly nodes: number;
  /** Directory of the compiled code. */
  readonly codeDirectory: string;
  /** Additional flags for every engine. */
  readonly engineFlags?: readonly string[];
}

/** A running fleet of processes. */
export class ProcessFleet implements AsyncDisposable {
  readonly nodeAddresses: readonly NodeAddress[];
  readonly document: document.FleetDocument;
  readonly platformPort: number;
  readonly #options: FleetOptions;
  readonly #processes = new Map<string, processes.ManagedProcess>();

  constructor(
    options: FleetOptions,
    localDocument: document.FleetDocument,
    nodeAddresses: readonly NodeAddress[],
    platformPort: number,
  ) {
    this.#options = options;
    this.document = localDocument;
    this.nodeAddresses = nodeAddresses;
    this.platformPort = platformPort;
  }

  /** Starts all processes and waits until every node is ready. */
  static async start(options: FleetOptions): Promise<ProcessFleet> {
    const localDocument = await createLocalDocument(options.document);
    const nodeAddresses = await createNodeAddresses(localDocument, options.nodes);
    const fleet = new ProcessFleet(
      options,
      localDocument,
      nodeAddresses,
      await processes.findFreePort(),
    );
    try {
      await fleet.#startAll();
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
    return fleet;
  }

  /**
   * Returns the process last started under a VM, runner or backend name, or as `platform`.
   *
   * @throws Error when there is none.
   */
  getProcess(name: string): processes.ManagedProcess {
    const managed = this.#processes.get(name);
    if (managed === undefined) throw new Error(`no process was started as ${name}`);
    return managed;
  }

  /** Starts a node, or restarts it after it has exited, and waits until it is ready. */
  async startNode(address: NodeAddress): Promise<void> {
    const node = this.#spawn(address.vm, "bin/ebonyhook.js", [
      "node",
      ...createFlags({
        vm: address.vm,
        region: this.document.regions[0]?.name ?? "",
        zone: address.zone,
        host: HOST,
        "caller-port": address.callerPort,
        "peer-port": address.peerPort,
        "platform-url": `http://${HOST}:${this.platformPort}`,
        "fleet-keys": FLEET_KEY,
        "admin-token": ADMIN_TOKEN,
      }),
    ]);
    await node.waitForLine(NODE_STARTED_PATTERN);
    await this.#waitUntilReady(address);
  }

  /** Starts a runner's engine, or restarts it after it has exited, and waits until it listens. */
  async startEngine(runner: document.Runner): Promise<void> {
    const pool = this.document.pools.find((candidate) => candidate.name === runner.pool);
    const model = this.document.models.find((candidate) => candidate.name === pool?.model);
    if (pool === undefined || model === undefined)
      throw new Error(
        `pool ${runner.pool} of runner ${runner.name}, or its model, is not in the document`,
      );
    const flags = createFlags({
      host: runner.host,
      port: runner.port,
      name: runner.name,
      role: pool.role,
      model: model.name,
      "model-version": model.version,
      adapters: model.adapters.join(","),
      slots: runner.slots,
      pieces: runner.pieces,
      "tokens-per-piece": model.tokensPerPiece,
      "kv-bytes-per-token": model.kvBytesPerToken,
      "prefill-tokens-per-second": runner.prefillTokensPerSecond,
      "step-ms": runner.stepMs,
    });
    const fencing = runner.checksFencing ? [] : ["--ignore-fencing"];
    const extra = this.#options.engineFlags ?? [];
    const script = "standins/bin/engine.js";
    const engine = this.#spawn(runner.name, script, [...flags, ...fencing, ...extra]);
    await engine.waitForLine(LISTENING_PATTERN);
  }

  /**
   * Starts a plain service's backend, or restarts it after it has exited; waits until it listens.
   */
  async startBackend(backend: upstream.Upstream): Promise<void> {
    const { name, host, port } = backend;
    const flags = createFlags({ name, host, port });
    await this.#spawn(name, "standins/bin/service.js", flags).waitForLine(LISTENING_PATTERN);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.#processes.values()].map((each) => each[Symbol.asyncDispose]()));
  }

  async #startAll(): Promise<void> {
    await this.#startPlatform();
    const backends = this.document.services.flatMap((service) => service.backends);
    await Promise.all([
      ...this.document.runners.map((runner) => this.startEngine(runner)),
      ...backends.map((backend) => this.startBackend(backend)),
    ]);
    await Promise.all(this.nodeAddresses.map((address) => this.startNode(address)));
  }

  async #startPlatform(): Promise<void> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "ebonyhook-"));
    const file = path.join(directory, "document.json");
    await fs.writeFile(file, JSON.stringify(this.document));
    const flags = createFlags({ host: HOST, port: this.platformPort, document: file });
    await this.#spawn("platform", "standins/bin/platform.js", flags).waitForLine(LISTENING_PATTERN);
    await this.#publishVms();
  }

  async #publishVms(): Promise<void> {
    const region = this.document.regions[0]?.name ?? "";
    const vms = this.nodeAddresses.map((address) => ({
      ...address,
      host: HOST,
      region,
      state: "live",
    }));
    const response = await fetch(`http://${HOST}:${this.platformPort}/control`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ vms }),
    });
    if (!response.ok)
      throw new Error(`platform rejected the VM list: HTTP status ${response.status}`);
  }

  async #waitUntilReady(address: NodeAddress): Promise<void> {
    for (;;) {
      const response = await fetch(`http://${HOST}:${address.callerPort}/readyz`).catch(() => null);
      if (response?.ok === true) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  #spawn(name: string, script: string, flags: readonly string[]): processes.ManagedProcess {
    const file = path.join(this.#options.codeDirectory, script);
    const managed = new processes.ManagedProcess(name, file, flags);
    this.#processes.set(name, managed);
    return managed;
  }
}

function createFlags(values: Readonly<Record<string, string | number>>): string[] {
  return Object.entries(values).flatMap(([name, value]) => [`--${name}`, String(value)]);
}

async function createNodeAddresses(
  fleet: document.FleetDocument,
  count: number,
): Promise<readonly NodeAddress[]> {
  const zones = fleet.regions.flatMap((region) => region.zones);
  const addresses: NodeAddress[] = [];
  for (let index = 0; index < count; index += 1) {
    addresses.push({
      vm: `vm-${index + 1}`,
      zone: zones[index % zones.length] ?? "",
      callerPort: await processes.findFreePort(),
      peerPort: await processes.findFreePort(),
    });
  }
  return addresses;
}

/** Copies a document with all hosts and ports replaced by free ports on loopback. */
async function createLocalDocument(fleet: document.FleetDocument): Promise<document.FleetDocument> {
  const runners: document.Runner[] = [];
  for (const runner of fleet.runners) {
    runners.push({ ...runner, host: HOST, port: await processes.findFreePort() });
  }
  const services: document.PlainService[] = [];
  for (const service of fleet.services) {
    services.push({ ...service, backends: await createLocalBackends(service) });
  }
  return { ...fleet, runners, services };
}

async function createLocalBackends(
  service: document.PlainService,
): Promise<document.PlainService["backends"]> {
  const backends: document.PlainService["backends"] = [];
  for (const backend of service.backends) {
    backends.push({ ...backend, host: HOST, port: await processes.findFreePort() });
  }
  return backends;
}
