/** Kept connections to runners: one request at a time on each, none reused after anything odd. */
import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";

/** Longest idle time of a kept connection; some runners close theirs after few seconds. */
const LONGEST_IDLE_MS = 3_000;
/** Time by which a connection is given up before the runner may close it. */
const CLOSE_MARGIN_MS = 500;
const MS_PER_S = 1_000;
const KEEP_ALIVE_TIMEOUT = /\btimeout=(\d+)/;

/** A connection with the message that the HTTP library last had on it. */
type RunnerSocket = net.Socket & { readonly _httpMessage?: ConnectionMessage };

function isTcpSocket(socket: unknown): socket is RunnerSocket {
  return socket instanceof net.Socket;
}

interface ConnectionMessage {
  readonly res?: { readonly headers: http.IncomingHttpHeaders };
}

/** Returns how long a connection may stay idle, by the runner's own word; 0 when it is not to be kept. */
export function computeIdleLimit(keepAlive: string | undefined): number {
  const stated = KEEP_ALIVE_TIMEOUT.exec(keepAlive ?? "")?.[1];
  if (stated === undefined) return LONGEST_IDLE_MS;
  return Math.max(0, Math.min(LONGEST_IDLE_MS, Number(stated) * MS_PER_S - CLOSE_MARGIN_MS));
}

/** Bytes that arrive while no request waits belong to none: the connection is closed. */
function onStrayBytes(this: net.Socket): void {
  this.destroy();
}

/** An agent whose idle connections are closed at the first byte and well before the runner's timeout. */
export class RunnerAgent extends http.Agent {
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, scheduling: "lifo" });
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    // The agent only makes TCP connections; its types name their common base.
    const connection: unknown = socket;
    if (!isTcpSocket(connection)) return false;
    const header = connection._httpMessage?.res?.headers["keep-alive"];
    const idleMs = computeIdleLimit(Array.isArray(header) ? header[0] : header);
    if (idleMs <= 0) return false;
    connection.setKeepAlive(true, MS_PER_S);
    connection.setTimeout(idleMs);
    connection.on("data", onStrayBytes);
    return true;
  }

  override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    const connection: unknown = socket;
    if (isTcpSocket(connection)) {
      connection.off("data", onStrayBytes);
      connection.setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}
