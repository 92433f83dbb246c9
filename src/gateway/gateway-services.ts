/** Registers the services of a gateway and their dependencies. */
import * as bufferBudget from "../kernel/buffer-budget.js";
import * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import * as random from "../kernel/random.js";
import type * as membershipTypes from "../membership/types.js";
import * as dutyHolders from "../membership/duty-holders.js";
import * as fleetSize from "../membership/fleet-size.js";
import * as membership from "../membership/membership.js";
import * as placementService from "../placement/placement-service.js";
import * as engineReportPoller from "../placement/engine-report-poller.js";
import * as stageReconciler from "../placement/stage-reconciler.js";
import type * as poolPlacer from "../placement/pool-placer.js";
import * as poolScheduler from "../placement/pool-scheduler.js";
import * as handoverServices from "../handover/handover-services.js";
import * as peerNetwork from "../protocol/peer-network.js";
import * as tcpTransport from "../protocol/tcp-transport.js";
import * as registrySync from "../registry/registry-sync.js";
import * as routingState from "../routing/routing-state.js";
import * as crashRecordSync from "../request/crash-record-sync.js";
import * as retryBudgets from "../request/retry-budgets.js";
import * as runHolds from "../request/run-holds.js";
import * as traitRecords from "../request/trait-records.js";
import * as runnerCalls from "../runners/runner-calls.js";
import * as leavingRunners from "../runners/leaving-runners.js";
import * as runnerLimits from "../runners/runner-limits.js";
import * as runnerPauses from "../runners/runner-pauses.js";
import * as runnerTable from "../runners/runner-table.js";
import * as connectionStarts from "../runners/connection-starts.js";
import * as versionHistory from "../runners/version-history.js";
import * as versionVerifier from "../runners/version-verifier.js";
import * as reportedRuns from "../streams/reported-runs.js";
import * as streamOriginExchange from "../streams/stream-origin-exchange.js";
import * as streamOrigins from "../streams/stream-origins.js";
import * as streamVersions from "../streams/stream-versions.js";
import * as crashDetector from "../serving/crash-detector.js";
import * as modelServing from "../serving/model-serving.js";
import * as runnerProbe from "../serving/runner-probe.js";
import * as plainServing from "../serving/plain-serving.js";
import * as quotaServices from "../teams/quota-services.js";
import type * as nodeSettings from "../settings/node-settings.js";
import * as log from "../telemetry/log.js";
import * as metrics from "../telemetry/metrics.js";
import * as spans from "../telemetry/spans.js";
import * as admissions from "./admission.js";
import * as liveSettings from "./live-settings.js";
import * as seedList from "./seed-list.js";
import * as shutdownGrace from "./shutdown-grace.js";
import type * as types from "./types.js";

/** Process settings that do not come from the platform adapter. */
export interface GatewayOptions {
  readonly fleetKeys: readonly string[];
  readonly logLevel: nodeSettings.NodeSettings["logLevel"];
  readonly metricsPort: number | undefined;
  /** OTLP endpoint for trace spans; `undefined` disables tracing. */
  readonly otlpUrl: string | undefined;
}

/** Creates a kernel with all services of a gateway; `startGateway` starts them. */
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
  kernel.register("tracer", spans.createNoopTracer);
  kernel.register("buffers", createBuffers);
  kernel.register("transport", () => tcpTransport.createTcpTransport());
  kernel.register("network", peerNetwork.createPeerNetwork);
  kernel.register("liveSettings", createLiveSettings);
  kernel.register("admission", createAdmission);
  kernel.register("shutdownGrace", () => new shutdownGrace.ShutdownGrace(kernel.use("clock")));
  kernel.register("platform", () => seedList.createSeedListClient(kernel.use("liveSettings")));
  kernel.register("membership", membership.createMembership);
  kernel.register("fleetSize", createFleetSize);
  kernel.register("dutyHolders", () => new dutyHolders.DutyHolders(kernel.use("membership")));
  kernel.register("routing", () => new routingState.RoutingState(kernel.use("log")));
  kernel.register(
    "runners",
    () =>
      new runnerTable.RunnerTable(
        kernel.use("clock"),
        kernel.use("log"),
        adapter.settings.runnerDrainMs,
      ),
  );
  kernel.register("registrySync", registrySync.createRegistrySync);
  kernel.register("runnerLimits", createRunnerLimits);
  kernel.register("leavingRunners", createLeavingRunners);
  kernel.register("runnerPauses", createRunnerPauses);
  kernel.register("runnerCalls", createRunnerCalls);
  kernel.register("retryBudgets", createRetryBudgets);
  kernel.register("placement", createPlacement);
  kernel.register("engineReportPoller", createEngineReportPoller);
  kernel.register("stageReconciler", createStageReconciler);
  kernel.register("crashes", traitRecords.createTraitRecords);
  kernel.register("runHolds", runHolds.createRunHolds);
  kernel.register("crashRecordSync", crashRecordSync.createCrashRecordSync);
  kernel.register("crashDetector", createCrashDetector);
  kernel.register("reportedRuns", () => new reportedRuns.ReportedRuns(kernel.use("clock")));
  kernel.register("streamVersions", createStreamVersions);
  kernel.register("plainServing", createPlainServing);
  kernel.register("modelServing", createModelServing);
  handoverServices.registerHandover(kernel);
  quotaServices.registerQuotas(kernel);
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
    otlpUrl: options.otlpUrl,
    drainLimitMs: settings.shutdownLimitMs,
    capacity: settings.capacity,
  };
}

