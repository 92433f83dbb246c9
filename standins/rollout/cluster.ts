/** The processes of a rollout: gateways on links with a rate, runners, callers, and the platform's store. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as processes from "../processes.js";
import * as examples from "../users-platform/examples.js";
import * as store from "../users-platform/store.js";
import type * as childMain from "./child-main.js";

const CHILD_SCRIPT = url.fileURLToPath(new URL("child-main.js", import.meta.url));
const SHAPER_SCRIPT = url.fileURLToPath(new URL("shaped-links.js", import.meta.url));
/** Options of Node.js as in the deployment, which limit the heap. */
const NODE_FLAGS = ["--max-old-space-size=96", "--max-semi-space-size=4"] as const;
const ZONES = ["a", "b", "c"] as const;
const SLOTS = 64;
const START_LIMIT_MS = 60_000;
const POLL_MS = 100;
const LISTENING_PATTERN = /^listening (?<address>\S+)$/;
/** Time in which a starved gateway runs once and stops once. */
const STARVE_PERIOD_MS = 100;

/** Size and surroundings of a rollout. */
export interface ClusterOptions {
  /** Entry point of the build that is played. */
  readonly script: string;
  /** Entry point of an older build, of which every second gateway is. */
  readonly olderScript: string | undefined;
  readonly gateways: number;
  readonly runners: number;
  readonly callers: number;
  /** Rate of each gateway's link in Mbit/s; 0 for no limit. */
  readonly linkMbps: number;
  /** Processes that keep a processor busy. */
  readonly busy: number;
  /** Gateways that are stopped for a part of each period, and the share of time for which they run. */
  readonly starved: number;
  readonly starvedShare: number;
  /** Directory to which the gateways' logs are copied at the end. */
  readonly logs: string | undefined;
}

/** A gateway process, whose output goes to a file. */
export interface Gateway {
  readonly name: string;
  readonly ip: string;
  readonly child: childProcess.ChildProcess;
  readonly logPath: string;
}

/** Runs the processes of a rollout until it is disposed of. */
export class Cluster implements AsyncDisposable {
  readonly store = new store.StoreStandIn();
  readonly gateways: Gateway[] = [];
  /** Outcomes of the callers' requests since `takeOutcomes`. */
  #outcomes: Record<string, number> = {};
  readonly #options: ClusterOptions;
  readonly #directory: string;
  readonly #network: string;
  readonly #children: processes.ManagedProcess[] = [];
  readonly #callers: processes.ManagedProcess[] = [];
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(options: ClusterOptions, directory: string) {
    this.#options = options;
    this.#directory = directory;
    process.once("exit", () => {
      for (const { child } of this.gateways) child.kill("SIGKILL");
    });
    this.#network = `127.${20 + (process.pid % 40)}.${Math.floor(process.pid / 40) % 250}`;
  }

