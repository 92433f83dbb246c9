/** The daemon of a gateway's VM: wires the services, starts them, and drains them. */
import * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import * as random from "../kernel/random.js";
import type * as membershipTypes from "../membership/types.js";
import * as membership from "../membership/membership.js";
import * as placement from "../placement/placement.js";
import * as engineReports from "../placement/engine-reports.js";
import * as stageOrders from "../placement/stage-orders.js";
import * as poolScheduler from "../placement/pool-scheduler.js";
import * as peerNetwork from "../protocol/peer-network.js";
import * as tcpTransport from "../protocol/tcp-transport.js";
import * as registrySync from "../registry/registry-sync.js";
import * as routingState from "../routing/routing-state.js";
import * as crashRecords from "../request/crash-records.js";
import * as runnerCalls from "../runners/runner-calls.js";
import * as runnerTable from "../runners/runner-table.js";
import * as crashWatch from "../serving/crash-watch.js";
import * as modelServing from "../serving/model-serving.js";
import * as plainServing from "../serving/plain-serving.js";
import * as repeatBudgets from "../serving/repeat-budgets.js";
import type * as nodeSettings from "../settings/node-settings.js";
import * as events from "../telemetry/log-events.js";
import * as log from "../telemetry/log.js";
import * as metrics from "../telemetry/metrics.js";
import * as callerFront from "./caller-front.js";
import * as lookupFront from "./lookup-front.js";
import * as seedList from "./seed-list.js";
import type * as types from "./types.js";

/** Settings of the process that the platform does not give. */
export interface GatewayOptions {
  readonly fleetKeys: readonly string[];
  readonly logLevel: nodeSettings.NodeSettings["logLevel"];
  readonly metricsPort: number | undefined;
}

/** Creates a kernel with every service of a gateway. Nothing runs before `startGateway`. */
export function createGatewayKernel(
  adapter: types.PlatformAdapter,
  options: GatewayOptions,
): container.Kernel {
  const kernel = container.createKernel();
  kernel.register("adapter", () => adapter);
  kernel.register("settings", () => createNodeSettings(adapter.settings, options));
  kernel.register("clock", () => clocks.createSystemClock());
  kernel.register("random", () => random.createSystemRandom());
  kernel.register("log", log.createEventLog);
  kernel.register("metrics", () => metrics.createMetrics());
  kernel.register("transport", () => tcpTransport.createTcpTransport());
  kernel.register("network", peerNetwork.createPeerNetwork);
  kernel.register("platform", () => seedList.createSeedList(adapter.settings));
  kernel.register("membership", membership.createMembership);
  kernel.register("routing", () => new routingState.RoutingState(kernel.use("log")));
  kernel.register(
    "runners",
    () => new runnerTable.RunnerTable(kernel.use("clock"), kernel.use("log")),
  );
  kernel.register("registrySync", registrySync.createRegistrySync);
  kernel.register("runnerCalls", createRunnerCalls);
  kernel.register("repeatBudgets", createRepeatBudgets);
  kernel.register("placement", createPlacement);
  kernel.register("engineReports", createEngineReports);
  kernel.register("stageOrders", createStageOrders);
  kernel.register("crashes", crashRecords.createCrashRecords);
  kernel.register("crashWatch", createCrashWatch);
  kernel.register("plainServing", createPlainServing);
  kernel.register("modelServing", createModelServing);
  return kernel;
}

function createNodeSettings(
  settings: types.GatewaySettings,
  options: GatewayOptions,
): nodeSettings.NodeSettings {
  return {
    vm: settings.vm,
    region: settings.region,
    zone: settings.zone,
    host: settings.host,
    callerPort: settings.callerAddress.port,
    peerPort: settings.peerAddress.port,
    platformUrl: `http://${settings.platformAddress.host}:${settings.platformAddress.port}`,
    fleetKeys: options.fleetKeys,
    adminToken: undefined,
    logFormat: "json",
    logLevel: options.logLevel,
    otlpUrl: undefined,
    drainLimitMs: settings.shutdownLimitMs,
  };
}

