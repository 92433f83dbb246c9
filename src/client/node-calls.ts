/** Sends the HTTP request of an attempt with the caller's headers and the client's limits. */
import type * as http from "node:http";
import type * as clocks from "../kernel/clock.js";
import type * as attempts from "./attempts.js";
import * as exchange from "./exchange.js";
import * as modelBody from "./model-body.js";
import type * as results from "./results.js";

/** Time limits of one request and its response. */
export interface ExchangeLimits {
  /** Time limit for the response headers. */
  readonly attemptTimeoutMs: number;
  /** Idle timeout while the response is received. */
  readonly idleTimeoutMs: number;
}

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Sends attempts to nodes. Every method throws `AttemptError`, or the reason of an aborted signal. */
export class NodeCalls {
  readonly #clock: clocks.Clock;
  readonly #credential: string;
  readonly #limits: ExchangeLimits;

  constructor(clock: clocks.Clock, credential: string, limits: ExchangeLimits) {
    this.#clock = clock;
    this.#credential = credential;
    this.#limits = limits;
  }

  /** Sends a model request and returns the complete response. */
  async callModel(
    request: results.ModelRequest,
    attempt: attempts.Attempt,
    options: results.RequestOptions,
    signal: AbortSignal,
  ): Promise<modelBody.ParsedAnswer> {
    const response = await this.#sendModel(request, false, attempt, options, signal);
    return modelBody.parseAnswer(exchange.parseJson(await this.#readBody(response)));
  }

  /** Sends a model request and yields the content of each event of the response. */
  async *streamModel(
    request: results.ModelRequest,
    attempt: attempts.Attempt,
    options: results.RequestOptions,
    signal: AbortSignal,
  ): AsyncGenerator<modelBody.ParsedAnswer> {
    const response = await this.#sendModel(request, true, attempt, options, signal);
    const { idleTimeoutMs } = this.#limits;
    const chunks = exchange.streamBody(this.#clock, response, MAX_RESPONSE_BYTES, idleTimeoutMs);
    yield* modelBody.decodeAnswers(chunks);
  }

  /** Calls a plain service; returns any response of the service and throws refusals of the router. */
  async callService(
    request: results.ServiceRequest,
    attempt: attempts.Attempt,
    options: results.RequestOptions,
    signal: AbortSignal,
  ): Promise<Pick<results.ServiceAnswer, "status" | "headers" | "body">> {
    const path = request.path.startsWith("/") ? request.path : `/${request.path}`;
    const response = await exchange.sendRequest(
      this.#clock,
      attempt.node,
      {
        method: request.method,
        path: `/services/${encodeURIComponent(request.service)}${path}`,
        headers: { ...request.headers, ...this.#createHeaders(attempt, options) },
        body: request.body,
        timeoutMs: this.#limits.attemptTimeoutMs,
      },
      signal,
    );
    const body = await this.#readBody(response);
    if (exchange.isRefusal(response, body)) throw exchange.createRefusal(response, body);
    return { status: response.statusCode ?? 0, headers: listHeaders(response), body };
  }

  async #sendModel(
    request: results.ModelRequest,
    stream: boolean,
    attempt: attempts.Attempt,
    options: results.RequestOptions,
    signal: AbortSignal,
  ): Promise<http.IncomingMessage> {
    const response = await exchange.sendRequest(
      this.#clock,
      attempt.node,
      {
        method: "POST",
        path: modelBody.getModelPath(request),
        headers: { ...this.#createHeaders(attempt, options), "content-type": "application/json" },
        body: modelBody.formatModelBody(request, stream),
        timeoutMs: this.#limits.attemptTimeoutMs,
      },
      signal,
    );
    if (response.statusCode === 200) return response;
    throw exchange.createRefusal(response, await this.#readBody(response));
  }

  #createHeaders(
    attempt: attempts.Attempt,
    options: results.RequestOptions,
  ): Record<string, string> {
    return {
      authorization: `Bearer ${this.#credential}`,
      "idempotency-key": attempt.id,
      "x-attempt": String(attempt.number),
      ...(options.traceparent === undefined ? {} : { traceparent: options.traceparent }),
    };
  }

  #readBody(response: http.IncomingMessage): Promise<Buffer> {
    return exchange.readBody(this.#clock, response, MAX_RESPONSE_BYTES, this.#limits.idleTimeoutMs);
  }
}

function listHeaders(response: http.IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}
