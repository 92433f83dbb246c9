/** HTTP client of model engines; decode output is received as server-sent events. */
import * as http from "node:http";
import * as eventsource from "eventsource-parser";
import type * as zod from "zod";
import type * as kernels from "../kernel/container.js";
import type * as clocks from "../kernel/clock.js";
import * as httpCall from "./http-call.js";
import * as messages from "./engine-messages.js";
import * as responseReader from "./response-reader.js";
import * as types from "./types.js";

/**
 * Time limit for the response headers and for the next bytes of the body. Engines send a heartbeat at
 * least every 500 ms, so that it covers four intervals.
 */
const IDLE_TIMEOUT_MS = 2_000;
const MAX_BODY_BYTES = 4_000_000;
/** Maximum length of one server-sent event. */
const MAX_EVENT_CHARACTERS = 64_000;
/** Maximum keep-alive connections to one runner, used for the load and cache events it is polled for. */
const MAX_POLL_CONNECTIONS_PER_RUNNER = 4;
const HTTP_OK = 200;
/** HTTP statuses with which an engine refuses a request before running it. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([400, 404, 409, 410, 413, 429, 503, 507]);

/**
 * Creates the client for all engines.
 *
 * @example kernel.register("engines", createEngineClient);
 */
export function createEngineClient(kernel: kernels.Kernel): types.EngineClient & AsyncDisposable {
  return new HttpEngineClient(kernel.use("clock"));
}

class HttpEngineClient implements types.EngineClient, AsyncDisposable {
  readonly #clock: clocks.Clock;
  /**
   * Keep-alive connections are used only for GET requests, which are repeated periodically, so that a
   * lost one does no harm.
   */
  readonly #pollAgent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_POLL_CONNECTIONS_PER_RUNNER,
  });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  async prefill(
    runner: types.Upstream,
    command: types.PrefillCommand,
    signal: AbortSignal,
  ): Promise<types.PrefillResult> {
    const call = createPost(runner, "/prefill", command, signal);
    const answer = await this.#readJson(call, messages.prefillResponseSchema);
    if ("error" in answer) throw createEngineError(call, answer.error);
    return answer;
  }

  decode(
    runner: types.Upstream,
    command: types.DecodeCommand,
    signal: AbortSignal,
  ): AsyncIterable<types.DecodeEvent> {
    return this.#streamEvents(createPost(runner, "/decode", command, signal));
  }

  resume(
    runner: types.Upstream,
    attempt: types.AttemptId & { readonly offset: number },
    signal: AbortSignal,
  ): AsyncIterable<types.DecodeEvent> {
    return this.#streamEvents(createPost(runner, "/resume", attempt, signal));
  }

  async cancel(
    runner: types.Upstream,
    { id, attempt }: types.AttemptId,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#send(createPost(runner, "/cancel", { id, attempt }, signal));
  }

  readLoad(runner: types.Upstream, signal: AbortSignal): Promise<types.RunnerLoad> {
    return this.#readJson(this.#createGet(runner, "/load", signal), messages.runnerLoadSchema);
  }

  async readCacheEvents(
    runner: types.Upstream,
    after: number,
    signal: AbortSignal,
  ): Promise<types.CacheEvent[]> {
    const call = this.#createGet(runner, `/events?after=${after}`, signal);
    return (await this.#readJson(call, messages.cacheEventsSchema)).events;
  }

  async sendOrder(
    runner: types.Upstream,
    order: types.RunnerOrder,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#send(createPost(runner, "/orders", order, signal));
  }

  /** Closes the keep-alive connections. */
  [Symbol.asyncDispose](): Promise<void> {
    this.#pollAgent.destroy();
    return Promise.resolve();
  }

  #createGet(upstream: types.Upstream, path: string, signal: AbortSignal): httpCall.HttpCall {
    const agent = this.#pollAgent;
    return { upstream, method: "GET", path, agent, headersTimeoutMs: IDLE_TIMEOUT_MS, signal };
  }

  /** Sends a call and reads the complete response body. */
  async #send(call: httpCall.HttpCall): Promise<Buffer> {
    const response = await httpCall.sendCall(this.#clock, call);
    const limits = { maxBytes: MAX_BODY_BYTES, idleTimeoutMs: IDLE_TIMEOUT_MS };
    const body = await responseReader
      .readBody(this.#clock, response, limits)
      .catch((error: unknown) => {
        throw httpCall.createUpstreamError(types.UPSTREAM_FAILURE.broken, call, error);
      });
    if (response.statusCode !== HTTP_OK) throw createStatusError(call, response.statusCode ?? 0);
    return body;
  }

  async #readJson<Value>(call: httpCall.HttpCall, schema: zod.ZodType<Value>): Promise<Value> {
    const body = await this.#send(call);
    return parseMessage(call, schema, body.toString("utf8"));
  }

  async *#streamEvents(call: httpCall.HttpCall): AsyncGenerator<types.DecodeEvent> {
    const response = await httpCall.sendCall(this.#clock, call);
    if (response.statusCode !== HTTP_OK) {
      response.destroy();
      throw createStatusError(call, response.statusCode ?? 0);
    }
    const pendingMessages: eventsource.EventSourceMessage[] = [];
    const parser = createEventParser(pendingMessages);
    const decoder = new TextDecoder();
    try {
      for await (const chunk of responseReader.readChunks(this.#clock, response, IDLE_TIMEOUT_MS)) {
        parser.feed(decoder.decode(chunk, { stream: true }));
        for (const message of pendingMessages.splice(0)) yield parseEvent(call, message);
      }
    } catch (error) {
      if (error instanceof types.UpstreamError) throw error;
      throw httpCall.createUpstreamError(types.UPSTREAM_FAILURE.broken, call, error);
    }
  }
}

