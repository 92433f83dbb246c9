/** HTTP requests to a node, with time and size limits. */
import type * as http from "node:http";
import * as wreck from "@hapi/wreck";
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import * as codes from "../protocol/result-codes.js";
import * as responseReader from "../upstream/response-reader.js";
import type * as addressCache from "./address-cache.js";
import * as outcome from "./outcome.js";

/** A request to a node. */
export interface NodeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Time limit for the response headers. */
  readonly timeoutMs: number;
}

const MS_PER_SECOND = 1000;

/** System error codes of connections that were not established, so that no request was sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

const errorBodySchema = zod.object({
  error: zod.object({
    code: zod.int(),
    message: zod.string(),
    ran: zod.enum(codes.RAN),
    retryAfterMs: zod.number().min(0).optional(),
    session: zod.string().optional(),
  }),
});

/**
 * Sends a request over a new connection and waits for the response's headers.
 *
 * @throws AttemptError `notConnected` or `broken`, or the signal's reason if it has aborted before.
 */
export async function sendRequest(
  clock: clocks.Clock,
  node: addressCache.NodeAddress,
  request: NodeRequest,
  signal: AbortSignal,
): Promise<http.IncomingMessage> {
  signal.throwIfAborted();
  const host = node.host.includes(":") ? `[${node.host}]` : node.host;
  const pending = wreck.default.request(
    request.method,
    `http://${host}:${node.port}${request.path}`,
    { headers: { ...request.headers }, payload: request.body },
  ) as Promise<http.IncomingMessage> & { readonly req: http.ClientRequest };
  const onAbort = (): void => {
    pending.req.destroy(new Error("request was aborted"));
  };
  signal.addEventListener("abort", onAbort, { once: true });
  const cancelTimeout = clock.schedule(request.timeoutMs, () => {
    pending.req.destroy(new Error(`no response within ${request.timeoutMs} ms`));
  });
  try {
    const response = await pending;
    responseReader.watchForReset(response);
    response.once("close", () => {
      signal.removeEventListener("abort", onAbort);
    });
    return response;
  } catch (error) {
    signal.removeEventListener("abort", onAbort);
    throw createConnectionError(error, node);
  } finally {
    cancelTimeout();
  }
}

/**
 * Yields the chunks of a body and destroys the response when the consumer stops.
 *
 * @param idleTimeoutMs - time limit for the next chunk.
 * @throws AttemptError `broken` on a lost connection, idle timeout or more than `maxBytes` bytes.
 */
export async function* streamBody(
  clock: clocks.Clock,
  response: http.IncomingMessage,
  maxBytes: number,
  idleTimeoutMs: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  const onIdle = (): void => {
    response.destroy(new Error(`nothing received for ${idleTimeoutMs} ms`));
  };
  let cancelTimeout = clock.schedule(idleTimeoutMs, onIdle);
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      cancelTimeout();
      bytes += chunk.length;
      if (bytes > maxBytes) throw new Error(`body exceeds ${maxBytes} bytes`);
      yield chunk;
      cancelTimeout = clock.schedule(idleTimeoutMs, onIdle);
    }
  } catch (error) {
    throw createBrokenError(error);
  } finally {
    cancelTimeout();
    response.destroy();
  }
}

/** Reads a complete body. @throws AttemptError `broken` */
export async function readBody(
  clock: clocks.Clock,
  response: http.IncomingMessage,
  maxBytes: number,
  idleTimeoutMs: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of streamBody(clock, response, maxBytes, idleTimeoutMs))
    chunks.push(chunk);
  if (!response.complete) throw createBrokenError(new Error("body is not whole"));
  return Buffer.concat(chunks);
}

/** Parses JSON; returns `undefined` when it is malformed. */
export function parseJson(body: Buffer | string): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

/** Creates the error for an unsuccessful response. */
export function createRefusal(
  response: Pick<http.IncomingMessage, "statusCode" | "headers">,
  body: Buffer,
): outcome.AttemptError {
  const refusal = parseRefusal(parseJson(body));
  const retryAfterMs = refusal?.retryAfterMs ?? parseRetryAfter(response.headers["retry-after"]);
  if (refusal !== undefined) {
    const { message, code, ran, session } = refusal;
    const options = { code, ran, retryAfterMs, session };
    return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.refused, message, options);
  }
  const message = `status ${response.statusCode ?? 0} without a result code`;
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.refused, message, { retryAfterMs });
}

/** Parses the router's error body `{"error": ...}`; returns `undefined` for anything else. */
export function parseRefusal(
  body: unknown,
): zod.infer<typeof errorBodySchema>["error"] | undefined {
  const parsed = errorBodySchema.safeParse(body);
  return parsed.success ? parsed.data.error : undefined;
}

function parseRetryAfter(header: string | undefined): number | undefined {
  return header !== undefined && /^\d{1,6}$/.test(header)
    ? Number(header) * MS_PER_SECOND
    : undefined;
}

function createConnectionError(
  error: unknown,
  node: addressCache.NodeAddress,
): outcome.AttemptError {
  const code = findSystemErrorCode(error);
  const isUnsent = code !== undefined && NOT_CONNECTED_CODES.has(code);
  const kind = isUnsent ? outcome.ATTEMPT_FAILURE.notConnected : outcome.ATTEMPT_FAILURE.broken;
  const message = `request to ${node.host}:${node.port} failed`;
  return new outcome.AttemptError(kind, message, { cause: error });
}

function createBrokenError(error: unknown): outcome.AttemptError {
  const message = "response broke off";
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, message, { cause: error });
}

/** Returns the system error code of an error or of an error it wraps. */
function findSystemErrorCode(error: unknown): string | undefined {
  if (!(error instanceof Error)) return undefined;
  const { code, data } = error as NodeJS.ErrnoException & { readonly data?: unknown };
  return code ?? findSystemErrorCode(data ?? error.cause);
}

/** Whether a response is an error of the router, as opposed to a service's own response. */
export function isRefusal(response: http.IncomingMessage, body: Buffer): boolean {
  const isError = (response.statusCode ?? 0) >= 400;
  return isError && parseRefusal(parseJson(body)) !== undefined;
}
