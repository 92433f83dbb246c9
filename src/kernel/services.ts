/** Names and types of the services that modules obtain from the kernel. */
import type * as capacity from "../capacity/types.js";
import type * as gateway from "../gateway/types.js";
import type * as liveSettings from "../gateway/live-settings.js";
import type * as configuration from "../configuration/types.js";
import type * as dutyHolders from "../membership/duty-holders.js";
import type * as fleetSize from "../membership/fleet-size.js";
import type * as membership from "../membership/types.js";
import type * as orders from "../orders/types.js";
import type * as network from "../protocol/network.js";
import type * as placementService from "../placement/placement-service.js";
import type * as engineReportPoller from "../placement/engine-report-poller.js";
import type * as stageReconciler from "../placement/stage-reconciler.js";
import type * as registrySync from "../registry/registry-sync.js";
import type * as routingState from "../routing/routing-state.js";
import type * as retryBudgets from "../request/retry-budgets.js";
import type * as runHolds from "../request/run-holds.js";
import type * as crashRecordSync from "../request/crash-record-sync.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerLimits from "../runners/runner-limits.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as streamVersions from "../streams/stream-versions.js";
import type * as crashDetector from "../serving/crash-detector.js";
import type * as modelServing from "../serving/model-serving.js";
import type * as plainServing from "../serving/plain-serving.js";
import type * as callerTypes from "../caller/types.js";
import type * as settings from "../settings/node-settings.js";
import type * as telemetry from "../telemetry/types.js";
import type * as upstream from "../upstream/types.js";
import type * as bufferBudget from "./buffer-budget.js";
import type * as clock from "./clock.js";
import type * as random from "./random.js";

/** Maps the name of each service to its type. */
export interface ServiceTypes {
  clock: clock.Clock;
  random: random.RandomSource;
  settings: settings.NodeSettings;
  log: telemetry.EventLog;
  metrics: telemetry.Metrics;
  tracer: telemetry.Tracer;
  buffers: bufferBudget.BufferBudget;
  transport: network.Transport;
  network: network.PeerNetwork;
  membership: membership.Membership;
  fleetSize: fleetSize.FleetSize;
  dutyHolders: dutyHolders.DutyHolders;
  platform: configuration.PlatformClient;
  configuration: configuration.Configuration;
  sessions: callerTypes.Sessions;
  plainCalls: callerTypes.PlainCalls;
  modelCalls: callerTypes.ModelCalls;
  crashes: callerTypes.CrashRecords;
  runHolds: runHolds.RunHolds;
  crashRecordSync: crashRecordSync.CrashRecordSync;
  capacity: capacity.Capacity;
  engines: upstream.EngineClient;
  backends: upstream.ServiceClient;
  orders: orders.Orders;
  adapter: gateway.PlatformAdapter;
  liveSettings: liveSettings.LiveSettings;
  routing: routingState.RoutingState;
  runners: runnerTable.RunnerTable;
  registrySync: registrySync.RegistrySync;
  runnerCalls: runnerCalls.RunnerCalls;
  runnerLimits: runnerLimits.RunnerLimits;
  retryBudgets: retryBudgets.RetryBudgets;
  placement: placementService.PlacementService;
  engineReportPoller: engineReportPoller.EngineReportPoller;
  stageReconciler: stageReconciler.StageReconciler;
  streamVersions: streamVersions.StreamVersions;
  crashDetector: crashDetector.CrashDetector;
  plainServing: plainServing.PlainServing;
  modelServing: modelServing.ModelServing;
}

/** Name of a service in the kernel. */
export type ServiceName = keyof ServiceTypes;
