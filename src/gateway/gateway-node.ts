/** The daemon of a gateway's VM: starts the services in their order, and drains them. */
import * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import * as events from "../telemetry/log-events.js";
import * as callerFront from "./caller-front.js";
import * as lookupFront from "./lookup-front.js";
import type * as types from "./types.js";
import * as services from "./gateway-services.js";

/** A running gateway. */
export interface RunningGateway extends AsyncDisposable {
  readonly kernel: container.Kernel;
  /** Takes no new work, and waits until every call has ended or the shutdown limit is near. */
  drain(): Promise<void>;
}

/** Starts a gateway: what it needs to know first, then what callers reach. */
export async function startGateway(
  kernel: container.Kernel,
  options: services.GatewayOptions,
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
  void kernel.use("liveSettings").run();
  void kernel.use("membership").start();
  void kernel.use("engineReportPoller").run();
  void kernel.use("stageReconciler").run();
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
    tracer: kernel.use("tracer"),
    routing: kernel.use("routing"),
    crashDetector: kernel.use("crashDetector"),
    plain: kernel.use("plainServing"),
    models: kernel.use("modelServing"),
    isReady,
  });
}

function createLookupFront(
  kernel: container.Kernel,
  options: services.GatewayOptions,
  isReady: () => boolean,
): lookupFront.LookupFront {
  return new lookupFront.LookupFront({
    settings: kernel.use("liveSettings"),
    wire: kernel.use("adapter").callers,
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
  const limitAt = startedAt + kernel.use("liveSettings").current.shutdownLimitMs - EXIT_MARGIN_MS;
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
  options: services.GatewayOptions,
): Promise<void> {
  const kernel = services.createGatewayKernel(adapter, options);
  if (options.otlpUrl !== undefined) {
    // The exporter takes long to load, and most gateways run without it.
    const tracing = await import("../telemetry/tracing.js");
    kernel.register("tracer", tracing.createTracer);
  }
  const gateway = await startGateway(kernel, options);
  process.on("SIGHUP", () => {
    kernel.use("liveSettings").update("signal");
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