/**
 * Creates the call of a command. It uses a new connection, since a keep-alive connection may have
 * failed unnoticed.
 */
function createPost(
  upstream: types.Upstream,
  path: string,
  message: object,
  signal: AbortSignal,
): httpCall.HttpCall {
  return {
    upstream,
    method: "POST",
    path,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(message),
    agent: false,
    headersTimeoutMs: IDLE_TIMEOUT_MS,
    signal,
  };
}

function createEventParser(
  pendingMessages: eventsource.EventSourceMessage[],
): eventsource.EventSourceParser {
  return eventsource.createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: (event) => pendingMessages.push(event),
  });
}

function parseEvent(
  call: httpCall.HttpCall,
  message: eventsource.EventSourceMessage,
): types.DecodeEvent {
  if (message.event !== "error") {
    return parseMessage(call, messages.decodeEventSchema, message.data);
  }
  const { error } = parseMessage(call, messages.engineErrorSchema, message.data);
  throw createEngineError(call, error);
}

function parseMessage<Value>(
  call: httpCall.HttpCall,
  schema: zod.ZodType<Value>,
  text: string,
): Value {
  try {
    return schema.parse(JSON.parse(text));
  } catch (error) {
    throw httpCall.createUpstreamError(types.UPSTREAM_FAILURE.broken, call, error);
  }
}

function createEngineError(
  call: httpCall.HttpCall,
  error: { readonly status: number; readonly message: string; readonly ran: boolean },
): types.UpstreamError {
  const failure = error.ran ? types.UPSTREAM_FAILURE.broken : types.UPSTREAM_FAILURE.refused;
  const message = `${call.upstream.name}: ${error.message}`;
  return new types.UpstreamError(failure, message, error.status);
}

function createStatusError(call: httpCall.HttpCall, status: number): types.UpstreamError {
  const failure = REFUSAL_STATUSES.has(status)
    ? types.UPSTREAM_FAILURE.refused
    : types.UPSTREAM_FAILURE.broken;
  return new types.UpstreamError(failure, `${call.upstream.name}: status ${status}`, status);
}
