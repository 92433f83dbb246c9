/** A client of the fleet that keeps its contract: addresses, sessions, attempts, retries. */
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
  /** Nodes to ask for addresses, at least one. */
  readonly nodes: readonly addressCache.NodeAddress[];
  readonly credential: string;
  readonly maxAttempts?: number;
  /** Longest wait for the headers of one attempt's response. */
  readonly attemptTimeoutMs?: number;
  /** Longest silence inside one response. */
  readonly silenceMs?: number;
  readonly clock?: clocks.Clock;
  readonly random?: random.RandomSource;
}

const DEFAULT_MAX_ATTEMPTS = 6;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 30_000;
const DEFAULT_SILENCE_MS = 10_000;
const DEFAULT_DEADLINE_MS = 60_000;

/** Sends model requests and plain calls to the fleet. */
export class CallerClient {
  readonly #maxAttempts: number;
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #book: addressCache.AddressCache;
  readonly #calls: nodeCalls.NodeCalls;

  constructor(options: CallerClientOptions) {
    if (options.nodes.length === 0) throw new Error("at least one node is needed");
    this.#maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    this.#clock = options.clock ?? clocks.createSystemClock();
    this.#random = options.random ?? random.createSystemRandom();
    this.#book = new addressCache.AddressCache(this.#clock, options.nodes, options.credential);
    this.#calls = new nodeCalls.NodeCalls(this.#clock, options.credential, {
      attemptTimeoutMs: options.attemptTimeoutMs ?? DEFAULT_ATTEMPT_TIMEOUT_MS,
      silenceMs: options.silenceMs ?? DEFAULT_SILENCE_MS,
    });
  }

  /**
   * Sends a model request and returns its whole answer.
   *
   * @example const result = await client.sendModel({ model: "iono-llm", prompt, maxTokens: 64 });
   */
  sendModel(
    request: results.ModelRequest,
    options: results.RequestOptions = {},
  ): Promise<results.ModelAnswer | results.Failure> {
    return this.#run(outcome.chooseIdempotentStep, options, async (attempt, signal, run) => {
      const answer = await this.#calls.callModel(request, attempt, options, signal);
      return createModelAnswer(run.record, answer.text, answer);
    });
  }

  /**
   * Streams a model request. After a break the request is sent again under the same id and the next
   * attempt number; tokens already delivered are compared and not delivered again.
   *
   * @example for await (const event of client.streamModel(request)) handlers[event.type](event);
   */
  async *streamModel(
    request: results.ModelRequest,
    options: results.RequestOptions = {},
  ): AsyncGenerator<results.ModelStreamEvent, void> {
    const run = this.#createAttempts(outcome.chooseIdempotentStep, options);
    using limit = this.#createLimit(options);
    const delivered: string[] = [];
    for (;;) {
      try {
        const attempt = await run.createNext(limit.signal);
        const chunks = this.#calls.streamModel(request, attempt, options, limit.signal);
        const last = yield* streamNewTokens(chunks, delivered);
        yield { type: "end", answer: createModelAnswer(run.record, delivered.join(""), last) };
        return;
      } catch (error) {
        const failure = await run.waitAfterFailure(error, limit.signal);
        if (failure === undefined) continue;
        yield { type: "failed", failure };
        return;
      }
    }
  }

  /**
   * Calls a plain service. A call that is not idempotent is sent again under the same id, which the
   * fleet runs at most once, and under a new id only when the old one is known not to have run.
   *
   * @example await client.callService({ service: "corr-api", method: "GET", path: "/status", idempotent: true });
   */
  callService(
    request: results.ServiceRequest,
    options: results.RequestOptions = {},
  ): Promise<results.ServiceAnswer | results.Failure> {
    const chooser = request.idempotent
      ? outcome.chooseIdempotentStep
      : outcome.chooseNonIdempotentStep;
    return this.#run(chooser, options, async (attempt, signal, run) => {
      const answer = await this.#calls.callService(request, attempt, options, signal);
      return { ok: true, ...run.record, ...answer };
    });
  }

  async #run<Answer>(
    chooser: attempts.RetryPolicy,
    options: results.RequestOptions,
    send: (
      attempt: attempts.Attempt,
      signal: AbortSignal,
      run: attempts.Attempts,
    ) => Promise<Answer>,
  ): Promise<Answer | results.Failure> {
    const run = this.#createAttempts(chooser, options);
    using limit = this.#createLimit(options);
    for (;;) {
      try {
        const attempt = await run.createNext(limit.signal);
        return await send(attempt, limit.signal, run);
      } catch (error) {
        const failure = await run.waitAfterFailure(error, limit.signal);
        if (failure !== undefined) return failure;
      }
    }
  }

  #createAttempts(
    chooser: attempts.RetryPolicy,
    options: results.RequestOptions,
  ): attempts.Attempts {
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const limits = { maxAttempts: this.#maxAttempts, deadlineMs };
    return new attempts.Attempts(this.#clock, this.#random, this.#book, limits, chooser);
  }

  #createLimit(options: results.RequestOptions): clocks.TimeLimit {
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    return clocks.createTimeLimit(this.#clock, deadlineMs, options.signal);
  }
}

/**
 * Yields the tokens that were not delivered before and adds them to `delivered`.
 *
 * @returns the last chunk, which has the finish reason.
 * @throws AttemptError `broken` when the answer lacks its end or differs from what was delivered.
 */
async function* streamNewTokens(
  chunks: AsyncIterable<modelBody.AnswerChunk>,
  delivered: string[],
): AsyncGenerator<results.ModelStreamEvent, modelBody.AnswerChunk> {
  let offset = 0;
  let last: modelBody.AnswerChunk | undefined;
  for await (const chunk of chunks) {
    if (chunk.text !== "") {
      const before = delivered[offset];
      if (before === undefined) {
        delivered.push(chunk.text);
        yield { type: "token", offset, text: chunk.text };
      } else if (before !== chunk.text) {
        throw createBroken("the answer differs from the tokens already delivered");
      }
      offset += 1;
    }
    if (chunk.finishReason !== undefined) last = chunk;
  }
  if (last === undefined || offset < delivered.length) throw createBroken("answer is not whole");
  return last;
}

function createModelAnswer(
  record: results.RequestRecord,
  text: string,
  last: modelBody.AnswerChunk,
): results.ModelAnswer {
  const { finishReason, usage } = last;
  if (finishReason === undefined || usage === undefined) throw createBroken("answer is not whole");
  return { ok: true, ...record, text, finishReason, usage };
}

function createBroken(message: string): outcome.AttemptError {
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, message);
}