  /** Starts everything and waits until all gateways are ready. */
  static async start(options: ClusterOptions, configuration: unknown): Promise<Cluster> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "ebonyhook-rollout-"));
    const cluster = new Cluster(options, directory);
    await cluster.store.start();
    cluster.store.set("op/config", configuration);
    try {
      for (let number = 1; number <= options.runners; number += 1)
        await cluster.#addRunner(`plain-${number}`);
      for (let number = 1; number <= options.gateways; number += 1)
        await cluster.#addGateway(number);
      await Promise.all(cluster.gateways.map(({ ip }) => waitForReady(ip)));
      await cluster.#addSurroundings();
      return cluster;
    } catch (error) {
      await cluster[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Sets the callers' rate, in requests per VM and second. */
  setRate(perVm: number): void {
    const message: childMain.RateMessage = { perVm: perVm / this.#callers.length };
    for (const callers of this.#callers) callers.sendMessage({ ...message });
  }

  /** Returns the outcomes of the callers' requests since the last call. */
  takeOutcomes(): Readonly<Record<string, number>> {
    const outcomes = this.#outcomes;
    this.#outcomes = {};
    return outcomes;
  }

  /** Returns the datagrams that the gateways' full receive buffers dropped; `undefined` where the system does not tell. */
  async readDroppedDatagrams(): Promise<number | undefined> {
    const text = await fs.readFile("/proc/net/udp", "utf8").catch(() => undefined);
    if (text === undefined) return undefined;
    const bytes = this.#network
      .split(".")
      .map((part) => Number(part).toString(16).padStart(2, "0"));
    const suffix = bytes.reverse().join("").toUpperCase();
    const rows = text.split("\n").map((line) => line.trim().split(/\s+/));
    return rows
      .filter(([, address = ""]) => address.slice(2, 8) === suffix)
      .reduce((sum, row) => sum + Number(row.at(-1)), 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(
      this.gateways.map(async ({ child }) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        const exited = new Promise((resolve) => child.once("exit", resolve));
        child.kill("SIGCONT");
        child.kill("SIGKILL");
        await exited;
      }),
    );
    await Promise.all(
      this.#children.map(async (child) => {
        child.sendSignal("SIGKILL");
        await child.exited;
      }),
    );
    await this.store[Symbol.asyncDispose]();
    const { logs } = this.#options;
    if (logs !== undefined) await fs.cp(this.#directory, logs, { recursive: true });
    await fs.rm(this.#directory, { recursive: true, force: true });
  }

  async #addChild(
    flags: readonly string[],
    onMessage: (message: unknown) => void = () => undefined,
  ): Promise<{ readonly child: processes.ManagedProcess; readonly address: string }> {
    const child = new processes.ManagedProcess(flags.join(" "), CHILD_SCRIPT, flags, { onMessage });
    this.#children.push(child);
    const line = await child.waitForLine(LISTENING_PATTERN);
    return { child, address: LISTENING_PATTERN.exec(line)?.groups?.address ?? "" };
  }

  async #addRunner(id: string): Promise<void> {
    const { address } = await this.#addChild(["--role", "runner", "--id", id]);
    const zone = ZONES[this.#children.length % ZONES.length];
    const entry = examples.createRunnerEntry(address, { zone, slots: SLOTS });
    this.store.set(`servers/${id}`, entry);
  }

  async #addGateway(number: number): Promise<void> {
    const name = `front-${number}`;
    const ip = `${this.#network}.${number}`;
    const settingsPath = path.join(this.#directory, `${name}.yaml`);
    const logPath = path.join(this.#directory, `${name}.log`);
    const seeds = [1, 2, 3].map((seed) => `${this.#network}.${seed}:${examples.PORTS.control}`);
    const zone = ZONES[number % ZONES.length] ?? ZONES[0];
    const platform = this.store.address;
    const changes = { node: name, zone, seeds, platform, memoryMb: 250 };
    await fs.writeFile(settingsPath, examples.createSettingsText(ip, changes));
    await using output = await fs.open(logPath, "w");
    const { olderScript, linkMbps } = this.#options;
    const script = number % 2 === 0 ? (olderScript ?? this.#options.script) : this.#options.script;
    const flags = [...NODE_FLAGS, "--import", SHAPER_SCRIPT, script, "gateway"];
    const keys = ["--fleet-keys", "a-key-of-the-rollout", "--metrics-port", "9464"];
    const child = childProcess.spawn(process.execPath, [...flags, ...keys], {
      stdio: ["ignore", output.fd, output.fd],
      env: { ...process.env, EBONYHOOK_BOOT: settingsPath, ROLLOUT_LINK_MBPS: String(linkMbps) },
    });
    this.gateways.push({ name, ip, child, logPath });
  }

  async #addSurroundings(): Promise<void> {
    const { callers, busy, starved, starvedShare } = this.#options;
    const gateways = this.gateways.map(({ ip }) => ip).join(",");
    for (let number = 1; number <= callers; number += 1) {
      const flags = ["--role", "callers", "--id", `c${number}`, "--gateways", gateways];
      const port = ["--port", String(examples.PORTS.front)];
      const { child } = await this.#addChild([...flags, ...port], (message) => {
        this.#addOutcomes(message as childMain.OutcomeMessage);
      });
      this.#callers.push(child);
    }
    for (let number = 0; number < busy; number += 1) await this.#addChild(["--role", "busy"]);
    for (const { child } of this.gateways.slice(0, starved)) this.#starve(child, starvedShare);
  }

  /** Stops a process for a part of each period. */
  #starve(child: childProcess.ChildProcess, share: number): void {
    const timer = setInterval(() => {
      child.kill("SIGCONT");
      setTimeout(() => child.kill("SIGSTOP"), STARVE_PERIOD_MS * share);
    }, STARVE_PERIOD_MS);
    this.#timers.push(timer);
  }

  #addOutcomes(outcomes: childMain.OutcomeMessage): void {
    for (const [outcome, count] of Object.entries(outcomes))
      this.#outcomes[outcome] = (this.#outcomes[outcome] ?? 0) + count;
  }
}

/** @throws Error when the gateway is not ready within `START_LIMIT_MS`. */
async function waitForReady(ip: string): Promise<void> {
  const until = performance.now() + START_LIMIT_MS;
  while (performance.now() < until) {
    const response = await fetch(`http://${ip}:${examples.PORTS.ready}/-/ready`).catch(
      () => undefined,
    );
    await response?.arrayBuffer();
    if (response?.status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`gateway at ${ip} is not ready within ${START_LIMIT_MS} ms`);
}
