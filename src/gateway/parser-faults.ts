/** Answers callers whose bytes the HTTP parser refuses, or whose request head does not arrive in time. */
import * as http from "node:http";
import * as net from "node:net";
import type * as clocks from "../kernel/clock.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as callerConnections from "./caller-connections.js";
import type * as types from "./types.js";

const HEAD_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";
const RESET = "ECONNRESET";
/** Time for the rest of a head that was already on its way when its time limit passed. */
const LATE_BYTES_MS = 500;

const { RESULT_CODES, RAN } = resultCodes;

/** Result codes by the error codes of the HTTP parser; other errors mean a malformed request. */
const CODES: ReadonlyMap<string, resultCodes.ResultCode> = new Map<string, resultCodes.ResultCode>([
  [HEAD_TIMEOUT, RESULT_CODES.headTimedOut],
  ["HPE_HEADER_OVERFLOW", RESULT_CODES.headTooLarge],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", RESULT_CODES.bodyTooLarge],
]);

/** Dependencies of `ParserFaults`. */
export interface ParserFaultsOptions {
  readonly listener: http.Server;
  readonly connections: callerConnections.CallerConnections;
  readonly codec: Pick<types.CallerCodec, "formatError">;
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  /** Refuses a request whose body can't be read. */
  readonly refuse: (response: http.ServerResponse, failure: resultCodes.RequestError) => void;
}

/** Handles what the HTTP parser of a listener can't read. */
export class ParserFaults {
  readonly #options: ParserFaultsOptions;
  /** Connections that are refused after the response in progress. */
  readonly #refused = new WeakSet<net.Socket>();

  constructor(options: ParserFaultsOptions) {
    this.#options = options;
    options.listener.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof net.Socket) this.#handle(error.code ?? error.message, socket);
      else socket.destroy();
    });
    options.listener.on("connect", ({ socket }: http.IncomingMessage) => {
      this.#refuseAfter(options.connections.findLatest(socket)?.response, "CONNECT", socket);
    });
  }

  #handle(cause: string, socket: net.Socket): void {
    if (cause === RESET || !socket.writable) socket.destroy();
    else if (cause === HEAD_TIMEOUT) this.#handleTimeout(socket);
    else this.#handleFault(cause, socket);
  }

  /** Refuses what was faulty; proper requests before it on the connection are still answered. */
  #handleFault(cause: string, socket: net.Socket): void {
    const latest = this.#options.connections.findLatest(socket);
    if (latest?.request.complete === false) {
      latest.response.shouldKeepAlive = false;
      this.#options.refuse(latest.response, createFailure(cause));
    } else this.#refuseAfter(latest?.response, cause, socket);
  }

  #handleTimeout(socket: net.Socket): void {
    const { connections, clock, listener } = this.#options;
    const { bytesRead } = socket;
    const requests = connections.countRequests(socket);
    const hasNewRequest = (): boolean => connections.countRequests(socket) !== requests;
    const refuse = (): void => {
      if (hasNewRequest()) return;
      const latest = connections.findLatest(socket)?.response;
      this.#refuseAfter(latest, HEAD_TIMEOUT, socket);
    };
    if (connections.isUnused(socket)) {
      // The caller has begun no request, so the connection is idle.
      const leftMs = Math.max(0, listener.keepAliveTimeout - listener.headersTimeout);
      clock.schedule(leftMs, () => {
        if (connections.isUnused(socket)) socket.destroy();
      });
      return;
    }
    // After a pause of the process, its timers may run before it reads what arrived in time.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) refuse();
      else clock.schedule(LATE_BYTES_MS, refuse);
    });
  }

  /** Refuses the connection once the response before has been sent to its end, unless another request has arrived by then. */
  #refuseAfter(response: http.ServerResponse | undefined, cause: string, socket: net.Socket): void {
    if (response === undefined) {
      this.#refuseConnection(socket, cause);
      return;
    }
    // The parser reports each further piece of what it can't read.
    if (this.#refused.has(socket)) return;
    this.#refused.add(socket);
    const { connections } = this.#options;
    const requests = connections.countRequests(socket);
    response.once("close", () => {
      this.#refused.delete(socket);
      if (connections.countRequests(socket) === requests) this.#refuseConnection(socket, cause);
    });
  }

  #refuseConnection(socket: net.Socket, cause: string): void {
    if (!socket.writable) return;
    const { codec, connections, log } = this.#options;
    const failure = createFailure(cause);
    log.write(logEvents.LOG_EVENTS.requestUnreadable, {
      cause,
      code: failure.code.number,
      status: failure.code.status,
      from: socket.remoteAddress,
      bytes: socket.bytesRead,
      requestsBefore: connections.countRequests(socket),
    });
    socket.end(formatAnswer(codec.formatError(undefined, failure)));
  }
}

function createFailure(cause: string): resultCodes.RequestError {
  const code = CODES.get(cause) ?? RESULT_CODES.malformedRequest;
  return new resultCodes.RequestError(code, RAN.no, { detail: `${code.message}: ${cause}` });
}

/** Formats a whole response that ends its connection. */
function formatAnswer({ status, headers, body }: types.ErrorResponse): string {
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ""}`,
    ...headers.map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
    "Connection: close",
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
