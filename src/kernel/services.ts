/** The names of the services in the kernel and their types. Every part finds the others through it. */
import type * as capacity from "../capacity/types.js";
import type * as configuration from "../configuration/types.js";
import type * as membership from "../membership/types.js";
import type * as orders from "../orders/types.js";
import type * as network from "../protocol/network.js";
import type * as sessions from "../caller/types.js";
import type * as settings from "../settings/node-settings.js";
import type * as telemetry from "../telemetry/types.js";
import type * as upstream from "../upstream/types.js";
import type * as clock from "./clock.js";
import type * as random from "./random.js";

/** The type of each service by its name. */
export interface ServiceTypes {
  clock: clock.Clock;
  random: random.RandomSource;
  settings: settings.NodeSettings;
  log: telemetry.EventLog;
  metrics: telemetry.Metrics;
  tracer: telemetry.Tracer;
  transport: network.Transport;
  network: network.PeerNetwork;
  membership: membership.Membership;
  platform: configuration.PlatformClient;
  configuration: configuration.Configuration;
  sessions: sessions.Sessions;
  plainCalls: sessions.PlainCalls;
  modelCalls: sessions.ModelCalls;
  crashes: sessions.CrashRecords;
  capacity: capacity.Capacity;
  engines: upstream.EngineClient;
  backends: upstream.ServiceClient;
  orders: orders.Orders;
}

/** The name of a service in the kernel. */
export type ServiceName = keyof ServiceTypes;
