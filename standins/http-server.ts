/** A minimal HTTP server for emulated services: exact paths, JSON requests and responses. */
import * as http from "node:http";
import type * as net from "node:net";

const MAX_BODY_BYTES = 8_000_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** A request with its parsed URL and body, and the response to write. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly url: URL;
  readonly body: Buffer;
}

/** Handles the requests of one route. */
export type Handler = (exchange: Exchange) => Promise<void> | void;

/** A listening server. */
export interface RunningServer extends AsyncDisposable {
  readonly host: string;
  readonly port: number;
}

/** Address to listen on; port 0 selects any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Starts a server. If a handler throws, the response has status 500, or is cut off when its headers
 * were already sent.
 *
 * @param findHandler - returns the handler for a method and path, such as `POST /prefill`; without
 * one the response has status 404.
 */
export async function startServer(
  address: ListenAddress,
  findHandler: (route: string) => Handler | undefined,
): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    void handleRequest(request, response, findHandler);
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    host: address.host,
    port,
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

async function handleRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  findHandler: (route: string) => Handler | undefined,
): Promise<void> {
  try {
    const url = new URL(request.url ?? "/", "http://stand-in");
    const body = await readBody(request);
    const handler = findHandler(`${request.method ?? "GET"} ${url.pathname}`);
    if (handler === undefined) sendJson(response, 404, { error: "no such path" });
    else await handler({ request, response, url, body });
  } catch (error) {
    if (response.headersSent) response.destroy();
    else sendJson(response, 500, { error: String(error) });
  }
}

/** Sends a JSON response. */
export function sendJson(response: http.ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** Parses the request body as JSON. @throws SyntaxError */
export function parseJson(exchange: Exchange): unknown {
  return JSON.parse(exchange.body.toString("utf8"));
}

async function readBody(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes > MAX_BODY_BYTES) throw new Error("body too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
