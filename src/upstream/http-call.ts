/** One HTTP call to an upstream that tells honestly how far it got when it fails. */
import type * as http from "node:http";
import type * as net from "node:net";
import * as wreck from "@hapi/wreck";
import * as otel from "@opentelemetry/api";
import * as verror from "verror";
import type * as clocks from "../kernel/clock.js";
import * as types from "./types.js";

/** A connection to a VM in the same region opens within a few milliseconds. */
const CONNECT_LIMIT_MS = 1_000;

/** What to send and how long to wait. */
export interface HttpCall {
  readonly upstream: types.Upstream;
  readonly method: string;
  /** Path and query, beginning with a slash. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** A pool of kept connections; `false` opens a connection for this call alone. */
  readonly agent: http.Agent | false;
  /** Longest wait for the response's headers. */
  readonly headersTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Longest wait for the connection. */
  readonly connectTimeoutMs?: number;
}

type RequestOptions = NonNullable<Parameters<typeof wreck.default.request>[2]>;

interface ExactOptions extends RequestOptions {
  readonly exactPath: string;
}

const CLIENT = createClient();

/** Creates a client that sends paths as they are; the library alone would normalise them as a URL's. */
function createClient() {
  const client = wreck.default.defaults({ events: true });
  // The library's types call the request's options a string.
  const onRequest = (uri: unknown, options: unknown): void => {
    (uri as { path: string }).path = (options as ExactOptions).exactPath;
  };
  client.events?.on("preRequest", onRequest as never);
  return client;
}

/** Progress of the call's connection. */
interface Connection {
  connected: boolean;
}

/**
 * Sends a request and returns the response as soon as its headers are there. The caller must read
 * or destroy it. Aborting the signal closes the connection, also while the body is read.
 *
 * @throws UpstreamError `notConnected` only when no TCP connection was made, else `broken`.
 * @example const response = await sendCall(clock, call);
 */
export async function sendCall(clock: clocks.Clock, call: HttpCall): Promise<http.IncomingMessage> {
  if (call.signal.aborted) throw createCallError(call, { connected: false }, call.signal.reason);
  const { host, port } = call.upstream;
  const options: ExactOptions = {
    agent: call.agent,
    headers: createHeaders(call),
    payload: call.body,
    exactPath: call.path,
  };
  const sending = CLIENT.request(call.method, `http://${host}:${port}/`, options);
  const connection = watchConnection(clock, sending.req, call.connectTimeoutMs ?? CONNECT_LIMIT_MS);
  const release = closeOnAbort(sending.req, call.signal);
  const cancelLimit = clock.schedule(call.headersTimeoutMs, () => {
    sending.req.destroy(new Error(`no response headers within ${call.headersTimeoutMs} ms`));
  });
  try {
    const response = await sending;
    response.once("close", release);
    return response;
  } catch (error) {
    release();
    throw createCallError(call, connection, error);
  } finally {
    cancelLimit();
  }
}

/** Adds the active span's `traceparent` in place of a received one, whatever its case. */
function createHeaders(call: HttpCall): Record<string, string> {
  const traced: Record<string, string> = {};
  otel.propagation.inject(otel.context.active(), traced);
  const kept = Object.entries(call.headers ?? {}).filter(
    ([name]) => !(name.toLowerCase() in traced),
  );
  return { ...Object.fromEntries(kept), ...traced };
}

function watchConnection(
  clock: clocks.Clock,
  request: http.ClientRequest,
  limitMs: number,
): Connection {
  const connection: Connection = { connected: false };
  const cancelLimit = clock.schedule(limitMs, () => {
    request.destroy(new Error(`no connection within ${limitMs} ms`));
  });
  const onConnect = (): void => {
    cancelLimit();
    connection.connected = true;
  };
  request.once("close", cancelLimit);
  request.once("socket", (socket: net.Socket) => {
    if (socket.connecting) socket.once("connect", onConnect);
    else onConnect();
  });
  return connection;
}

function closeOnAbort(request: http.ClientRequest, signal: AbortSignal): () => void {
  const onAbort = (): void => {
    // The HTTP library cannot wrap a DOMException, which a timeout's reason is.
    request.destroy(new Error("call was aborted", { cause: signal.reason }));
  };
  signal.addEventListener("abort", onAbort, { once: true });
  return () => {
    signal.removeEventListener("abort", onAbort);
  };
}

function createCallError(
  call: HttpCall,
  connection: Connection,
  reason: unknown,
): types.UpstreamError {
  const failure = connection.connected
    ? types.UPSTREAM_FAILURE.broken
    : types.UPSTREAM_FAILURE.notConnected;
  return createUpstreamError(failure, call, reason);
}

/** Wraps what went wrong in an error that names the upstream. */
export function createUpstreamError(
  failure: types.UpstreamFailure,
  call: Pick<HttpCall, "method" | "path" | "upstream">,
  reason: unknown,
): types.UpstreamError {
  const text = reason instanceof Error ? reason.message : String(reason);
  const cause = new verror.default.VError(
    { info: { upstream: call.upstream.name, path: call.path }, ...formatCause(reason) },
    "%s %s",
    call.method,
    call.path,
  );
  const message = `${call.upstream.name}: ${text}`;
  return new types.UpstreamError(failure, message, undefined, { cause });
}

function formatCause(reason: unknown): { cause?: Error } {
  return reason instanceof Error ? { cause: reason } : {};
}
