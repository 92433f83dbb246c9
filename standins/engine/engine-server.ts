/** HTTP server of the emulated engine. */
import type * as http from "node:http";
import * as wreck from "@hapi/wreck";
import type * as upstream from "../../src/upstream/types.js";
import * as httpServer from "../http-server.js";
import type * as engineModel from "./engine-model.js";
import type * as engineOptions from "./engine-options.js";
import * as engineRefusal from "./engine-refusal.js";

const HEARTBEAT_INTERVAL_MS = 500;
const KV_FETCH_TIMEOUT_MS = 1_000;
const KV_PREFIX = "GET /kv/";

type EngineHandler = (
  engine: engineModel.EngineModel,
  exchange: httpServer.Exchange,
) => Promise<void> | void;

const HANDLERS: Readonly<Record<string, EngineHandler>> = {
  "POST /prefill": handlePrefill,
  "POST /decode": handleDecode,
  "POST /resume": handleResume,
  "POST /cancel": handleCancel,
  "GET /load": handleLoad,
  "GET /events": handleEvents,
  "POST /orders": handleOrder,
  "GET /judge": handleReport,
  "POST /control": handleControl,
};

/**
 * Starts the HTTP server of an engine. While the engine is down, each connection is reset when a
 * request arrives on it.
 *
 * @example const server = await startEngineServer(engine, { host: "127.0.0.1", port: 0 });
 */
export function startEngineServer(
  engine: engineModel.EngineModel,
  address: httpServer.ListenAddress,
): Promise<httpServer.RunningServer> {
  return httpServer.startServer(address, (route) => {
    const handler = route.startsWith(KV_PREFIX) ? handleKv : HANDLERS[route];
    if (handler === undefined) return undefined;
    return (exchange) => {
      if (!engine.alive) exchange.request.socket.resetAndDestroy();
      else return runHandler(engine, exchange, handler);
    };
  });
}

/**
 * Fetches the description of a KV cache from another engine's server; `undefined` when it is gone
 * or the engine doesn't answer.
 */
export async function fetchKvOverHttp(
  source: upstream.Upstream,
  handle: string,
): Promise<engineOptions.KvExport | undefined> {
  const url = `http://${source.host}:${source.port}/kv/${encodeURIComponent(handle)}`;
  try {
    const answer = await wreck.default.get<engineOptions.KvExport>(url, {
      agent: false,
      timeout: KV_FETCH_TIMEOUT_MS,
      json: true,
    });
    return answer.payload;
  } catch {
    return undefined;
  }
}

async function runHandler(
  engine: engineModel.EngineModel,
  exchange: httpServer.Exchange,
  handler: EngineHandler,
): Promise<void> {
  try {
    await handler(engine, exchange);
  } catch (error) {
    if (error instanceof engineRefusal.EngineRefusal && !exchange.response.headersSent) {
      httpServer.sendJson(exchange.response, error.status, createErrorMessage(error));
    } else {
      exchange.request.socket.resetAndDestroy();
    }
  }
}

function createErrorMessage(error: engineRefusal.EngineRefusal): object {
  return { error: { status: error.status, message: error.message, ran: false } };
}

/**
 * Sends whitespace as heartbeats until the result is known; JSON allows it before a value. Only a
 * refusal that is known at once gets an HTTP status of its own; a later one is sent in the body.
 */
async function handlePrefill(
  engine: engineModel.EngineModel,
  exchange: httpServer.Exchange,
): Promise<void> {
  const pendingResult = engine.prefill(httpServer.parseJson(exchange) as upstream.PrefillCommand);
  const earlyOutcome = await Promise.race([
    pendingResult.catch((error: unknown) => error),
    waitForImmediate(),
  ]);
  if (earlyOutcome instanceof engineRefusal.EngineRefusal) throw earlyOutcome;
  exchange.response.writeHead(200, { "content-type": "application/json" });
  exchange.response.flushHeaders();
  using heartbeat = createHeartbeat(exchange.response, " ");
  heartbeat.start();
  try {
    exchange.response.end(JSON.stringify(await pendingResult));
  } catch (error) {
    if (!(error instanceof engineRefusal.EngineRefusal)) throw error;
    exchange.response.end(JSON.stringify(createErrorMessage(error)));
  }
}

