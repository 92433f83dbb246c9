/** A client of the fleet that handles address lookup, sessions and retries. */
import * as clocks from "../kernel/clock.js";
import * as random from "../kernel/random.js";
import * as addressCache from "./address-cache.js";
import * as attempts from "./attempts.js";
import type * as modelBody from "./model-body.js";
import * as nodeCalls from "./node-calls.js";
import * as outcome from "./outcome.js";
import type * as results from "./results.js";

/** Settings of a client. */
export interface CallerClientOptions {
  /** Nodes to send address lookups to, at least one. */
  readonly nodes: readonly addressCache.NodeAddress[];
  readonly credential: string;
  readonly maxAttempts?: number;
  /** Time limit for the response headers of one attempt. */
  readonly attemptTimeoutMs?: number;
  /** Idle timeout while a response is received. */
  readonly silenceMs?: number;
  readonly clock?: clocks.Clock;
  readonly random?: random.RandomSource;
}

const DEFAULT_MAX_ATTEMPTS = 6;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 30_000;
const DEFAULT_IDLE_TIMEOUT_MS = 10_000;
/** Time limit for all attempts of a request, if the request states none. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Sends model requests and plain calls to the fleet. */
export class CallerClient {
  readonly #maxAttempts: number;
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #addresses: addressCache.AddressCache;
  readonly #calls: nodeCalls.NodeCalls;

  constructor(options: CallerClientOptions) {
    if (options.nodes.length === 0) throw new Error("at least one node is needed");
    this.#maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    this.#clock = options.clock ?? clocks.createSystemClock();
    this.#random = options.random ?? random.createSystemRandom();
    this.#addresses = new addressCache.AddressCache(this.#clock, options.nodes, options.credential);
    this.#calls = new nodeCalls.NodeCalls(this.#clock, options.credential, {
      attemptTimeoutMs: options.attemptTimeoutMs ?? DEFAULT_ATTEMPT_TIMEOUT_MS,
      idleTimeoutMs: options.silenceMs ?? DEFAULT_IDLE_TIMEOUT_MS,
    });
  }

  /**
   * Sends a model request and returns the complete response.
   *
   * @example const result = await client.sendModel({ model: "iono-llm", prompt, maxTokens: 64 });
   */
  sendModel(
    request: results.ModelRequest,
    options: results.RequestOptions = {},
  ): Promise<results.ModelAnswer | results.Failure> {
    return this.#sendWithRetries(
      outcome.chooseIdempotentStep,
      options,
      async (attempt, signal, requestAttempts) => {
        const answer = await this.#calls.callModel(request, attempt, options, signal);
        return createModelAnswer(requestAttempts.record, answer.text, answer);
      },
    );
  }

  /**
   * Streams a model request. When the stream breaks, the request is sent again with the same id and
   * the next attempt number; tokens already delivered are compared and not delivered again.
   *
   * @example for await (const event of client.streamModel(request)) handlers[event.type](event);
   */
  async *streamModel(
    request: results.ModelRequest,
    options: results.RequestOptions = {},
  ): AsyncGenerator<results.ModelStreamEvent, void> {
    const requestAttempts = this.#createAttempts(outcome.chooseIdempotentStep, options);
    using timeLimit = this.#createTimeLimit(options);
    const delivered: string[] = [];
    for (;;) {
      try {
        const attempt = await requestAttempts.createNext(timeLimit.signal);
        const chunks = this.#calls.streamModel(request, attempt, options, timeLimit.signal);
        const last = yield* streamNewTokens(chunks, delivered);
        yield {
          type: "end",
          answer: createModelAnswer(requestAttempts.record, delivered.join(""), last),
        };
        return;
      } catch (error) {
        const failure = await requestAttempts.waitAfterFailure(error, timeLimit.signal);
        if (failure === undefined) continue;
        yield { type: "failed", failure };
        return;
      }
    }
  }

  /**
   * Calls a plain service. A non-idempotent call is retried with the same id, which the fleet runs
   * at most once, and with a new id only when the old one is known not to have run.
   *
   * @example await client.callService({ service: "corr-api", method: "GET", path: "/status", idempotent: true });
   */
  callService(
    request: results.ServiceRequest,
    options: results.RequestOptions = {},
  ): Promise<results.ServiceAnswer | results.Failure> {
    const retryPolicy = request.idempotent
      ? outcome.chooseIdempotentStep
      : outcome.chooseNonIdempotentStep;
    return this.#sendWithRetries(retryPolicy, options, async (attempt, signal, requestAttempts) => {
      const answer = await this.#calls.callService(request, attempt, options, signal);
      return { ok: true, ...requestAttempts.record, ...answer };
    });
  }

  async #sendWithRetries<Answer>(
    retryPolicy: attempts.RetryPolicy,
    options: results.RequestOptions,
    send: (
      attempt: attempts.Attempt,
      signal: AbortSignal,
      requestAttempts: attempts.Attempts,
    ) => Promise<Answer>,
  ): Promise<Answer | results.Failure> {
    const requestAttempts = this.#createAttempts(retryPolicy, options);
    using timeLimit = this.#createTimeLimit(options);
    for (;;) {
      try {
        const attempt = await requestAttempts.createNext(timeLimit.signal);
        return await send(attempt, timeLimit.signal, requestAttempts);
      } catch (error) {
        const failure = await requestAttempts.waitAfterFailure(error, timeLimit.signal);
        if (failure !== undefined) return failure;
      }
    }
  }

  #createAttempts(
    retryPolicy: attempts.RetryPolicy,
    options: results.RequestOptions,
  ): attempts.Attempts {
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const limits = { maxAttempts: this.#maxAttempts, deadlineMs };
    return new attempts.Attempts(this.#clock, this.#random, this.#addresses, limits, retryPolicy);
  }

  #createTimeLimit(options: results.RequestOptions): clocks.TimeLimit {
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    return clocks.createTimeLimit(this.#clock, deadlineMs, options.signal);
  }
}

/**
 * Yields the tokens that have not been delivered yet and appends them to `delivered`.
 *
 * @returns the content of the last event that has a finish reason.
 * @throws AttemptError `broken` when the response is truncated or differs from `delivered`.
 */
async function* streamNewTokens(
  chunks: AsyncIterable<modelBody.ParsedAnswer>,
  delivered: string[],
): AsyncGenerator<results.ModelStreamEvent, modelBody.ParsedAnswer> {
  let offset = 0;
  let last: modelBody.ParsedAnswer | undefined;
  for await (const chunk of chunks) {
    if (chunk.text !== "") {
      const before = delivered[offset];
      if (before === undefined) {
        delivered.push(chunk.text);
        yield { type: "token", offset, text: chunk.text };
      } else if (before !== chunk.text) {
        throw createBrokenError("the answer differs from the tokens already delivered");
      }
      offset += 1;
    }
    if (chunk.finishReason !== undefined) last = chunk;
  }
  if (last === undefined || offset < delivered.length) {
    throw createBrokenError("answer is not whole");
  }
  return last;
}

function createModelAnswer(
  record: results.RequestRecord,
  text: string,
  last: modelBody.ParsedAnswer,
): results.ModelAnswer {
  const { finishReason, usage } = last;
  if (finishReason === undefined || usage === undefined) {
    throw createBrokenError("answer is not whole");
  }
  return { ok: true, ...record, text, finishReason, usage };
}

function createBrokenError(message: string): outcome.AttemptError {
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, message);
}
