/** The cluster of a soak: gateways, the platform's store, runners, and the relays between them. */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as wreck from "@hapi/wreck";
import * as processes from "../processes.js";
import * as relays from "../relay.js";
import type * as budgetCheck from "../retry-budget-check.js";
import * as examples from "../users-platform/examples.js";
import type * as failing from "../users-platform/failing-runner.js";
import * as children from "./children.js";

/** Entry point of this build. */
export const GATEWAY_SCRIPT = url.fileURLToPath(new URL("../../bin/ebonyhook.js", import.meta.url));
export const FLEET_KEY = "a-key-of-the-soak-fleet";
/**
 * Second byte of the first loopback network. The process id of the soak selects the second and third byte, so that
 * soaks running at once do not share a network.
 */
const FIRST_NETWORK = 190;
const NETWORK_COUNT = 60;
const SUBNET_COUNT = 250;
/**
 * Time for which a killed runner stays listed. On the users' platform the entry of a crashed runner
 * expires after about three heartbeats.
 */
const ENTRY_TTL_MS = 2_000;
/** Time from the end of a runner under a request to the start of its replacement. */
const RUNNER_RESTART_MS = 1_000;
/** Retries per call in the gateways' settings, unless a soak sets others. */
const RETRY_RATIO = 0.2;
const START_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 50;

/** Numbers of processes that a soak starts. */
export interface ClusterSize {
  readonly gateways: number;
  readonly prefill: number;
  readonly decode: number;
  readonly plain: number;
}

/** The state of a gateway's process. */
export const GATEWAY_STATE = { up: "up", paused: "paused", down: "down" } as const;

/** A time span in which a gateway is disturbed. */
export interface Disturbance {
  readonly from: number;
  to: number;
}

/** A gateway with its relays. */
export interface Gateway {
  readonly name: string;
  readonly ip: string;
  readonly settingsPath: string;
  /** Relay between callers and the gateway. */
  readonly front: relays.Relay;
  /** Relay between the gateway and the platform's store. */
  readonly store: relays.Relay;
  /** Requests sent to any gateway, shared by all of them. */
  readonly sentCalls: budgetCheck.SentCall[];
  /** Key that the process shares with its peers; with another key than theirs it is cut off from them. */
  fleetKey: string;
  /** Entry point of the build that starts next. */
  script: string;
  process: processes.ManagedProcess;
  /** All processes of the gateway, in the order of their starts. */
  readonly processes: processes.ManagedProcess[];
  /** Time at which the process was last started. */
  startedAt: number;
  /** Faults at the gateway or its connections; its start counts as one. */
  readonly disturbances: Disturbance[];
  state: (typeof GATEWAY_STATE)[keyof typeof GATEWAY_STATE];
}

/** A runner with the relay between gateways and it. */
export interface Runner {
  readonly id: string;
  readonly role: keyof Omit<ClusterSize, "gateways">;
  readonly child: children.Child;
  readonly relay: relays.Relay;
  /** Version that its entry states; its events name it if the cluster has several. */
  readonly softwareVersion: string;
}

/** A run of a request, as reported by a runner. */
export interface ObservedRun {
  readonly runner: string;
  readonly at: number;
}

/** What was observed of the requests that end their runners for one cause. */
export interface CrashObservations {
  readonly arrivals: { readonly call: string; readonly at: number }[];
  readonly crashedAt: number[];
}

/** Returns the first three bytes of the addresses of a soak's gateways. */
function computeNetwork(pid: number): string {
  const subnet = Math.floor(pid / NETWORK_COUNT) % SUBNET_COUNT;
  return `127.${FIRST_NETWORK + (pid % NETWORK_COUNT)}.${subnet}`;
}

/** All processes and relays of a soak. */
export class SoakCluster implements AsyncDisposable {
  readonly gateways: Gateway[] = [];
  readonly runners = new Map<string, Runner>();
  /** Arrivals at runners, in order. */
  readonly arrivals: budgetCheck.Arrival[] = [];
  /** Requests of all callers. */
  readonly sentCalls: budgetCheck.SentCall[] = [];
  /** Runs by request id. */
  readonly runs = new Map<string, ObservedRun[]>();
  /** Requests that end their runners: their arrivals, and the times at which runners ended. */
  readonly crashing: Readonly<Record<children.CrashCause, CrashObservations>> = {
    bytes: { arrivals: [], crashedAt: [] },
    part: { arrivals: [], crashedAt: [] },
  };
  /** Times at which runs were cancelled, by request id. */
  readonly cancelled = new Map<string, number>();
  readonly #store: children.Child;
  readonly #directory: string;
  readonly #network = computeNetwork(process.pid);
  readonly #killedRunners = new Set<string>();
  #configurationVersion = 1;
  #startedRunners = 0;
  #versionCount = 0;

  /** Retries per call in the gateways' settings. */
  readonly retryRatio: number;

  /** @param directory - contains the gateways' settings files; removed on disposal. */
  constructor(directory: string, store: children.Child, retryRatio: number) {
    this.#directory = directory;
    this.retryRatio = retryRatio;
    this.#store = store;
  }

