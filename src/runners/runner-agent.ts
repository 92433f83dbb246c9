/** Keep-alive connections to runners: one request at a time, no reuse after a protocol violation. */
import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";

/** Some runners close idle connections after a few seconds. */
const MAX_IDLE_MS = 3_000;
/** How long before the runner's own idle timeout a connection is closed. */
const IDLE_MARGIN_MS = 500;
const MS_PER_S = 1_000;
const KEEP_ALIVE_TIMEOUT = /\btimeout=(\d+)/;

/** A socket with the last message that the HTTP library handled on it. */
type RunnerSocket = net.Socket & { readonly _httpMessage?: ConnectionMessage };

function isTcpSocket(socket: unknown): socket is RunnerSocket {
  return socket instanceof net.Socket;
}

interface ConnectionMessage {
  readonly res?: { readonly headers: http.IncomingHttpHeaders };
}

/** Computes the idle timeout from the `Keep-Alive` header of a runner; 0 prevents reuse. */
export function computeIdleTimeout(keepAlive: string | undefined): number {
  const stated = KEEP_ALIVE_TIMEOUT.exec(keepAlive ?? "")?.[1];
  if (stated === undefined) return MAX_IDLE_MS;
  return Math.max(0, Math.min(MAX_IDLE_MS, Number(stated) * MS_PER_S - IDLE_MARGIN_MS));
}

/** Closes an idle connection that receives data, because the data belongs to no request. */
function closeOnData(this: net.Socket): void {
  this.destroy();
}

/** HTTP agent that closes idle connections on unexpected data and before the runner's own timeout. */
export class RunnerAgent extends http.Agent {
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, scheduling: "lifo" });
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    // The agent creates TCP connections only, but its types use the base class `Duplex`.
    const connection: unknown = socket;
    if (!isTcpSocket(connection)) return false;
    const header = connection._httpMessage?.res?.headers["keep-alive"];
    const idleMs = computeIdleTimeout(Array.isArray(header) ? header[0] : header);
    if (idleMs <= 0) return false;
    connection.setKeepAlive(true, MS_PER_S);
    connection.setTimeout(idleMs);
    connection.on("data", closeOnData);
    return true;
  }

  override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    const connection: unknown = socket;
    if (isTcpSocket(connection)) {
      connection.off("data", closeOnData);
      connection.setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}
