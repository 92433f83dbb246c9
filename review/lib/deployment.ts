/** A small deployment on loopback: gateways as processes, the platform's store and runners as stand-ins. */
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "../../standins/processes.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as store from "../../standins/users-platform/store.js";
import * as records from "./record.js";

/** Entry point and flags of the deploy file, without the options of Node.js that limit its heap. */
const GATEWAY_SCRIPT = path.resolve("target/bin/ebonyhook.js");
const GATEWAY_FLAGS = [
  "gateway",
  "--fleet-keys",
  "ebonyhook-fleet-key-1",
  "--metrics-port",
  "9464",
] as const;
/** Options of Node.js in the deploy file; `ManagedProcess` passes those of this process on. */
const NODE_OPTIONS = ["--max-old-space-size=96", "--max-semi-space-size=4"] as const;
const METRICS_PORT = 9_464;
const START_LIMIT_MS = 20_000;
const POLL_MS = 50;
const MAX_SUBNET = 250;

/** Bounds of the deployment, as in the sheets of the small sites. */
export const BOUNDS = { configMs: 2_000, stableWindowMs: 3_000, lossSlackMs: 200, graceMs: 8_000 };

/** A gateway process and its address. */
export interface Gateway {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  process: processes.ManagedProcess;
}

/** What the deployment and the runners use of a store. */
export interface Store extends AsyncDisposable {
  readonly address: string;
  start(): Promise<void>;
  set(key: string, value: unknown): void;
}

/** Runs the store and the gateways until it is disposed of. */
export class Deployment implements AsyncDisposable {
  readonly store: Store;
  readonly gateways: Gateway[] = [];
  readonly #directory: string;
  readonly #record: records.CaseRecord;
  #network = "";

  constructor(directory: string, record: records.CaseRecord, platform: Store) {
    this.store = platform;
    this.#directory = directory;
    this.#record = record;
  }

  static async create(
    record: records.CaseRecord,
    platform: Store = new store.StoreStandIn(),
  ): Promise<Deployment> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "review-"));
    const deployment = new Deployment(directory, record, platform);
    await deployment.store.start();
    return deployment;
  }

  /** Starts a gateway in each of the given zones, and waits until all are ready. */
  async startGateways(zones: readonly string[]): Promise<void> {
    this.#network = await findFreeNetwork(zones.length);
    const seeds = zones.slice(0, 3).map((_zone, index) => this.#formatSeed(index));
    for (const [index, zone] of zones.entries()) {
      const ip = `${this.#network}.${index + 1}`;
      const name = `front-${zone}-${index + 1}`;
      const file = this.#getSettingsPath(name);
      await fs.writeFile(file, this.#createSettings(name, ip, zone, seeds));
      const gateway = { name, ip, zone, process: this.#spawn(name) };
      this.gateways.push(gateway);
      this.#record.write(`${name} started at ${ip}, process ${gateway.process.pid}`);
    }
    await Promise.all(this.gateways.map((gateway) => waitForReady(gateway)));
    this.#record.write("all gateways are ready");
  }

  /** Starts a gateway again after its process has ended. */
  async restart(gateway: Gateway): Promise<void> {
    await gateway.process.exited;
    gateway.process = this.#spawn(gateway.name);
    this.#record.write(`${gateway.name} started again, process ${gateway.process.pid}`);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { process: child } of this.gateways) {
      child.sendSignal("SIGCONT");
      child.sendSignal("SIGKILL");
      await child.exited;
    }
    await this.store[Symbol.asyncDispose]();
    await fs.rm(this.#directory, { recursive: true, force: true });
  }

  #spawn(name: string): processes.ManagedProcess {
    const environment = { EBONYHOOK_BOOT: this.#getSettingsPath(name) };
    const before = [...process.execArgv];
    process.execArgv = [...NODE_OPTIONS];
    try {
      return new processes.ManagedProcess(name, GATEWAY_SCRIPT, GATEWAY_FLAGS, { environment });
    } finally {
      process.execArgv = before;
    }
  }

  #getSettingsPath(name: string): string {
    return path.join(this.#directory, `${name}.yaml`);
  }

  #formatSeed(index: number): string {
    return `${this.#network}.${index + 1}:${examples.PORTS.control}`;
  }

  #createSettings(name: string, ip: string, zone: string, seeds: readonly string[]): string {
    const { PORTS } = examples;
    return `node: "${name}"
role: "gateway"
machine_class: "front"
serves: ["front", "control", "directory"]
ip: "${ip}"
zone: "${zone}"
region: "r"
zones: { a: "r", b: "r", c: "r" }
listen:
  front: "${ip}:${PORTS.front}"
  ready: "${ip}:${PORTS.ready}"
  control: "${ip}:${PORTS.control}"
  directory: "${ip}:${PORTS.directory}"
internal_ports: [7660, 7675]
seeds: ${JSON.stringify(seeds)}
bootstrap: true
counts_as_loss: false
limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: [base, drain, config, cost, retry, recover, split, stream, engine, platform]
fault_tolerance: { machines: 2, zones: 0, regions: 0 }
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: ${BOUNDS.stableWindowMs}
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: ${BOUNDS.graceMs / 1_000}
  loss_slack_ms: ${BOUNDS.lossSlackMs}
  config_ms: ${BOUNDS.configMs}
  rollback_slack_ms: 250
  max_skew_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_slack: 58
  recover_s: 12
  transit_ms: 120
  reuse_window_s: 4
  fencing_required: true
  lease_ms: 3000
  thaw_ms: 300
  ttl_max_s: 5
platform:
  address: "${this.store.address}"
  form: "read"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`;
  }
}

/** Waits until a gateway says that it is ready. @throws when it does not within `START_LIMIT_MS`. */
export async function waitForReady(gateway: Gateway): Promise<void> {
  const url = `http://${gateway.ip}:${examples.PORTS.ready}/-/ready`;
  const until = performance.now() + START_LIMIT_MS;
  while (performance.now() < until) {
    const response = await fetch(url).catch(() => undefined);
    await response?.arrayBuffer();
    if (response?.status === 200) return;
    await records.wait(POLL_MS);
  }
  const lines = gateway.process.lines.slice(-3).join("\n");
  throw new Error(`${gateway.name} is not ready within ${START_LIMIT_MS} ms: ${lines}`);
}

/** Returns the first three bytes of loopback addresses on which the ports of the gateways are free. */
async function findFreeNetwork(count: number): Promise<string> {
  for (let attempt = 0; attempt < MAX_SUBNET; attempt += 1) {
    const network = `127.${60 + (process.pid % 100)}.${(Math.floor(process.pid / 100) + attempt) % MAX_SUBNET}`;
    const ports = [...Object.values(examples.PORTS), METRICS_PORT];
    const addresses = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`);
    const checks = addresses.flatMap((host) => ports.map((port) => isFree(host, port)));
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error("no free loopback addresses");
}

function isFree(host: string, port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