  /**
   * Starts all processes and relays, and waits until every gateway is ready.
   *
   * @param script - entry point of the build of which the gateways are at first.
   * @param namesEra - whether the store's answers name its era.
   */
  static async start(
    size: ClusterSize,
    retryRatio = RETRY_RATIO,
    versionCount = 0,
    script = GATEWAY_SCRIPT,
    namesEra = true,
  ): Promise<SoakCluster> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), "ebonyhook-soak-"));
    const store = await children.startChild(["--role", "store"], () => undefined);
    const cluster = new SoakCluster(directory, store, retryRatio);
    cluster.#versionCount = versionCount;
    if (!namesEra) cluster.sendStoreCommand({ kind: "hideEra" });
    cluster.publishConfiguration();
    for (const role of ["prefill", "decode", "plain"] as const) {
      for (let count = 0; count < size[role]; count += 1) await cluster.addRunner(role);
    }
    for (let number = 1; number <= size.gateways; number += 1)
      await cluster.#addGateway(number, script);
    await Promise.all(cluster.gateways.map((gateway) => cluster.waitForReady(gateway)));
    return cluster;
  }

  /** Publishes a configuration with a higher version and the same routes. */
  publishConfiguration(): void {
    this.#configurationVersion += 3;
    const value = examples.createConfiguration(this.#configurationVersion);
    this.sendStoreCommand({ kind: "set", key: "op/config", value });
  }

  /**
   * Writes the newest configuration and the entries of the listed runners again, as their owners do when the store lost them, and
   * lets the entries of killed ones expire again.
   */
  rewriteEntries(): void {
    setTimeout(() => {
      for (const id of this.#killedRunners)
        this.sendStoreCommand({ kind: "remove", key: `servers/${id}` });
    }, ENTRY_TTL_MS);
    this.sendStoreCommand({
      kind: "set",
      key: "op/config",
      value: examples.createConfiguration(this.#configurationVersion),
    });
    for (const runner of this.runners.values()) this.#publishRunner(runner, "ready");
  }

  /** Sends a command to the platform's store. */
  sendStoreCommand(command: children.StoreCommand): void {
    this.#store.process.sendMessage(command);
  }

  /** Starts a runner with a relay in front of it, and publishes its entry as ready. */
  async addRunner(role: Runner["role"]): Promise<Runner> {
    this.#startedRunners += 1;
    const id = `${role}-${this.#startedRunners}`;
    const flags = ["--role", role, "--id", id, "--seed", String(this.#startedRunners)];
    const softwareVersion = this.#chooseVersion();
    if (this.#versionCount > 0) flags.push("--software-version", softwareVersion);
    const child = await children.startChild(flags, (event) => {
      this.#recordEvent(id, event);
    });
    const relay = await relays.Relay.start(child.port);
    const runner = { id, role, child, relay, softwareVersion };
    this.runners.set(id, runner);
    this.#publishRunner(runner, "ready");
    return runner;
  }

  /** Publishes that a runner is leaving, and no longer lists it in `runners`. */
  markLeaving(runner: Runner): void {
    this.runners.delete(runner.id);
    this.#publishRunner(runner, "draining");
  }

  /** Kills a runner and resets its connections; its entry is removed after `ENTRY_TTL_MS`. */
  async killRunner(runner: Runner): Promise<void> {
    this.#killedRunners.add(runner.id);
    this.runners.delete(runner.id);
    runner.child.process.sendSignal("SIGKILL");
    await runner.child.process.exited;
    runner.relay.reset();
    setTimeout(() => {
      this.sendStoreCommand({ kind: "remove", key: `servers/${runner.id}` });
      void runner.relay[Symbol.asyncDispose]();
    }, ENTRY_TTL_MS);
  }

  /** Waits until a gateway's process has exited, and starts it again. */
  async restartGateway(gateway: Gateway): Promise<void> {
    await gateway.process.exited;
    gateway.process = this.#spawnGateway(gateway);
    gateway.processes.push(gateway.process);
    gateway.startedAt = performance.now();
    gateway.state = GATEWAY_STATE.up;
  }

  /** Tells all runners of a role how to fail the requests that arrive from now on. */
  setFailure(role: Runner["role"], failure: failing.Failure): void {
    const command: children.RunnerCommand = { failure };
    for (const runner of this.runners.values())
      if (runner.role === role) runner.child.process.sendMessage(command);
  }

  /** Rewrites a gateway's settings file with the given peer addresses as seeds. */
  async writeSettings(gateway: Gateway, seeds: readonly string[]): Promise<void> {
    const platform = `127.0.0.1:${gateway.store.port}`;
    const { retryRatio } = this;
    const changes = { node: gateway.name, seeds, platform, retryRatio };
    const text = examples.createSettingsText(gateway.ip, changes);
    await fs.writeFile(gateway.settingsPath, text);
  }

  /** Runs a fault at gateways and records its time span. */
  async disturb(gateways: readonly Gateway[], fault: () => Promise<void>): Promise<void> {
    const disturbance: Disturbance = { from: performance.now(), to: Infinity };
    for (const gateway of gateways) gateway.disturbances.push(disturbance);
    await fault();
    disturbance.to = performance.now();
  }

  /** Returns the peer address of the gateway with this number. */
  formatSeed(number: number): string {
    return `${this.#network}.${number}:${examples.PORTS.control}`;
  }

  /** @throws Error when the gateway is not ready within `START_TIMEOUT_MS`. */
  async waitForReady(gateway: Gateway): Promise<void> {
    const target = `http://${gateway.ip}:${examples.PORTS.ready}/-/ready`;
    const deadlineAt = performance.now() + START_TIMEOUT_MS;
    for (;;) {
      const status = await wreck.default
        .request("GET", target, { agent: false })
        .then((response) => response.statusCode)
        .catch(() => undefined);
      if (status === 200) return;
      if (performance.now() > deadlineAt)
        throw new Error(
          `${gateway.name} is not ready after ${START_TIMEOUT_MS} ms: last status ${String(status)}`,
        );
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const gateway of this.gateways) {
      gateway.process.sendSignal("SIGKILL");
      await gateway.process.exited;
      await gateway.front[Symbol.asyncDispose]();
      await gateway.store[Symbol.asyncDispose]();
    }
    for (const { child, relay } of this.runners.values()) {
      await child.process[Symbol.asyncDispose]();
      await relay[Symbol.asyncDispose]();
    }
    await this.#store.process[Symbol.asyncDispose]();
    await fs.rm(this.#directory, { recursive: true, force: true });
  }

  #recordEvent(runner: string, event: children.RunnerEvent): void {
    const at = performance.now();
    if (event.kind === "arrived") {
      const { call, isPrefill, hasRun } = event;
      const service = this.runners.get(runner)?.role === "plain" ? "plain" : "model";
      this.arrivals.push({ call, service, runner, at, isPrefill, hasRun });
      return;
    }
    if (event.kind === "crashArrived") {
      this.crashing[event.cause].arrivals.push({ call: event.call, at });
      return;
    }
    if (event.kind === "crashed") {
      this.crashing[event.cause].crashedAt.push(at);
      void this.#restartRunner(runner);
      return;
    }
    if (event.kind === "cancelled") {
      this.cancelled.set(event.call, at);
      return;
    }
    const runs = this.runs.get(event.call) ?? [];
    runs.push({ runner, at });
    this.runs.set(event.call, runs);
  }

  /** Replaces a runner that ended by itself, some time later. */
  async #restartRunner(id: string): Promise<void> {
    const runner = this.runners.get(id);
    if (runner === undefined) return;
    await this.killRunner(runner);
    await new Promise((resolve) => setTimeout(resolve, RUNNER_RESTART_MS));
    await this.addRunner(runner.role);
  }

  /** Raises the version of every second runner that starts from now on. */
  startVersion(): void {
    this.#versionCount += 1;
  }

  /** Alternates between the two newest versions. */
  #chooseVersion(): string {
    const newest = Math.max(1, this.#versionCount);
    return `v${Math.max(1, newest - (this.#startedRunners % 2))}`;
  }

  #publishRunner(runner: Runner, state: string): void {
    const { id, role, relay, softwareVersion } = runner;
    const changes = role === "plain" ? {} : { service: "model", stage: role, slots: 16 };
    const value = examples.createRunnerEntry(`127.0.0.1:${relay.port}`, {
      ...changes,
      version: softwareVersion,
      state,
    });
    this.sendStoreCommand({ kind: "set", key: `servers/${id}`, value });
  }

  async #addGateway(number: number, script: string): Promise<void> {
    const ip = `${this.#network}.${number}`;
    const store = await relays.Relay.start(this.#store.port);
    const front = await relays.Relay.start(examples.PORTS.front, ip);
    const name = `gateway-${number}`;
    const settingsPath = path.join(this.#directory, `${name}.yaml`);
    const { sentCalls } = this;
    const paths = { settingsPath, script };
    const gateway = { name, ip, ...paths, front, store, sentCalls, fleetKey: FLEET_KEY };
    const text = examples.createSettingsText(ip, {
      node: name,
      seeds: [this.formatSeed(1), this.formatSeed(2)],
      platform: `127.0.0.1:${store.port}`,
      retryRatio: this.retryRatio,
    });
    await fs.writeFile(settingsPath, text);
    const state = GATEWAY_STATE.up;
    const startedAt = performance.now();
    const child = this.#spawnGateway(gateway);
    const disturbances = [{ from: startedAt, to: startedAt }];
    this.gateways.push({
      ...gateway,
      process: child,
      processes: [child],
      startedAt,
      disturbances,
      state,
    });
  }

  #spawnGateway({
    name,
    settingsPath,
    fleetKey,
    script,
  }: Pick<Gateway, "name" | "settingsPath" | "fleetKey" | "script">): processes.ManagedProcess {
    const flags = ["gateway", "--fleet-keys", fleetKey];
    const environment = { EBONYHOOK_BOOT: settingsPath };
    return new processes.ManagedProcess(name, script, flags, { environment });
  }
}