function createBuffers(kernel: container.Kernel): bufferBudget.BufferBudget {
  const { memoryMb } = kernel.use("adapter").settings;
  return new bufferBudget.BufferBudget({
    maxBytes: bufferBudget.computeMaxBufferedBytes(memoryMb),
    clock: kernel.use("clock"),
    onRefused: () => {
      kernel.use("metrics").count("buffer_refusals");
    },
  });
}

function createAdmission(kernel: container.Kernel): admissions.Admission {
  return new admissions.Admission({
    clock: kernel.use("clock"),
    onRefused: () => {
      kernel.use("metrics").count("processor_refusals");
    },
  });
}

function createLiveSettings(kernel: container.Kernel): liveSettings.LiveSettings {
  const adapter = kernel.use("adapter");
  return new liveSettings.LiveSettings({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    initial: adapter.settings,
    read: () => adapter.readSettings(),
  });
}

function createRunnerCalls(kernel: container.Kernel): runnerCalls.RunnerCalls {
  const { runnerCodec } = kernel.use("adapter");
  const leaving = kernel.use("leavingRunners");
  return new runnerCalls.RunnerCalls({
    clock: kernel.use("clock"),
    codec: runnerCodec,
    tracer: kernel.use("tracer"),
    countVms: () => kernel.use("fleetSize").countKnown(),
    onLimit: (runner, limit, sentAt) => {
      kernel.use("runnerLimits").recordAnswer(runner, limit, sentAt);
    },
    canReceive: (runner) => kernel.use("runners").canReceive(runner),
    onLeaving: (runner, reported) => {
      leaving.recordAnswer(runner, reported);
    },
    onPause: (runner, pause, request) => {
      kernel.use("runnerPauses").recordAnswer(runner, pause, request);
    },
    observer: kernel.use("pathEvidence"),
  });
}

function createLeavingRunners(kernel: container.Kernel): leavingRunners.LeavingRunners {
  return new leavingRunners.LeavingRunners({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    runners: kernel.use("runners"),
  });
}

function createRunnerPauses(kernel: container.Kernel): runnerPauses.RunnerPauses {
  return new runnerPauses.RunnerPauses({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
  });
}

function createRunnerLimits(kernel: container.Kernel): runnerLimits.RunnerLimits {
  return new runnerLimits.RunnerLimits({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    fleetSize: kernel.use("fleetSize"),
    holders: kernel.use("dutyHolders"),
  });
}

function createFleetSize(kernel: container.Kernel): fleetSize.FleetSize {
  const live = kernel.use("liveSettings");
  return new fleetSize.FleetSize({
    clock: kernel.use("clock"),
    membership: kernel.use("membership"),
    listSeeds: () => live.current.seeds,
  });
}

function createRetryBudgets(kernel: container.Kernel): retryBudgets.RetryBudgets {
  const live = kernel.use("liveSettings");
  const size = kernel.use("fleetSize");
  return new retryBudgets.RetryBudgets({
    getSettings: () => live.current.retryBudget,
    clock: kernel.use("clock"),
    findShare: () => size.findShare(),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
  });
}

function createPlacement(kernel: container.Kernel): placementService.PlacementService {
  const clock = kernel.use("clock");
  const runners = kernel.use("runners");
  const routing = kernel.use("routing");
  const limits = kernel.use("runnerLimits");
  const placement = new placementService.PlacementService({
    clock,
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    holders: kernel.use("dutyHolders"),
    countVms: () => kernel.use("fleetSize").countKnown(),
    createScheduler: (service) =>
      new poolScheduler.PoolScheduler({
        clock,
        log: kernel.use("log"),
        listCandidates: () => listCandidates(kernel, service),
        listDraining: () => runners.listDraining(service),
        limits: {
          computeWait: (runner) => limits.computeWait(service, runner),
          recordSend: (runner) => {
            limits.recordSend(service, runner);
          },
        },
        findEngine: () => routing.current?.findService(service)?.engine,
      }),
  });
  runners.onChange(() => {
    placement.update();
  });
  return placement;
}

