/** The gateway process: starts the services in order and drains them on shutdown. */
import * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import type * as handoverReceiver from "../handover/handover-receiver.js";
import * as events from "../telemetry/log-events.js";
import * as loopMonitors from "../telemetry/loop-monitor.js";
import * as callerServer from "./caller-server.js";
import * as auxiliaryServers from "./auxiliary-servers.js";
import type * as types from "./types.js";
import * as services from "./gateway-services.js";

/** A running gateway. */
export interface RunningGateway extends AsyncDisposable {
  readonly kernel: container.Kernel;
  /**
   * Announces that the VM is leaving, accepts new connections for some time more, and then waits until all calls have
   * ended. Near the shutdown limit it ends those that are left, each with a complete answer if none was begun.
   */
  drain(): Promise<void>;
}

/** Starts a gateway: the peer network first, then the HTTP servers, then the background tasks. */
export async function startGateway(
  kernel: container.Kernel,
  options: services.GatewayOptions,
): Promise<RunningGateway> {
  const state = { isDraining: false };
  const sync = kernel.use("registrySync");
  const crashes = kernel.use("crashRecordSync");
  const hasData = (): boolean => sync.ready && crashes.ready;
  const isReady = (): boolean => !state.isDraining && hasData();
  kernel.use("placement");
  // Counts the time in touch with the fleet from the start on.
  kernel.use("retryBudgets");
  kernel.use("runnerPaths");
  await kernel.use("network").start();
  const server = createCallerServer(kernel, hasData);
  const receiver = kernel.use("handoverReceiver");
  const auxiliary = createAuxiliaryServers(kernel, options, isReady);
  await Promise.all([server.start(), auxiliary.start()]);
  sync.start();
  void kernel.use("liveSettings").run();
  void kernel.use("membership").start();
  void crashes.start(PEER_WAIT_MS);
  void kernel.use("engineReportPoller").run();
  void kernel.use("stageReconciler").run();
  void kernel.use("pathWatch").run();
  const monitor = new loopMonitors.LoopMonitor({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
  });
  void monitor.run();
  const { vm, zone } = kernel.use("settings");
  kernel.use("log").write(events.LOG_EVENTS.nodeStarted, { vm, zone });
  return {
    kernel,
    drain: async () => {
      state.isDraining = true;
      await drainGateway(kernel, server, receiver);
    },
    [Symbol.asyncDispose]: async () => {
      await monitor[Symbol.asyncDispose]();
      await server[Symbol.asyncDispose]();
      await auxiliary[Symbol.asyncDispose]();
      await kernel[Symbol.asyncDispose]();
    },
  };
}

/** Time for which a starting VM waits for a peer; peers contact a seed that restarts within it. */
const PEER_WAIT_MS = 1_000;

function createCallerServer(
  kernel: container.Kernel,
  isReady: () => boolean,
): callerServer.CallerServer {
  const { settings, callerCodec } = kernel.use("adapter");
  return new callerServer.CallerServer({
    settings,
    codec: callerCodec,
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    tracer: kernel.use("tracer"),
    routing: kernel.use("routing"),
    buffers: kernel.use("buffers"),
    handler: kernel.use("quotaServing"),
    grace: kernel.use("shutdownGrace"),
    admission: kernel.use("admission"),
    isReady,
    isOutdated: () => kernel.use("registrySync").isConfigurationOutdated,
    canLackKeys: () => kernel.use("registrySync").canLackKeys,
    getConfigurationState: () => kernel.use("registrySync").configurationState,
  });
}

function createAuxiliaryServers(
  kernel: container.Kernel,
  options: services.GatewayOptions,
  isReady: () => boolean,
): auxiliaryServers.AuxiliaryServers {
  return new auxiliaryServers.AuxiliaryServers({
    settings: kernel.use("liveSettings"),
    codec: kernel.use("adapter").callerCodec,
    membership: kernel.use("membership"),
    metrics: kernel.use("metrics"),
    log: kernel.use("log"),
    metricsPort: options.metricsPort,
    isReady,
    isCutOff: (vm) => kernel.use("runnerPaths").isCutOff(vm),
  });
}

const DRAIN_POLL_MS = 25;
/** Time limit for disposal and for writing the last log lines. */
const EXIT_TIMEOUT_MS = 200;

async function drainGateway(
  kernel: container.Kernel,
  server: callerServer.CallerServer,
  receiver: handoverReceiver.HandoverReceiver,
): Promise<void> {
  const clock = kernel.use("clock");
  const { shutdownLimitMs } = kernel.use("liveSettings").current;
  const { noticeUntil, callsUntil, exitAt } = kernel.use("shutdownGrace").start(shutdownLimitMs);
  kernel.use("log").write(events.LOG_EVENTS.nodeLeaving, { active: server.activeCount });
  const countActive = (): number => server.activeCount + receiver.activeCount;
  server.startDraining();
  receiver.startDraining();
  await kernel.use("membership").startLeaving();
  while (clock.now() < noticeUntil) await clocks.sleep(clock, DRAIN_POLL_MS);
  server.closeListener();
  while (countActive() > 0 && clock.now() < callsUntil) {
    server.closeIdleConnections();
    await clocks.sleep(clock, DRAIN_POLL_MS);
  }
  server.closeIdleConnections();
  server.cancelCalls();
  receiver.cancelCalls();
  while (countActive() > 0 && clock.now() < exitAt) await clocks.sleep(clock, DRAIN_POLL_MS);
  kernel.use("log").write(events.LOG_EVENTS.nodeStopped, { active: countActive() });
}

/** Runs a gateway until SIGTERM or SIGINT, then drains it. */
export async function runGateway(
  adapter: types.PlatformAdapter,
  options: services.GatewayOptions,
): Promise<void> {
  const kernel = services.createGatewayKernel(adapter, options);
  if (options.otlpUrl !== undefined) {
    // Loaded only when needed: the exporter loads slowly, and most gateways run without it.
    const tracing = await import("../telemetry/tracing.js");
    kernel.register("tracer", tracing.createTracer);
  }
  const gateway = await startGateway(kernel, options);
  process.on("SIGHUP", () => {
    kernel.use("liveSettings").update("signal");
  });
  await waitForStopSignal();
  await gateway.drain();
  const clock = kernel.use("clock");
  await Promise.race([gateway[Symbol.asyncDispose](), clocks.sleep(clock, EXIT_TIMEOUT_MS)]);
  // Open connections would keep the process alive, and all calls have ended or run out of time.
  process.exit(0);
}

/** The handlers stay: without one, a further signal would end the process in the middle of its drain. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const name of ["SIGTERM", "SIGINT"] as const)
      process.on(name, () => {
        resolve();
      });
  });
}
