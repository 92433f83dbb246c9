/** The node process of a VM: registers its services, starts them and drains them on shutdown. */
import * as adminRoutes from "./admin/routes.js";
import * as callerServer from "./caller/caller-server.js";
import * as sessions from "./caller/sessions.js";
import * as capacity from "./capacity/capacity.js";
import * as clocks from "./kernel/clock.js";
import * as container from "./kernel/container.js";
import * as random from "./kernel/random.js";
import * as fleetSize from "./membership/fleet-size.js";
import * as membership from "./membership/membership.js";
import * as configuration from "./configuration/configuration.js";
import * as orders from "./orders/orders.js";
import * as platformClient from "./configuration/platform-client.js";
import * as peerNetwork from "./protocol/peer-network.js";
import * as tcpTransport from "./protocol/tcp-transport.js";
import * as crashRecordSync from "./request/crash-record-sync.js";
import * as crashRecords from "./request/crash-records.js";
import * as modelCalls from "./request/model-calls.js";
import * as retryBudgets from "./request/retry-budgets.js";
import * as runHolds from "./request/run-holds.js";
import * as plainCalls from "./request/plain-calls.js";
import type * as nodeSettings from "./settings/node-settings.js";
import * as events from "./telemetry/log-events.js";
import * as log from "./telemetry/log.js";
import * as metrics from "./telemetry/metrics.js";
import * as tracing from "./telemetry/tracing.js";
import * as engineClient from "./upstream/engine-client.js";
import * as serviceClient from "./upstream/service-client.js";

const DRAIN_POLL_INTERVAL_MS = 50;
/** Minimum duration of a drain, so that callers and peers learn that the node is leaving. */
const LEAVE_PROPAGATION_MS = 1_000;

/**
 * Creates a kernel with every service of a node registered. Services are created on first use, and
 * started by `startNode`.
 *
 * @example const kernel = createNodeKernel(settings); kernel.register("clock", () => fakeClock);
 */
export function createNodeKernel(settings: nodeSettings.NodeSettings): container.Kernel {
  const kernel = container.createKernel();
  kernel.register("settings", () => settings);
  kernel.register("clock", () => clocks.createSystemClock());
  kernel.register("random", () => random.createSystemRandom());
  kernel.register("log", log.createEventLog);
  kernel.register("metrics", () => metrics.createMetrics());
  kernel.register("tracer", tracing.createTracer);
  kernel.register("transport", () => tcpTransport.createTcpTransport());
  kernel.register("network", peerNetwork.createPeerNetwork);
  kernel.register("membership", membership.createMembership);
  kernel.register("platform", platformClient.createPlatformClient);
  kernel.register("configuration", configuration.createConfiguration);
  kernel.register("orders", orders.createOrders);
  kernel.register("sessions", sessions.createSessions);
  kernel.register("fleetSize", createFleetSize);
  kernel.register("retryBudgets", createRetryBudgets);
  kernel.register("plainCalls", plainCalls.createPlainCalls);
  kernel.register("modelCalls", modelCalls.createModelCalls);
  kernel.register("crashes", crashRecords.createCrashRecords);
  kernel.register("runHolds", runHolds.createRunHolds);
  kernel.register("crashRecordSync", crashRecordSync.createCrashRecordSync);
  kernel.register("capacity", capacity.createCapacity);
  kernel.register("engines", engineClient.createEngineClient);
  kernel.register("backends", serviceClient.createServiceClient);
  return kernel;
}

function createFleetSize(kernel: container.Kernel): fleetSize.FleetSize {
  const fleet = kernel.use("membership");
  return new fleetSize.FleetSize({
    clock: kernel.use("clock"),
    membership: fleet,
    listSeeds: () => fleet.listSeeds(),
  });
}

/** Retry budget of each plain service. */
const RETRY_BUDGET: retryBudgets.RetryBudgetSettings = { ratio: 0.2, slack: 40, windowMs: 10_000 };
/** Lets the first calls of a node with little traffic be retried. */
const INITIAL_RETRIES = 2;

