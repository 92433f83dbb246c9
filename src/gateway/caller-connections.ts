/** The connections of callers, the requests that are in progress on each, and which answer ends a connection. */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as pacedReader from "./paced-reader.js";

/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the other descriptors that callers may use; connections to runners and other VMs use the rest. */
const CALLER_SHARE = 0.6;

/** Returns the number of connections of callers that a process with so many descriptors accepts. */
export function computeMaxConnections(maxDescriptors: number | undefined): number {
  if (maxDescriptors === undefined) return Infinity;
  return Math.max(1, Math.floor(CALLER_SHARE * (maxDescriptors - FILE_DESCRIPTORS)));
}

/** A request whose response has not been sent to its end. */
export interface OpenRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** State of one connection. */
interface ConnectionState {
  /** Responses that have not been sent to their end, in the order of their requests, each with its close handler. */
  readonly open: Map<http.ServerResponse, () => void>;
  /** Request that was added last, until its response has been sent to its end. */
  latest: OpenRequest | undefined;
  /** Number of requests that were added. */
  requestCount: number;
  /** Whether the head of a response told the caller that the connection ends with it. */
  isEnding: boolean;
  /** Bytes that were received when the last response was sent to its end. */
  bytesRead: number;
}

/** Limit on the connections, and what is told of them. */
export interface CallerConnectionsOptions {
  readonly maxConnections?: number;
  /** Called when a connection is closed to make room for a new one. */
  readonly onEvicted?: () => void;
  /** Called when a response of a connection has been sent to its end, or its connection was closed. */
  readonly onAnswered?: (socket: net.Socket) => void;
}

/** Tracks the connections of one HTTP server. */
export class CallerConnections {
  /** By the time of the last answer, or of the start of the connection; the oldest first. */
  readonly #states = new Map<net.Socket, ConnectionState>();
  readonly #options: CallerConnectionsOptions;
  #isDraining = false;

  constructor(listener: http.Server, options: CallerConnectionsOptions = {}) {
    this.#options = options;
    const { maxConnections = Infinity } = options;
    listener.on("connection", (socket: net.Socket) => {
      const state: ConnectionState = {
        ...{ open: new Map(), latest: undefined, requestCount: 0 },
        ...{ isEnding: false, bytesRead: 0 },
      };
      this.#states.set(socket, state);
      // Node.js tells only the response that is being sent that the connection was closed.
      socket.once("close", () => {
        this.#states.delete(socket);
        for (const response of [...state.open.keys()]) closeResponse(state, response);
      });
      if (this.#states.size > maxConnections) this.#evict(socket);
    });
  }

  /** Number of requests whose response has not been sent to its end. */
  get openCount(): number {
    let count = 0;
    for (const { open } of this.#states.values()) count += open.size;
    return count;
  }

  /** From now on, the answer to the last request of each connection ends the connection. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Adds a request that was received. Returns the function to call before the head of its response is sent: it decides whether
   * the connection ends with the response, which it does not while requests behind it are to be answered.
   *
   * @param onClose - called once when the response has been sent to its end or its connection is closed.
   * @returns `undefined` if the request crossed an answer that ends its connection: it cannot be answered, so it must not
   * be passed on.
   */
  add(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    onClose: () => void,
  ): (() => void) | undefined {
    // Node.js sets `request.socket` to null when a body is not read to its end.
    const { socket } = request;
    const state = this.#states.get(socket);
    if (state === undefined || state.isEnding) return undefined;
    state.open.set(response, onClose);
    state.latest = { request, response };
    state.requestCount += 1;
    response.once("close", () => {
      closeResponse(state, response);
      if (state.latest?.response === response) state.latest = undefined;
      state.bytesRead = socket.bytesRead;
      if (this.#states.delete(socket)) this.#states.set(socket, state);
      this.#options.onAnswered?.(socket);
    });
    return () => {
      const isLast = [...state.open.keys()].at(-1) === response;
      if (this.#isDraining && isLast) response.shouldKeepAlive = false;
      state.isEnding ||= !response.shouldKeepAlive;
    };
  }

  /** Number of requests that a connection has carried. */
  countRequests(socket: net.Socket): number {
    return this.#states.get(socket)?.requestCount ?? 0;
  }

  /** Whether a connection is open on which nothing was ever received. */
  isUnused(socket: net.Socket): boolean {
    return this.#states.has(socket) && socket.bytesRead === 0;
  }

  /** Returns how far a connection has come, for the pace at which it is read. */
  findProgress(socket: net.Socket): pacedReader.ConnectionProgress {
    const state = this.#states.get(socket);
    return {
      openCount: state?.open.size ?? 0,
      requestCount: state?.requestCount ?? 0,
      isInBody: state?.latest?.request.complete === false,
    };
  }

  /** Returns the latest request of a connection, if its response has not been sent to its end. */
  findLatest(socket: net.Socket): OpenRequest | undefined {
    return this.#states.get(socket)?.latest;
  }

  /** Closes the connections that carry no request, unless a part of one was received. */
  closeIdle(): void {
    for (const [socket, { open, bytesRead }] of this.#states)
      if (open.size === 0 && socket.bytesRead === bytesRead) socket.destroy();
  }

  /** Closes the connection that made no progress for longest, unless all others carry requests that are being served. */
  #evict(latest: net.Socket): void {
    let evicted = latest;
    for (const [socket, state] of this.#states) {
      if (socket === latest || isServing(state)) continue;
      evicted = socket;
      break;
    }
    // Its place is free at once, also if the event comes later.
    this.#states.delete(evicted);
    evicted.destroy();
    this.#options.onEvicted?.();
  }
}

/** Whether a whole request of a connection is in progress. */
function isServing({ open, latest }: ConnectionState): boolean {
  return open.size > 1 || latest?.request.complete === true;
}

function closeResponse({ open }: ConnectionState, response: http.ServerResponse): void {
  const onClose = open.get(response);
  open.delete(response);
  onClose?.();
}
