/** HTTP servers for readiness checks, address lookup and metrics. */
import type * as hapi from "@hapi/hapi";
import type * as membership from "../membership/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as httpServer from "./http-server.js";
import type * as liveSettings from "./live-settings.js";
import * as addressLookup from "./address-lookup.js";
import type * as types from "./types.js";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Dependencies and settings of the servers. */
export interface AuxiliaryServersOptions {
  readonly settings: liveSettings.LiveSettings;
  readonly codec: types.CallerCodec;
  readonly membership: membership.Membership;
  readonly metrics: telemetry.Metrics;
  readonly log: telemetry.EventLog;
  /** Port of the metrics endpoint; `undefined` disables it. */
  readonly metricsPort: number | undefined;
  /** Whether the VM accepts requests. */
  readonly isReady: () => boolean;
  /** Whether a VM is partitioned from all services. */
  readonly isCutOff: (vm: string) => boolean;
}

/** Runs the servers for readiness checks, address lookup and metrics. */
export class AuxiliaryServers implements AsyncDisposable {
  readonly #servers: readonly httpServer.HttpServer[];

  constructor(options: AuxiliaryServersOptions) {
    const { metricsPort } = options;
    const settings = options.settings.current;
    const ready = httpServer.createHttpServer(settings.readyAddress);
    addReadyRoute(ready.server, options);
    const directory = httpServer.createHttpServer(settings.lookupAddress);
    addLookupRoute(directory.server, options);
    const servers = [ready, directory];
    if (metricsPort !== undefined) {
      const metrics = httpServer.createHttpServer({ host: settings.host, port: metricsPort });
      addMetricsRoute(metrics.server, options);
      servers.push(metrics);
    }
    for (const server of servers) addRefusalLog(server, options.log);
    this.#servers = servers;
  }

  async start(): Promise<void> {
    await Promise.all(this.#servers.map((server) => server.start()));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#servers.map((server) => server[Symbol.asyncDispose]()));
  }
}

const FIRST_ERROR_STATUS = 400;
/** Maximum length of a path in a log line. */
const MAX_LOGGED_LENGTH = 200;

/** Logs what the framework and the HTTP parser refuse by themselves. */
function addRefusalLog({ server, listener }: httpServer.HttpServer, log: telemetry.EventLog): void {
  listener.on("clientError", ({ code: cause }: NodeJS.ErrnoException, socket) => {
    if (!socket.readable) return;
    const from = "remoteAddress" in socket ? socket.remoteAddress : undefined;
    log.write(logEvents.LOG_EVENTS.httpRefusal, { cause, from });
  });
  server.events.on("response", ({ response, path, method, info }) => {
    const status = "statusCode" in response ? response.statusCode : undefined;
    if (status === undefined || status < FIRST_ERROR_STATUS || status === HTTP_UNAVAILABLE) return;
    const fields = { status, method, path: path.slice(0, MAX_LOGGED_LENGTH) };
    log.write(logEvents.LOG_EVENTS.httpRefusal, { ...fields, from: info.remoteAddress });
  });
}

function addReadyRoute(server: hapi.Server, options: AuxiliaryServersOptions): void {
  server.route({
    method: "GET",
    path: options.codec.readyPath,
    handler: (_request, toolkit) =>
      toolkit.response("").code(options.isReady() ? HTTP_OK : HTTP_UNAVAILABLE),
  });
}

function addLookupRoute(server: hapi.Server, options: AuxiliaryServersOptions): void {
  const { codec, membership: fleet, settings, isCutOff } = options;
  server.route({
    method: "GET",
    path: codec.lookupPath,
    handler: (request, toolkit) => {
      const { zone } = codec.parseLookup(request.raw.req.url ?? "/");
      const rules = { isSelfReady: options.isReady(), isCutOff };
      const addresses = addressLookup.listAddresses(fleet, rules, zone);
      if (addresses.length === 0) return toolkit.response("").code(HTTP_UNAVAILABLE);
      const ttlMs = Math.min(addressLookup.ADDRESS_TTL_MS, settings.current.addressTtlLimitMs);
      const body = codec.formatLookup(addresses, ttlMs);
      return toolkit.response(body).type("application/json");
    },
  });
}

function addMetricsRoute(server: hapi.Server, options: AuxiliaryServersOptions): void {
  server.route({
    method: "GET",
    path: "/metrics",
    handler: async (_request, toolkit) =>
      toolkit.response(await options.metrics.format()).type("text/plain"),
  });
}
