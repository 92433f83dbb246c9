/** HTTP servers of the gateway. */
import * as events from "node:events";
import * as http from "node:http";
import * as hapi from "@hapi/hapi";
import type * as network from "../protocol/network.js";

/** Larger heads are cut by the parser; the configuration's own limit is checked as well. */
const MAX_HEAD_BYTES = 65_536;
/** How often connections are checked for heads that take too long. */
const CHECK_PERIOD_MS = 500;
/** Connections that may wait to be accepted: a whole zone's callers reconnect at once. */
const BACKLOG = 1_024;

/** A server with the listener that it uses. */
export interface GatewayServer extends AsyncDisposable {
  readonly server: hapi.Server;
  readonly listener: http.Server;
  start(): Promise<void>;
}

/** Creates a server that leaves bodies, encodings and time limits to its handlers. */
export function createHttpServer(address: network.PeerAddress): GatewayServer {
  const listener = http.createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    connectionsCheckingInterval: CHECK_PERIOD_MS,
    requestTimeout: 0,
    noDelay: true,
  });
  // hapi cannot set the backlog, so the listener is started beside it.
  const server = hapi.server({ listener, autoListen: false, compression: false, debug: false });
  return {
    server,
    listener,
    start: async () => {
      await server.start();
      listener.listen({ host: address.host, port: address.port, backlog: BACKLOG });
      await events.default.once(listener, "listening");
    },
    [Symbol.asyncDispose]: async () => {
      listener.close();
      listener.closeAllConnections();
      await server.stop({ timeout: 0 });
    },
  };
}
