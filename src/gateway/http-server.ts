/** Creates the HTTP servers of the gateway. */
import * as events from "node:events";
import * as http from "node:http";
import * as hapi from "@hapi/hapi";
import type * as network from "../protocol/network.js";

/** Maximum size of a request head in the HTTP parser, unless the configuration allows more. */
const MAX_HEAD_BYTES = 65_536;
/** Size of a request line, and of white space around headers, that the parser takes besides the configured limit. */
const HEAD_EXTRA_BYTES = 32_768;
/** Greatest limit that the parser takes. */
const MAX_INT_32 = 2 ** 31 - 1;
/** How often connections are checked for header timeouts. */
const CONNECTION_CHECK_PERIOD_MS = 500;
/** Listen backlog: all callers of a zone may reconnect at once. */
const LISTEN_BACKLOG = 1_024;

/** A hapi server and the HTTP server that it uses. */
export interface HttpServer extends AsyncDisposable {
  readonly server: hapi.Server;
  readonly listener: http.Server;
  start(): Promise<void>;
}

/** Creates a listener without request timeouts; it is started by `startListener`. */
export function createListener(): http.Server {
  const listener = http.createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS,
    requestTimeout: 0,
    noDelay: true,
    // The parser would refuse the request without a trace; `request-head.ts` checks it.
    requireHostHeader: false,
  });
  // The size is limited; headers above a number would be dropped without a trace.
  listener.maxHeadersCount = 0;
  return listener;
}

/** Lets the parser take heads with so many bytes of headers, on connections that are opened from now on. */
export function setHeadLimit(listener: http.Server, headerBytes: number): void {
  const maxHeaderSize = Math.max(MAX_HEAD_BYTES, headerBytes + HEAD_EXTRA_BYTES);
  if (Number.isSafeInteger(maxHeaderSize) && maxHeaderSize <= MAX_INT_32)
    Object.assign(listener, { maxHeaderSize });
}

/** Starts to accept connections at an address. */
export async function startListener(
  listener: http.Server,
  { host, port }: network.PeerAddress,
): Promise<void> {
  listener.listen({ host, port, backlog: LISTEN_BACKLOG });
  await events.default.once(listener, "listening");
}

/** Stops accepting connections, and closes those that are open. */
export function closeListener(listener: http.Server): void {
  listener.close();
  listener.closeAllConnections();
}

/** Creates a server that leaves bodies, compression and request timeouts to its handlers. */
export function createHttpServer(address: network.PeerAddress): HttpServer {
  const listener = createListener();
  // hapi cannot set the backlog, so the listener is started separately.
  const server = hapi.server({
    ...{ listener, autoListen: false, compression: false, debug: false },
    // Nobody reads cookies, so none is wrong.
    routes: { state: { parse: false, failAction: "ignore" } },
  });
  return {
    server,
    listener,
    start: async () => {
      await server.start();
      await startListener(listener, address);
    },
    [Symbol.asyncDispose]: async () => {
      closeListener(listener);
      await server.stop({ timeout: 0 });
    },
  };
}
