/**
 * Keep-alive connections to runners, with one request at a time. An idle connection that receives
 * data is closed instead of being reused.
 */
import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";
import type * as clocks from "../kernel/clock.js";

/** Maximum idle time before a connection is closed; some runners close theirs after a few seconds. */
const MAX_IDLE_MS = 3_000;
/** How long before the idle timeout that the runner states a connection is closed. */
const IDLE_MARGIN_MS = 500;
/**
 * Time for which each connection of a runner carries one request only, after the runner sent data that belongs to no
 * request: the answers to further requests would arrive behind such data.
 */
const STRAY_DATA_BACKOFF_MS = 30_000;
/** Idle time before the operating system sends the first TCP keep-alive probe. */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;
const MS_PER_S = 1_000;
const KEEP_ALIVE_TIMEOUT_PATTERN = /\btimeout=(\d+)/;

/** A socket with the last client request that Node.js handled on it. */
type RunnerSocket = net.Socket & { readonly _httpMessage?: HttpMessage };

function isTcpSocket(socket: unknown): socket is RunnerSocket {
  return socket instanceof net.Socket;
}

/** The response of a client request, in a property that the types of Node.js do not declare. */
interface HttpMessage {
  readonly res?: { readonly headers: http.IncomingHttpHeaders };
}

/** Computes the idle timeout in ms from a runner's `Keep-Alive` header; 0 prevents reuse. */
export function computeIdleTimeout(keepAlive: string | undefined): number {
  const stated = KEEP_ALIVE_TIMEOUT_PATTERN.exec(keepAlive ?? "")?.[1];
  if (stated === undefined) return MAX_IDLE_MS;
  return Math.max(0, Math.min(MAX_IDLE_MS, Number(stated) * MS_PER_S - IDLE_MARGIN_MS));
}

/** HTTP agent that closes idle connections on unexpected data and before the runner's own timeout. */
export class RunnerAgent extends http.Agent {
  readonly #clock: clocks.Clock;
  readonly #onIdleData = (): void => {
    this.refuseReuse();
  };
  #reusesAgainAt = 0;

  constructor(clock: clocks.Clock, maxSockets: number) {
    super({ keepAlive: true, maxSockets, scheduling: "lifo" });
    this.#clock = clock;
  }

  /** Closes idle connections and keeps none for some time, because the runner sent data that belongs to no request. */
  refuseReuse(): void {
    this.#reusesAgainAt = this.#clock.now() + STRAY_DATA_BACKOFF_MS;
    this.closeIdleConnections();
  }

  closeIdleConnections(): void {
    for (const socket of Object.values(this.freeSockets).flat()) socket?.destroy();
  }

  override keepSocketAlive(socket: stream.Duplex): boolean {
    // The agent creates TCP connections only, but its types use the base class `Duplex`.
    const connection: unknown = socket;
    if (!isTcpSocket(connection) || this.#clock.now() < this.#reusesAgainAt) return false;
    const header = connection._httpMessage?.res?.headers["keep-alive"];
    const idleMs = computeIdleTimeout(Array.isArray(header) ? header[0] : header);
    if (idleMs <= 0) return false;
    connection.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
    connection.setTimeout(idleMs);
    connection.on("data", this.#onIdleData);
    return true;
  }

  override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    const connection: unknown = socket;
    if (isTcpSocket(connection)) {
      connection.off("data", this.#onIdleData);
      connection.setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}