function createRunnerCalls(kernel: container.Kernel): runnerCalls.RunnerCalls {
  const { runnerWire } = kernel.use("adapter");
  return new runnerCalls.RunnerCalls(kernel.use("clock"), runnerWire, () => countVms(kernel));
}

function createRepeatBudgets(kernel: container.Kernel): repeatBudgets.RepeatBudgets {
  const { retryBudget } = kernel.use("adapter").settings;
  return new repeatBudgets.RepeatBudgets(retryBudget, kernel.use("clock"), () => countVms(kernel));
}

function countVms(kernel: container.Kernel): number {
  return kernel.use("membership").listMembers().length;
}

function createPlacement(kernel: container.Kernel): placement.Placement {
  const clock = kernel.use("clock");
  const runners = kernel.use("runners");
  const routing = kernel.use("routing");
  const created = new placement.Placement({
    clock,
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    createScheduler: (service) =>
      new poolScheduler.PoolScheduler({
        clock,
        log: kernel.use("log"),
        listCandidates: () => runners.listUsable(service),
        findEngine: () => routing.current?.findService(service)?.engine,
      }),
  });
  runners.onChange(() => {
    created.update();
  });
  return created;
}

function createEngineReports(kernel: container.Kernel): engineReports.EngineReports {
  return new engineReports.EngineReports({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    wire: kernel.use("adapter").runnerWire,
    listSchedulers: () => listSchedulers(kernel),
  });
}

/** Returns the schedulers of the services of model engines that this VM schedules. */
function listSchedulers(
  kernel: container.Kernel,
): ReadonlyMap<string, poolScheduler.PoolScheduler> {
  const services = kernel.use("routing").current?.listEngineServices() ?? [];
  return kernel.use("placement").listSchedulers(services);
}

function createStageOrders(kernel: container.Kernel): stageOrders.StageOrders {
  const { settings, runnerWire } = kernel.use("adapter");
  const sync = kernel.use("registrySync");
  const fleet = kernel.use("membership");
  return new stageOrders.StageOrders({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    vm: settings.vm,
    leaseMs: settings.orderLeaseMs,
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    wire: runnerWire,
    listSchedulers: () => listSchedulers(kernel),
    isInTouch: () => hasMajority(fleet),
    getRevision: () => sync.revision,
  });
}

/** Whether more than half of the VMs known lately are alive. */
function hasMajority(fleet: membershipTypes.Membership): boolean {
  return fleet.listAlive().length * 2 > fleet.listKnown().length;
}

function createCrashWatch(kernel: container.Kernel): crashWatch.CrashWatch {
  return new crashWatch.CrashWatch({
    clock: kernel.use("clock"),
    crashes: kernel.use("crashes"),
    calls: kernel.use("runnerCalls"),
    wire: kernel.use("adapter").runnerWire,
  });
}

