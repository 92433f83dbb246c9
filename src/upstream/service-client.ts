/** HTTP client of plain services; bodies are forwarded without being parsed. */
import type * as http from "node:http";
import type * as kernels from "../kernel/container.js";
import type * as clocks from "../kernel/clock.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import * as httpCall from "./http-call.js";
import * as responseReader from "./response-reader.js";
import * as types from "./types.js";

const MAX_BODY_BYTES = 4_000_000;
/**
 * Time limit for the response headers and between bytes, in effect for calls without a deadline; the
 * deadline of an operation aborts earlier.
 */
const MAX_CALL_MS = 3_600_000;
/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set for each connection. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
]);

/**
 * Creates the client for all plain services.
 *
 * @example kernel.register("backends", createServiceClient);
 */
export function createServiceClient(kernel: kernels.Kernel): types.ServiceClient {
  return new HttpServiceClient(kernel.use("clock"), kernel.use("tracer"));
}

class HttpServiceClient implements types.ServiceClient {
  readonly #clock: clocks.Clock;
  readonly #tracer: telemetry.Tracer;

  constructor(clock: clocks.Clock, tracer: telemetry.Tracer) {
    this.#clock = clock;
    this.#tracer = tracer;
  }

  send(
    backend: types.Upstream,
    request: types.PlainRequest,
    signal: AbortSignal,
  ): Promise<types.PlainResponse> {
    const attributes = { backend: backend.name };
    return spans.runInSpan(this.#tracer, "backend-call", attributes, () =>
      this.#sendInSpan(backend, request, signal),
    );
  }

  async #sendInSpan(
    backend: types.Upstream,
    request: types.PlainRequest,
    signal: AbortSignal,
  ): Promise<types.PlainResponse> {
    const call: httpCall.HttpCall = {
      upstream: backend,
      method: request.method,
      path: request.path,
      headers: removeHopByHopHeaders(request.headers),
      body: Buffer.from(request.body),
      agent: false,
      headersTimeoutMs: MAX_CALL_MS,
      signal,
    };
    const response = await httpCall.sendCall(this.#clock, call);
    const limits = { maxBytes: MAX_BODY_BYTES, idleTimeoutMs: MAX_CALL_MS };
    const body = await responseReader
      .readBody(this.#clock, response, limits)
      .catch((error: unknown) => {
        throw httpCall.createUpstreamError(types.UPSTREAM_FAILURE.broken, call, error);
      });
    return {
      status: response.statusCode ?? 0,
      headers: removeHopByHopHeaders(parseHeaders(response.headers)),
      body,
    };
  }
}

function removeHopByHopHeaders(
  headers: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> {
  const connectionOptions = new Set(parseConnectionOptions(headers));
  const isForwarded = (name: string): boolean =>
    !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.has(name);
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => isForwarded(name.toLowerCase())),
  );
}

/** Returns the header names that the `Connection` header declares as hop-by-hop. */
function parseConnectionOptions(headers: Readonly<Record<string, string>>): string[] {
  const options = Object.entries(headers)
    .filter(([name]) => name.toLowerCase() === "connection")
    .map(([, value]) => value);
  return options
    .join(",")
    .split(",")
    .map((option) => option.trim().toLowerCase());
}

function parseHeaders(headers: http.IncomingHttpHeaders): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flat;
}