/** Lists the runners of a service for its scheduler; a backoff that only the paths of this VM have caused does not count. */
function listCandidates(
  kernel: container.Kernel,
  service: string,
): readonly poolPlacer.Candidate[] {
  const paths = kernel.use("runnerPaths");
  const records = kernel.use("runners").listUsable(service);
  if (!records.some(({ inBackoff }) => inBackoff)) return records;
  return records.map(({ runner, inBackoff }) => ({
    runner,
    inBackoff: inBackoff && !paths.isOutOfReach(runner),
  }));
}

function createEngineReportPoller(kernel: container.Kernel): engineReportPoller.EngineReportPoller {
  return new engineReportPoller.EngineReportPoller({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    codec: kernel.use("adapter").runnerCodec,
    pauses: kernel.use("runnerPauses"),
    listSchedulers: () => listSchedulers(kernel),
    onReport: (runner, report) => {
      kernel.use("reportedRuns").record(runner, report);
    },
    hasLostPath: (runner, error) => {
      const paths = kernel.use("runnerPaths");
      if (runnerProbe.isUnsent(error)) return paths.hasLostPath(runner);
      return Promise.resolve(paths.isOutOfReach(runner));
    },
  });
}

/** Returns the schedulers of the model services for which this VM is the scheduler. */
function listSchedulers(
  kernel: container.Kernel,
): ReadonlyMap<string, poolScheduler.PoolScheduler> {
  const services = kernel.use("routing").current?.listEngineServices() ?? [];
  return kernel.use("placement").listSchedulers(services);
}

function createStageReconciler(kernel: container.Kernel): stageReconciler.StageReconciler {
  const { settings, runnerCodec } = kernel.use("adapter");
  const live = kernel.use("liveSettings");
  const sync = kernel.use("registrySync");
  const fleet = kernel.use("membership");
  return new stageReconciler.StageReconciler({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    vm: settings.vm,
    getLeaseMs: () => live.current.orderLeaseMs,
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    codec: runnerCodec,
    pauses: kernel.use("runnerPauses"),
    listSchedulers: () => listSchedulers(kernel),
    hasMajority: () => hasMajority(fleet),
    getRevision: () => sync.fencingRevision,
  });
}

/**
 * Whether more than half of the members in the table, which retains dead ones for some time, are
 * alive.
 */
function hasMajority(fleet: membershipTypes.Membership): boolean {
  return fleet.listAlive().length * 2 > fleet.listKnown().length;
}

function createCrashDetector(kernel: container.Kernel): crashDetector.CrashDetector {
  return new crashDetector.CrashDetector({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: kernel.use("metrics"),
    crashes: kernel.use("crashes"),
    holds: kernel.use("runHolds"),
    runners: kernel.use("runners"),
    calls: kernel.use("runnerCalls"),
    codec: kernel.use("adapter").runnerCodec,
    hasEnded: (runner) => kernel.use("runnerPaths").hasEnded(runner),
  });
}

function createStreamVersions(kernel: container.Kernel): streamVersions.StreamVersions {
  const clock = kernel.use("clock");
  const runners = kernel.use("runners");
  const sync = kernel.use("registrySync");
  const calls = kernel.use("runnerCalls");
  const { runnerCodec: codec, runnerSource: source } = kernel.use("adapter");
  const history = new versionHistory.VersionHistory({
    clock,
    runners,
    findContinuousSince: () => sync.runnersContinuousSince,
  });
  return new streamVersions.StreamVersions({
    metrics: kernel.use("metrics"),
    runners,
    history,
    starts: new connectionStarts.ConnectionStarts({ clock, calls, codec }),
    exchange: new streamOriginExchange.StreamOriginExchange({
      clock,
      network: kernel.use("network"),
      membership: kernel.use("membership"),
      holders: kernel.use("dutyHolders"),
      reportedRuns: kernel.use("reportedRuns"),
      origins: new streamOrigins.StreamOrigins(clock),
      history,
      getListPosition: () => sync.runnersPosition,
    }),
    verifier: new versionVerifier.VersionVerifier({
      clock,
      source,
      getListPosition: () => sync.runnersPosition,
    }),
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
    codec: kernel.use("adapter").runnerCodec,
    limits: kernel.use("runnerLimits"),
    pauses: kernel.use("runnerPauses"),
    budgets: kernel.use("retryBudgets"),
    crashDetector: kernel.use("crashDetector"),
    isReachable: (id) => kernel.use("runnerPaths").isReachable(id),
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
    codec: kernel.use("adapter").runnerCodec,
    budgets: kernel.use("retryBudgets"),
    crashDetector: kernel.use("crashDetector"),
    placement: kernel.use("placement"),
    pauses: kernel.use("runnerPauses"),
    grace: kernel.use("shutdownGrace"),
    streams: kernel.use("streamVersions"),
    tracer: kernel.use("tracer"),
    paths: kernel.use("runnerPaths"),
  });
}
