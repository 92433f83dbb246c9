/** HTTP calls to an upstream; a failed call states whether a connection was established. */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as wreck from "@hapi/wreck";
import * as otel from "@opentelemetry/api";
import * as verror from "verror";
import type * as clocks from "../kernel/clock.js";
import * as endlessAnswer from "./endless-answer.js";
import * as responseReader from "./response-reader.js";
import * as types from "./types.js";

/**
 * Default time limit for a TCP connection. To a VM in the same region it takes a few milliseconds.
 */
const CONNECT_TIMEOUT_MS = 1_000;

/** Number of interim responses (1xx) to one request that are read; more show that the upstream is faulty. */
const MAX_INTERIM_RESPONSES = 16;

/** The request to send and its timeouts. */
export interface HttpCall {
  readonly upstream: types.Upstream;
  readonly method: string;
  /** Path and query, beginning with a slash. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Keep-alive connection pool; `false` opens a connection for this call only. */
  readonly agent: http.Agent | false;
  /** Time limit for the response headers. */
  readonly headersTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Time limit for the TCP connection; by default `CONNECT_TIMEOUT_MS`. */
  readonly connectTimeoutMs?: number;
  /** Called when the connection is established, right before the request is sent; a returned error ends the call unsent. */
  readonly findRefusal?: () => Error | undefined;
  /** Called with the request once it has a connection and before it is sent; may destroy the request. */
  readonly onConnection?: (request: http.ClientRequest, connection: net.Socket) => void;
}

type RequestOptions = NonNullable<Parameters<typeof wreck.default.request>[2]>;

interface ExactOptions extends RequestOptions {
  readonly exactPath: string;
  readonly exactMethod: string;
}

/** Method under which the library sends any body; it drops that of GET and HEAD. */
const METHOD_WITH_BODY = "POST";

const HTTP_CLIENT = createClient();

/** Creates a client that sends method and path unchanged; by default the library normalises paths as URLs. */
function createClient() {
  const client = wreck.default.defaults({ events: true });
  // The library's types declare the request options as a string.
  const onPreRequest = (uri: unknown, options: unknown): void => {
    const { exactPath: path, exactMethod: method } = options as ExactOptions;
    Object.assign(uri as object, { path, method });
  };
  client.events?.on("preRequest", onPreRequest as never);
  return client;
}

/** State of the call's TCP connection. */
interface ConnectionState {
  connected: boolean;
}

/**
 * Sends a request and returns the response once its headers are received. The response body must be
 * read or the response destroyed. When `call.signal` aborts, the connection is closed, also while the
 * body is being read.
 *
 * @throws UpstreamError `notConnected` only if no TCP connection was established or the call was refused on it, else `broken`.
 * @example const response = await sendCall(clock, call);
 */
export async function sendCall(clock: clocks.Clock, call: HttpCall): Promise<http.IncomingMessage> {
  if (call.signal.aborted) throw createSendError(call, { connected: false }, call.signal.reason);
  const options: ExactOptions = {
    agent: call.agent,
    headers: createHeaders(call),
    payload: call.body,
    exactPath: call.path,
    exactMethod: call.method,
  };
  const pending = startRequest(call, options);
  const connection = watchConnection(clock, pending.req, call);
  pending.req.once("socket", (socket: net.Socket) => call.onConnection?.(pending.req, socket));
  const fault = watchForFault(pending.req);
  const removeAbortListener = closeOnAbort(pending.req, call.signal);
  const cancelTimeout = clock.schedule(call.headersTimeoutMs, () => {
    pending.req.destroy(new Error(`no response headers within ${call.headersTimeoutMs} ms`));
  });
  try {
    const response = await Promise.race([pending, fault.failed]);
    responseReader.watchForReset(response);
    response.once("close", removeAbortListener);
    return response;
  } catch (error) {
    removeAbortListener();
    throw createSendError(call, connection, fault.error ?? error);
  } finally {
    cancelTimeout();
  }
}

/** @throws UpstreamError `notConnected` when the library rejects the call, such as for an address that cannot be one. */
function startRequest(
  call: HttpCall,
  options: ExactOptions,
): ReturnType<typeof HTTP_CLIENT.request> {
  try {
    const method = call.body?.length ? METHOD_WITH_BODY : call.method;
    return HTTP_CLIENT.request(method, createUrl(call.upstream), options);
  } catch (error) {
    throw createSendError(call, { connected: false }, error);
  }
}

