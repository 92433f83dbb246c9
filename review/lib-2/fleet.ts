/** Gateways as processes, each on a loopback address of its own, with the command of the deploy file. */
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "../../standins/processes.js";
import type * as caseRecord from "./case-record.js";
import * as records from "./case-record.js";

/** Ports of a machine, as in the example of the pages. */
export const PORTS = { front: 8144, ready: 8140, control: 8146, directory: 8143 } as const;
const METRICS_PORT = 9464;
const MAX_TRIES = 50;
const READY_POLL_MS = 50;
const READY_LIMIT_MS = 15_000;
const HTTP_OK = 200;

/** Bounds of the settings, those of the sheet of Lagos. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_ms: 2000,
  rollback_slack_ms: 250,
  max_skew_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 54,
  recover_s: 12,
  transit_ms: 120,
  reuse_window_s: 3,
  fencing_required: true,
  lease_ms: 3000,
  thaw_ms: 300,
  ttl_max_s: 5,
} as const;

/** Options of a fleet. */
export interface FleetOptions {
  readonly record: caseRecord.CaseRecord;
  /** Address of the platform's store, by gateway. */
  readonly getStoreAddress: (name: string) => string;
}

/** A gateway of the fleet. */
export interface Gateway {
  readonly name: string;
  readonly ip: string;
  readonly settingsPath: string;
  process: processes.ManagedProcess;
}

/** What differs between the settings of gateways. */
export interface GatewayChanges {
  /** Control addresses of at most three machines. */
  readonly seeds: readonly string[];
  readonly zone?: string;
  readonly bounds?: Readonly<Record<string, unknown>>;
}

/** Returns the first three bytes of loopback addresses whose ports are free. */
export async function chooseNetwork(hosts: readonly number[]): Promise<string> {
  for (let count = 0; count < MAX_TRIES; count += 1) {
    const network = `127.${randomByte(20, 180)}.${randomByte(1, 250)}`;
    const checks = hosts.flatMap((host) =>
      [...Object.values(PORTS), METRICS_PORT].map((port) => isFree(`${network}.${host}`, port)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error("no loopback addresses with free ports were found");
}

function randomByte(min: number, limit: number): number {
  return min + Math.floor(Math.random() * (limit - min));
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

/** Returns the program and its arguments from the `run` line of the deploy file. */
function readCommand(): readonly string[] {
  const text = fs.readFileSync("deploy/system.toml", "utf8");
  const line = /^run = "(?<command>.*)"$/m.exec(text)?.groups?.command;
  if (line === undefined) throw new Error("the deploy file has no run line");
  return line.split(" ");
}

/** The gateways of a case. */
export class Fleet {
  readonly gateways = new Map<string, Gateway>();
  readonly #options: FleetOptions;
  readonly #directory = fs.mkdtempSync(path.join(os.tmpdir(), "ebonyhook-review-"));

  constructor(options: FleetOptions) {
    this.#options = options;
    process.once("exit", () => {
      fs.rmSync(this.#directory, { recursive: true, force: true });
    });
  }

  /** Starts a gateway. */
  add(name: string, ip: string, changes: GatewayChanges): Gateway {
    const settingsPath = path.join(this.#directory, `${name}.yaml`);
    fs.writeFileSync(settingsPath, this.#formatSettings(name, ip, changes));
    const gateway = { name, ip, settingsPath, process: this.#spawn(name, settingsPath) };
    this.gateways.set(name, gateway);
    return gateway;
  }

  /** Ends the process of a gateway at once. */
  async kill(gateway: Gateway): Promise<void> {
    this.#options.record.write(`SIGKILL to ${gateway.name}`);
    gateway.process.sendSignal("SIGKILL");
    await gateway.process.exited;
  }

  /** Starts the process of a gateway again. */
  restart(gateway: Gateway): void {
    gateway.process = this.#spawn(gateway.name, gateway.settingsPath);
  }

  /** Waits until a gateway says that it is ready. */
  async waitForReady({ name, ip }: Gateway): Promise<void> {
    const endsAt = performance.now() + READY_LIMIT_MS;
    while (performance.now() < endsAt) {
      if ((await readStatus(`http://${ip}:${PORTS.ready}/-/ready`)) === HTTP_OK) {
        this.#options.record.write(`${name} is ready`);
        return;
      }
      await records.sleep(READY_POLL_MS);
    }
    throw new Error(`${name} is not ready within ${READY_LIMIT_MS} ms`);
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    const ended = [...this.gateways.values()].map(async (gateway) => {
      gateway.process.sendSignal("SIGCONT");
      gateway.process.sendSignal("SIGKILL");
      await gateway.process.exited;
    });
    await Promise.all(ended);
  }

  #spawn(name: string, settingsPath: string): processes.ManagedProcess {
    const [, ...words] = readCommand();
    const scriptIndex = words.findIndex((word) => !word.startsWith("--"));
    const [script = "", ...flags] = words.slice(scriptIndex);
    this.#options.record.write(`start of ${name}`);
    const started = new processes.ManagedProcess(name, script, flags, {
      environment: { EBONYHOOK_BOOT: settingsPath },
      nodeFlags: words.slice(0, scriptIndex),
    });
    void started.exited.then((code) => {
      this.#options.record.write(`end of ${name}, exit code ${String(code)}`);
    });
    return started;
  }

  #formatSettings(name: string, ip: string, changes: GatewayChanges): string {
    const { seeds, zone = "ikeja", bounds } = changes;
    const settings = {
      node: name,
      role: "gateway",
      machine_class: "front",
      serves: ["front", "control", "directory"],
      ip,
      zone,
      region: "ng-lagos",
      zones: { ikeja: "ng-lagos", lekki: "ng-lagos", apapa: "ng-lagos" },
      listen: Object.fromEntries(
        Object.entries(PORTS).map(([listener, port]) => [listener, `${ip}:${port}`]),
      ),
      internal_ports: [7660, 7675],
      seeds,
      bootstrap: true,
      counts_as_loss: false,
      limits: {
        cpu_share: 0.675,
        cores: 1,
        memory_mb: 200,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: "platform",
      entry: "directory",
      heartbeat_ms: 1200,
      bounds: { ...BOUNDS, ...bounds },
      platform: {
        address: this.#options.getStoreAddress(name),
        form: "read",
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1_048_576,
        ttl_min_ms: 1000,
      },
    };
    // JSON is YAML.
    return JSON.stringify(settings, undefined, 2);
  }
}

/** Returns the status of a GET request; `undefined` if there is no answer. */
function readStatus(url: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const request = http.get(url, { agent: false, timeout: 1_000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.once("timeout", () => request.destroy());
    request.once("error", () => {
      resolve(undefined);
    });
  });
}