function createPlainServing(kernel: container.Kernel): plainServing.PlainServing {
  return new plainServing.PlainServing({
    clock: kernel.use("clock"),
    random: kernel.use("random"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    zone: kernel.use("settings").zone,
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    budgets: kernel.use("repeatBudgets"),
    crashWatch: kernel.use("crashWatch"),
  });
}

function createModelServing(kernel: container.Kernel): modelServing.ModelServing {
  return new modelServing.ModelServing({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    zone: kernel.use("settings").zone,
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    wire: kernel.use("adapter").runnerWire,
    budgets: kernel.use("repeatBudgets"),
    crashWatch: kernel.use("crashWatch"),
    placement: kernel.use("placement"),
  });
}

/** A running gateway. */
export interface RunningGateway extends AsyncDisposable {
  readonly kernel: container.Kernel;
  /** Takes no new work, and waits until every call has ended or the shutdown limit is near. */
  drain(): Promise<void>;
}

/** Starts a gateway: what it needs to know first, then what callers reach. */
export async function startGateway(
  kernel: container.Kernel,
  options: GatewayOptions,
): Promise<RunningGateway> {
  const state = { isLeaving: false };
  const sync = kernel.use("registrySync");
  const isReady = (): boolean => !state.isLeaving && sync.ready;
  kernel.use("placement");
  await kernel.use("network").start();
  const front = createCallerFront(kernel, () => sync.ready);
  const lookups = createLookupFront(kernel, options, isReady);
  await Promise.all([front.start(), lookups.start()]);
  sync.start();
  void kernel.use("membership").start();
  void kernel.use("engineReports").run();
  void kernel.use("stageOrders").run();
  const { vm, zone } = kernel.use("settings");
  kernel.use("log").write(events.LOG_EVENTS.nodeStarted, { vm, zone });
  return {
    kernel,
    drain: async () => {
      state.isLeaving = true;
      await drainGateway(kernel, front);
    },
    [Symbol.asyncDispose]: async () => {
      await front[Symbol.asyncDispose]();
      await lookups[Symbol.asyncDispose]();
      await kernel[Symbol.asyncDispose]();
    },
  };
}

function createCallerFront(
  kernel: container.Kernel,
  isReady: () => boolean,
): callerFront.CallerFront {
  const { settings, callers } = kernel.use("adapter");
  return new callerFront.CallerFront({
    settings,
    wire: callers,
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    routing: kernel.use("routing"),
    crashWatch: kernel.use("crashWatch"),
    plain: kernel.use("plainServing"),
    models: kernel.use("modelServing"),
    isReady,
  });
}

function createLookupFront(
  kernel: container.Kernel,
  options: GatewayOptions,
  isReady: () => boolean,
): lookupFront.LookupFront {
  const { settings, callers } = kernel.use("adapter");
  return new lookupFront.LookupFront({
    settings,
    wire: callers,
    membership: kernel.use("membership"),
    metrics: kernel.use("metrics"),
    metricsPort: options.metricsPort,
    isReady,
  });
}

/** Time in which callers learn that the VM leaves; their old addresses are served until then. */
const LINGER_MS = 3_000;
/** Time kept for ending the process before it is killed. */
const EXIT_MARGIN_MS = 400;
const DRAIN_POLL_MS = 25;
/** Time for the last log lines to be written. */
const EXIT_LIMIT_MS = 200;

async function drainGateway(
  kernel: container.Kernel,
  front: callerFront.CallerFront,
): Promise<void> {
  const clock = kernel.use("clock");
  const startedAt = clock.now();
  const limitAt = startedAt + kernel.use("settings").drainLimitMs - EXIT_MARGIN_MS;
  kernel.use("log").write(events.LOG_EVENTS.nodeLeaving, { active: front.active });
  front.startLeaving();
  await kernel.use("membership").startLeaving();
  while (clock.now() < startedAt + LINGER_MS) await clocks.sleep(clock, DRAIN_POLL_MS);
  front.closeIdle();
  while (front.active > 0 && clock.now() < limitAt) await clocks.sleep(clock, DRAIN_POLL_MS);
  kernel.use("log").write(events.LOG_EVENTS.nodeStopped, { active: front.active });
}

/** Runs a gateway until SIGTERM or SIGINT, then drains it. */
export async function runGateway(
  adapter: types.PlatformAdapter,
  options: GatewayOptions,
): Promise<void> {
  const kernel = createGatewayKernel(adapter, options);
  const gateway = await startGateway(kernel, options);
  // Settings are read at start; nothing in them changes what a running gateway does.
  process.on("SIGHUP", () => {
    kernel.use("log").write(events.LOG_EVENTS.settingsReloaded);
  });
  await waitForLeaveSignal();
  await gateway.drain();
  const clock = kernel.use("clock");
  await Promise.race([gateway[Symbol.asyncDispose](), clocks.sleep(clock, EXIT_LIMIT_MS)]);
  // Open connections would keep the process; everything that matters has ended.
  process.exit(0);
}

function waitForLeaveSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const name of ["SIGTERM", "SIGINT"] as const)
      process.once(name, () => {
        resolve();
      });
  });
}