/** @throws when the host is another one as part of a URL, which completes and converts numbers. */
function createUrl({ host, port }: types.Upstream): string {
  const url = `http://${host}:${port}/`;
  if (new URL(url).hostname !== host.toLowerCase()) throw new Error(`host "${host}" is not valid`);
  return url;
}

/** Returns the call's headers with the trace headers of the active span in place of received ones. */
function createHeaders(call: HttpCall): Record<string, string> {
  const traceHeaders: Record<string, string> = {};
  otel.propagation.inject(otel.context.active(), traceHeaders);
  const forwarded = Object.entries(call.headers ?? {}).filter(
    ([name]) => !(name.toLowerCase() in traceHeaders),
  );
  return { ...Object.fromEntries(forwarded), ...traceHeaders };
}

/** Tracks whether the connection is established, and destroys the request if that takes too long or it is refused then. */
function watchConnection(
  clock: clocks.Clock,
  request: http.ClientRequest,
  { connectTimeoutMs: timeoutMs = CONNECT_TIMEOUT_MS, findRefusal }: HttpCall,
): ConnectionState {
  const connection: ConnectionState = { connected: false };
  const cancelTimeout = clock.schedule(timeoutMs, () => {
    request.destroy(new Error(`no connection within ${timeoutMs} ms`));
  });
  const onConnect = (): void => {
    cancelTimeout();
    const refusal = findRefusal?.();
    if (refusal === undefined) connection.connected = true;
    else request.destroy(refusal);
  };
  request.once("close", cancelTimeout);
  request.once("socket", (socket: net.Socket) => {
    if (socket.connecting) socket.once("connect", onConnect);
    else onConnect();
  });
  return connection;
}

/** What ended a request because of its upstream, which the HTTP library reports without its type. */
interface ResponseFault {
  error: Error | undefined;
  /** Rejects on a fault after which the library's promise does not settle. */
  readonly failed: Promise<never>;
}

/**
 * Ends a request whose upstream sends interim responses without end, which would occupy the process until the deadline, or
 * switches protocols unasked, after which Node.js reports neither a response nor an error.
 */
function watchForFault(request: http.ClientRequest): ResponseFault {
  let onFailed: (error: Error) => void = () => undefined;
  const failed = new Promise<never>((_resolve, reject) => {
    onFailed = reject;
  });
  failed.catch(() => undefined);
  const fault: ResponseFault = { error: undefined, failed };
  request.once("upgrade", ({ statusCode }: http.IncomingMessage, socket: stream.Duplex) => {
    socket.destroy();
    onFailed(new Error(`unasked switch of protocols, status ${String(statusCode)}`));
  });
  let interimCount = 0;
  request.on("information", () => {
    interimCount += 1;
    if (interimCount <= MAX_INTERIM_RESPONSES || fault.error !== undefined) return;
    const text = `more than ${MAX_INTERIM_RESPONSES} interim responses`;
    fault.error = new endlessAnswer.EndlessAnswerError(text);
    request.destroy(fault.error);
  });
  return fault;
}

function closeOnAbort(request: http.ClientRequest, signal: AbortSignal): () => void {
  const onAbort = (): void => {
    // The HTTP library cannot wrap a DOMException, which is the abort reason of a timeout.
    request.destroy(new Error("call was aborted", { cause: signal.reason }));
  };
  signal.addEventListener("abort", onAbort, { once: true });
  return () => {
    signal.removeEventListener("abort", onAbort);
  };
}

function createSendError(
  call: HttpCall,
  connection: ConnectionState,
  reason: unknown,
): types.UpstreamError {
  const failure = connection.connected
    ? types.UPSTREAM_FAILURE.broken
    : types.UPSTREAM_FAILURE.notConnected;
  return createUpstreamError(failure, call, reason);
}

/** Creates an error that names the upstream and has the reason of the failure as its cause. */
export function createUpstreamError(
  failure: types.UpstreamFailure,
  call: Pick<HttpCall, "method" | "path" | "upstream">,
  reason: unknown,
): types.UpstreamError {
  const text = reason instanceof Error ? reason.message : String(reason);
  const cause = new verror.default.VError(
    { info: { upstream: call.upstream.name, path: call.path }, ...createCauseOptions(reason) },
    "%s %s",
    call.method,
    call.path,
  );
  const message = `${call.upstream.name}: ${text}`;
  return new types.UpstreamError(failure, message, undefined, { cause });
}

function createCauseOptions(reason: unknown): { cause?: Error } {
  return reason instanceof Error ? { cause: reason } : {};
}