function waitForImmediate(): Promise<undefined> {
  return new Promise((resolve) => {
    setImmediate(() => {
      resolve(undefined);
    });
  });
}

async function handleDecode(
  engine: engineModel.EngineModel,
  exchange: httpServer.Exchange,
): Promise<void> {
  const command = httpServer.parseJson(exchange) as upstream.DecodeCommand;
  await writeEvents(exchange.response, engine.decode(command));
}

async function handleResume(
  engine: engineModel.EngineModel,
  exchange: httpServer.Exchange,
): Promise<void> {
  const resumption = httpServer.parseJson(exchange) as upstream.AttemptId & { offset: number };
  await writeEvents(exchange.response, engine.resume(resumption, resumption.offset));
}

/** Streams events with heartbeats; a refusal after the headers is sent as an `error` event. */
async function writeEvents(
  response: http.ServerResponse,
  events: AsyncIterable<upstream.DecodeEvent>,
): Promise<void> {
  response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
  response.flushHeaders();
  using heartbeat = createHeartbeat(response, ": heartbeat\n\n");
  heartbeat.start();
  try {
    for await (const event of events) {
      if (response.destroyed) return;
      response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    response.end();
  } catch (error) {
    if (!(error instanceof engineRefusal.EngineRefusal)) throw error;
    response.end(`event: error\ndata: ${JSON.stringify(createErrorMessage(error))}\n\n`);
  }
}

interface Heartbeat extends Disposable {
  start(): void;
}

function createHeartbeat(response: http.ServerResponse, text: string): Heartbeat {
  let timer: NodeJS.Timeout | undefined;
  return {
    start: () => {
      timer = setInterval(() => response.write(text), HEARTBEAT_INTERVAL_MS);
    },
    [Symbol.dispose]: () => {
      clearInterval(timer);
    },
  };
}

function handleCancel(engine: engineModel.EngineModel, exchange: httpServer.Exchange): void {
  engine.cancel(httpServer.parseJson(exchange) as upstream.AttemptId);
  httpServer.sendJson(exchange.response, 200, {});
}

function handleLoad(engine: engineModel.EngineModel, { response }: httpServer.Exchange): void {
  httpServer.sendJson(response, 200, engine.getLoad());
}

function handleEvents(engine: engineModel.EngineModel, exchange: httpServer.Exchange): void {
  const after = Number(exchange.url.searchParams.get("after") ?? "0");
  httpServer.sendJson(exchange.response, 200, { events: engine.listCacheEvents(after) });
}

function handleOrder(engine: engineModel.EngineModel, exchange: httpServer.Exchange): void {
  engine.applyOrder(httpServer.parseJson(exchange) as upstream.RunnerOrder);
  httpServer.sendJson(exchange.response, 200, {});
}

function handleReport(engine: engineModel.EngineModel, { response }: httpServer.Exchange): void {
  httpServer.sendJson(response, 200, engine.getReport());
}

function handleKv(engine: engineModel.EngineModel, exchange: httpServer.Exchange): void {
  const handle = decodeURIComponent(exchange.url.pathname.slice("/kv/".length));
  const kv = engine.popKv(handle);
  if (kv === undefined) httpServer.sendJson(exchange.response, 404, { error: "gone" });
  else httpServer.sendJson(exchange.response, 200, kv);
}

/** Body of `POST /control`: faults that a test injects. */
interface Control {
  readonly crash?: boolean;
  readonly stallTransfers?: boolean;
  readonly slowDown?: number;
}

function handleControl(engine: engineModel.EngineModel, exchange: httpServer.Exchange): void {
  const control = httpServer.parseJson(exchange) as Control;
  if (control.stallTransfers !== undefined) engine.setTransfersStalled(control.stallTransfers);
  if (control.slowDown !== undefined) engine.setSlowdownFactor(control.slowDown);
  httpServer.sendJson(exchange.response, 200, {});
  if (control.crash === true) engine.crash();
}
