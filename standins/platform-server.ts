/** HTTP server of the emulated platform. Tests change its state through `POST /control`. */
import type * as types from "../src/configuration/types.js";
import * as httpServer from "./http-server.js";
import type * as platformModel from "./platform.js";

const NO_CONTENT = 204;
const UNAVAILABLE = 503;

/** Body of `POST /control`; each field is optional. */
export interface PlatformControl {
  readonly publish?: types.PublishedDocument;
  readonly faults?: Partial<platformModel.PlatformFaults>;
  readonly vms?: readonly types.ListedVm[];
  readonly listLagMs?: number;
}

/**
 * Starts the HTTP server of an emulated platform.
 *
 * @example const server = await startPlatformServer(platform, { host: "127.0.0.1", port: 0 });
 */
export function startPlatformServer(
  platform: platformModel.Platform,
  address: httpServer.ListenAddress,
): Promise<httpServer.RunningServer> {
  const handlers: Readonly<Record<string, httpServer.Handler>> = {
    "GET /v1/configuration": (exchange) => handleConfiguration(platform, exchange),
    "GET /v1/vms": ({ response }) => {
      httpServer.sendJson(response, 200, { vms: platform.listVms() });
    },
    "GET /judge": ({ response }) => {
      httpServer.sendJson(response, 200, platform.getReport());
    },
    "POST /control": (exchange) => {
      applyControl(platform, httpServer.parseJson(exchange) as PlatformControl);
      httpServer.sendJson(exchange.response, 200, {});
    },
  };
  return httpServer.startServer(address, (route) => {
    const handler = handlers[route];
    return handler && ((exchange) => runHandler(exchange, handler));
  });
}

async function runHandler(
  exchange: httpServer.Exchange,
  handler: httpServer.Handler,
): Promise<void> {
  try {
    await handler(exchange);
  } catch (error) {
    httpServer.sendJson(exchange.response, UNAVAILABLE, { error: String(error) });
  }
}

async function handleConfiguration(
  platform: platformModel.Platform,
  { url, response }: httpServer.Exchange,
): Promise<void> {
  const after = url.searchParams.get("after");
  if (after === null) {
    httpServer.sendJson(response, 200, platform.readConfiguration());
    return;
  }
  const waitMs = Number(url.searchParams.get("waitMs") ?? "0");
  const closed = new AbortController();
  response.once("close", () => {
    closed.abort(new Error("watch client closed its connection"));
  });
  const newest = await platform.watchConfiguration(Number(after), waitMs, closed.signal);
  if (newest === undefined) response.writeHead(NO_CONTENT).end();
  else httpServer.sendJson(response, 200, newest);
}

function applyControl(platform: platformModel.Platform, control: PlatformControl): void {
  if (control.listLagMs !== undefined) platform.setListLag(control.listLagMs);
  if (control.faults !== undefined) platform.setFaults(control.faults);
  if (control.vms !== undefined) platform.setVms(control.vms);
  if (control.publish !== undefined) platform.publish(control.publish);
}
