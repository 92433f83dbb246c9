/** Registers the services that hand requests over and take them over. */
import type * as container from "../kernel/container.js";
import * as localServing from "../serving/local-serving.js";
import * as handover from "./handover.js";
import * as handoverReceiver from "./handover-receiver.js";
import * as handoverSender from "./handover-sender.js";
import * as pathServices from "./path-services.js";
import type * as types from "./types.js";

/** Registers the hand-over of a gateway, and what it knows of its paths to runners. */
export function registerHandover(kernel: container.Kernel): void {
  pathServices.registerPaths(kernel);
  kernel.register("localServing", createLocalServing);
  kernel.register("handover", () => createHandover(kernel));
  kernel.register("handoverReceiver", () => createHandoverReceiver(kernel));
}

function createLocalServing(kernel: container.Kernel): localServing.LocalServing {
  return new localServing.LocalServing({
    crashDetector: kernel.use("crashDetector"),
    plain: kernel.use("plainServing"),
    models: kernel.use("modelServing"),
  });
}

/** Creates the hand-over of a gateway. */
export function createHandover(
  kernel: container.Kernel,
  paths: types.RunnerPaths = kernel.use("runnerPaths"),
): handover.Handover {
  return new handover.Handover({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    tracer: kernel.use("tracer"),
    vm: kernel.use("settings").vm,
    paths,
    sender: new handoverSender.HandoverSender({
      clock: kernel.use("clock"),
      network: kernel.use("network"),
      routing: kernel.use("routing"),
    }),
    handler: kernel.use("localServing"),
  });
}

/** What a receiver may use in place of its defaults. */
export interface ReceiverChanges {
  readonly paths?: types.RunnerPaths;
  /** Requests of other VMs that it serves at a time; by default `MAX_CALLS`. */
  readonly maxCalls?: number | undefined;
}

/** Creates the receiver of a gateway. */
export function createHandoverReceiver(
  kernel: container.Kernel,
  { paths = kernel.use("runnerPaths"), maxCalls }: ReceiverChanges = {},
): handoverReceiver.HandoverReceiver {
  const sync = kernel.use("registrySync");
  const crashes = kernel.use("crashRecordSync");
  return new handoverReceiver.HandoverReceiver({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    tracer: kernel.use("tracer"),
    network: kernel.use("network"),
    routing: kernel.use("routing"),
    buffers: kernel.use("buffers"),
    paths,
    handler: kernel.use("localServing"),
    grace: kernel.use("shutdownGrace"),
    isReady: () => sync.ready && crashes.ready,
    isOutdated: () => sync.isConfigurationOutdated,
    maxCalls,
    isProcessorFull: () => kernel.use("admission").isFull,
  });
}