function createRetryBudgets(kernel: container.Kernel): retryBudgets.RetryBudgets {
  const size = kernel.use("fleetSize");
  return new retryBudgets.RetryBudgets({
    getSettings: () => RETRY_BUDGET,
    clock: kernel.use("clock"),
    findShare: () => size.findShare(),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    initialRetries: INITIAL_RETRIES,
  });
}

/** A running node. */
export interface RunningNode extends AsyncDisposable {
  readonly kernel: container.Kernel;
  /** Port on which the node accepts callers. */
  readonly callerPort: number;
  /** Stops accepting new work and waits for calls in progress, up to the drain limit. */
  drain(): Promise<void>;
}

/**
 * Starts a node: the peer network first, then the services that use it, then the HTTP server for
 * callers.
 *
 * @example await using node = await startNode(createNodeKernel(settings));
 */
export async function startNode(kernel: container.Kernel): Promise<RunningNode> {
  await startServices(kernel);
  const server = await callerServer.startCallerServer(
    kernel,
    adminRoutes.createAdminRoutes(kernel),
  );
  const { vm, incarnation } = kernel.use("membership").self;
  kernel.use("log").write(events.LOG_EVENTS.nodeStarted, {
    vm,
    incarnation,
    callerPort: server.port,
  });
  return {
    kernel,
    callerPort: server.port,
    drain: () => drainNode(kernel, () => server.activeCount),
    [Symbol.asyncDispose]: async () => {
      await server[Symbol.asyncDispose]();
      await kernel[Symbol.asyncDispose]();
    },
  };
}

/**
 * Starts every service except the HTTP server for callers, without which peers can already
 * communicate with this node.
 */
export async function startServices(kernel: container.Kernel): Promise<void> {
  kernel.use("crashRecordSync");
  kernel.use("plainCalls");
  kernel.use("modelCalls");
  await kernel.use("network").start();
  await kernel.use("membership").start();
  await kernel.use("crashRecordSync").start(0);
  await kernel.use("configuration").start();
  await kernel.use("capacity").start();
  await kernel.use("orders").start();
}

/**
 * Leaves the fleet: announces it to the peers, then waits for calls in progress, at least
 * `LEAVE_PROPAGATION_MS` and otherwise up to the drain limit. Remaining calls are not cancelled
 * here.
 *
 * @param countOpenResponses - returns the number of responses that are still being sent.
 */
export async function drainNode(
  kernel: container.Kernel,
  countOpenResponses: () => number,
): Promise<void> {
  const clock = kernel.use("clock");
  const deadline = clock.now() + kernel.use("settings").drainLimitMs;
  kernel.use("log").write(events.LOG_EVENTS.nodeLeaving);
  await kernel.use("membership").startLeaving();
  await clocks.sleep(clock, LEAVE_PROPAGATION_MS);
  while (countActiveCalls(kernel) + countOpenResponses() > 0 && clock.now() < deadline) {
    await clocks.sleep(clock, DRAIN_POLL_INTERVAL_MS);
  }
}

function countActiveCalls(kernel: container.Kernel): number {
  return kernel.use("modelCalls").activeCount + kernel.use("plainCalls").activeCount;
}

const SHUTDOWN_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Runs a node until SIGTERM or SIGINT, then drains it. */
export async function runNode(settings: nodeSettings.NodeSettings): Promise<void> {
  await using node = await startNode(createNodeKernel(settings));
  await waitForShutdownSignal();
  await node.drain();
  node.kernel.use("log").write(events.LOG_EVENTS.nodeStopped);
}

/** The handlers stay: without one, a further signal would end the process in the middle of its drain. */
function waitForShutdownSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const name of SHUTDOWN_SIGNALS) {
      process.on(name, () => {
        resolve();
      });
    }
  });
}
