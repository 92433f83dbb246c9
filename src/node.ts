/** The daemon of a VM: wires the services, starts them, and drains them. */
import * as adminRoutes from "./admin/routes.js";
import * as callerServer from "./caller/caller-server.js";
import * as sessions from "./caller/sessions.js";
import * as capacity from "./capacity/capacity.js";
import * as clocks from "./kernel/clock.js";
import * as container from "./kernel/container.js";
import * as random from "./kernel/random.js";
import * as membership from "./membership/membership.js";
import * as configuration from "./configuration/configuration.js";
import * as orders from "./orders/orders.js";
import * as platformClient from "./configuration/platform-client.js";
import * as peerNetwork from "./protocol/peer-network.js";
import * as tcpTransport from "./protocol/tcp-transport.js";
import * as crashRecords from "./request/crash-records.js";
import * as modelCalls from "./request/model-calls.js";
import * as plainCalls from "./request/plain-calls.js";
import type * as nodeSettings from "./settings/node-settings.js";
import * as events from "./telemetry/log-events.js";
import * as log from "./telemetry/log.js";
import * as metrics from "./telemetry/metrics.js";
import * as tracing from "./telemetry/tracing.js";
import * as engineClient from "./upstream/engine-client.js";
import * as serviceClient from "./upstream/service-client.js";

const DRAIN_POLL_MS = 50;
/** Time in which callers and peers learn that the node leaves, before it may exit. */
const LEAVING_SPREAD_MS = 1_000;

/**
 * Creates a kernel with every service of a node. Nothing runs before `startNode`.
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
  kernel.register("plainCalls", plainCalls.createPlainCalls);
  kernel.register("modelCalls", modelCalls.createModelCalls);
  kernel.register("crashes", crashRecords.createCrashRecords);
  kernel.register("capacity", capacity.createCapacity);
  kernel.register("engines", engineClient.createEngineClient);
  kernel.register("backends", serviceClient.createServiceClient);
  return kernel;
}

/** A running node. */
export interface RunningNode extends AsyncDisposable {
  readonly kernel: container.Kernel;
  /** Port that callers connect to. */
  readonly callerPort: number;
  /** Takes no new work, waits until every call in progress has ended, at most the drain limit. */
  drain(): Promise<void>;
}

/**
 * Starts a node: peers first, then what they share, then callers.
 *
 * @example await using node = await startNode(createNodeKernel(settings));
 */
export async function startNode(kernel: container.Kernel): Promise<RunningNode> {
  await startServices(kernel);
  const callerFront = await callerServer.startCallerServer(
    kernel,
    adminRoutes.createAdminRoutes(kernel),
  );
  const { vm, incarnation } = kernel.use("membership").self;
  kernel.use("log").write(events.LOG_EVENTS.nodeStarted, {
    vm,
    incarnation,
    callerPort: callerFront.port,
  });
  return {
    kernel,
    callerPort: callerFront.port,
    drain: () => drainNode(kernel, () => callerFront.active),
    [Symbol.asyncDispose]: async () => {
      await callerFront[Symbol.asyncDispose]();
      await kernel[Symbol.asyncDispose]();
    },
  };
}

/** Starts every service below the front; the caller front is not needed between peers. */
export async function startServices(kernel: container.Kernel): Promise<void> {
  kernel.use("crashes");
  kernel.use("plainCalls");
  kernel.use("modelCalls");
  await kernel.use("network").start();
  await kernel.use("membership").start();
  await kernel.use("configuration").start();
  await kernel.use("capacity").start();
  await kernel.use("orders").start();
}

/**
 * Leaves the fleet: spreads it, then waits for the calls in progress, at most the drain limit.
 *
 * @param countAnswers - number of answers that the front still writes.
 */
export async function drainNode(
  kernel: container.Kernel,
  countAnswers: () => number,
): Promise<void> {
  const clock = kernel.use("clock");
  const limitAt = clock.now() + kernel.use("settings").drainLimitMs;
  kernel.use("log").write(events.LOG_EVENTS.nodeLeaving);
  await kernel.use("membership").startLeaving();
  await clocks.sleep(clock, LEAVING_SPREAD_MS);
  while (countActive(kernel) + countAnswers() > 0 && clock.now() < limitAt) {
    await clocks.sleep(clock, DRAIN_POLL_MS);
  }
}

function countActive(kernel: container.Kernel): number {
  return kernel.use("modelCalls").active + kernel.use("plainCalls").active;
}

const LEAVE_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Runs a node until SIGTERM or SIGINT, then drains it. */
export async function runNode(settings: nodeSettings.NodeSettings): Promise<void> {
  await using node = await startNode(createNodeKernel(settings));
  await waitForLeaveSignal();
  await node.drain();
  node.kernel.use("log").write(events.LOG_EVENTS.nodeStopped);
}

function waitForLeaveSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const name of LEAVE_SIGNALS) {
      process.once(name, () => {
        resolve();
      });
    }
  });
}
