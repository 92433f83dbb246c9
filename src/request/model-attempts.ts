/** Runs a model request on runners: lease, prefill, KV transfer, decode; retries on failure. */
import type * as capacity from "../capacity/types.js";
import type * as kernels from "../kernel/container.js";
import * as signals from "../kernel/signals.js";
import * as codes from "../protocol/result-codes.js";
import * as events from "../telemetry/log-events.js";
import * as spans from "../telemetry/spans.js";
import * as upstream from "../upstream/types.js";
import * as engineCanceller from "./engine-canceller.js";
import * as decodeStream from "./decode-stream.js";
import * as inFlightFingerprints from "./in-flight-fingerprints.js";
import type * as engineAttempts from "./engine-attempt.js";
import type * as modelRun from "./model-run.js";
import * as prompts from "./prompts.js";

/** Limit on the engine attempts within one attempt of the caller. */
const MAX_ENGINE_ATTEMPTS = 4;
/**
 * Engine attempts are numbered `caller's attempt * ENGINE_ATTEMPT_STRIDE + index`, so that the
 * numbers increase monotonically.
 */
const ENGINE_ATTEMPT_STRIDE = 100;
/** Resumes of a broken decode stream within one engine attempt. */
const MAX_STREAM_RESUMES = 2;

/** Runs model requests on runners. */
export class ModelAttempts {
  readonly #kernel: kernels.Kernel;
  readonly #canceller: engineCanceller.EngineCanceller;
  readonly #inFlight: inFlightFingerprints.InFlightFingerprints;

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
    this.#canceller = new engineCanceller.EngineCanceller(kernel);
    this.#inFlight = new inFlightFingerprints.InFlightFingerprints(kernel.use("clock"));
  }

  /** Number of cancellations in progress at engines. */
  get activeCancelCount(): number {
    return this.#canceller.inProgressCount;
  }

  /**
   * Adds tokens to `run` until it is complete.
   *
   * @throws RequestError when the request is refused or quarantined, or when no retry is left.
   * @throws the error of the last engine attempt when `signal` aborted.
   */
  async run(
    context: engineAttempts.RequestContext,
    run: modelRun.ModelRun,
    signal: AbortSignal,
  ): Promise<void> {
    const failedRunners: string[] = [];
    for (let index = 0; ; index += 1) {
      const attemptId = { id: run.id, attempt: context.attempt * ENGINE_ATTEMPT_STRIDE + index };
      const failure = await this.#runAttempt(context, run, attemptId, failedRunners, signal).catch(
        (error: unknown) => {
          throw createErrorAfterAttempts(error, context.attempt + index);
        },
      );
      if (failure === undefined) return;
      this.#checkCanRetry(context, index, failure, signal);
      this.#kernel.use("log").write(events.LOG_EVENTS.requestRetried, {
        attempt: attemptId.attempt,
        failed: [...failedRunners],
        reason: failure.message,
      });
    }
  }

  #checkCanRetry(
    context: engineAttempts.RequestContext,
    index: number,
    failure: Error,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) throw failure;
    this.#checkNotQuarantined(context, codes.RAN.yes, failure);
    if (index + 1 >= MAX_ENGINE_ATTEMPTS) {
      throw new codes.RequestError(codes.RESULT_CODES.upstreamFailed, codes.RAN.unknown, {
        cause: failure,
      });
    }
  }

  #checkNotQuarantined(
    context: engineAttempts.RequestContext,
    ran: codes.Ran,
    cause?: Error,
  ): void {
    if (!this.#kernel.use("crashes").isQuarantined(context.fingerprint)) return;
    throw new codes.RequestError(codes.RESULT_CODES.quarantined, ran, { cause });
  }

  /** Returns `undefined` on success, else a failure after which the request may be retried. */
  async #runAttempt(
    context: engineAttempts.RequestContext,
    run: modelRun.ModelRun,
    attemptId: upstream.AttemptId,
    failedRunners: string[],
    signal: AbortSignal,
  ): Promise<Error | undefined> {
    const demand = this.#createDemand(context, run, attemptId, failedRunners);
    const tracer = this.#kernel.use("tracer");
    await using reservation = await spans.runInSpan(tracer, "reserve", {}, () =>
      this.#kernel.use("capacity").reserve(demand, signal),
    );
    using joined = signals.createJoinedSignal([signal, reservation.revoked]);
    const attempt: engineAttempts.EngineAttempt = {
      context,
      run,
      attemptId,
      reservation,
      signal: joined.signal,
      contactedRunners: [],
    };
    try {
      const prefillResult = await this.#prefill(attempt);
      await this.#decode(attempt, prefillResult);
      return undefined;
    } catch (error) {
      this.#cancelAttempt(attempt);
      if (error instanceof codes.RequestError || !(error instanceof Error)) throw error;
      const failedRunner = attempt.contactedRunners.at(-1);
      if (!joined.signal.aborted && failedRunner !== undefined) {
        this.#recordFailure(attempt, failedRunner, error);
        failedRunners.push(failedRunner.name);
      }
      return error;
    }
  }

  #createDemand(
    context: engineAttempts.RequestContext,
    run: modelRun.ModelRun,
    attemptId: upstream.AttemptId,
    exclude: readonly string[],
  ): capacity.Demand {
    const call = context.call;
    const isFirstEngineAttempt = exclude.length === 0 && run.offset === 0;
    const prompt = call.prompt + run.text;
    return {
      ...attemptId,
      isCrashSuspect: this.#kernel.use("crashes").isSuspect(context.fingerprint),
      isFirstAttempt: isFirstEngineAttempt && context.isOwnedHere && context.attempt === 1,
      caller: call.caller.name,
      model: call.model.name,
      adapter: call.adapter,
      promptTokens: prompts.estimateTokenCount(prompt),
      maxTokens: call.maxTokens - run.offset,
      prefixes: prompts.computePrefixHashes(call.model.name, call.adapter, prompt),
      priority: call.caller.priority,
      share: call.caller.share,
      firstTokenBy: this.#computeFirstTokenBy(context, isFirstEngineAttempt),
      betweenTokensMs: call.betweenTokensMs,
      deadline: context.startedAt + call.deadlineMs,
      exclude,
    };
  }

  async #prefill(attempt: engineAttempts.EngineAttempt): Promise<upstream.PrefillResult> {
    const { context, run, attemptId, reservation, signal } = attempt;
    const tracer = this.#kernel.use("tracer");
    await spans.runInSpan(tracer, "wait-for-prefill", {}, () =>
      reservation.waitForPrefillStart(signal),
    );
    this.#checkNotQuarantined(context, codes.RAN.no);
    using _running = this.#inFlight.add(reservation.prefill.name, context.fingerprint);
    const command: upstream.PrefillCommand = {
      ...attemptId,
      model: context.call.model.name,
      adapter: context.call.adapter,
      prompt: context.call.prompt,
      continuation: run.text,
      priority: context.call.caller.priority,
      deadlineMs: this.#getRemainingMs(context),
    };
    const attributes = { runner: reservation.prefill.name };
    attempt.contactedRunners.push(reservation.prefill);
    const result = await spans.runInSpan(tracer, "prefill", attributes, () =>
      this.#kernel.use("engines").prefill(reservation.prefill, command, signal),
    );
    reservation.recordPrefillEnd(result.cachedTokens);
    return result;
  }

  async #decode(
    attempt: engineAttempts.EngineAttempt,
    prefillResult: upstream.PrefillResult,
  ): Promise<void> {
    const { context, run, attemptId, reservation, signal } = attempt;
    this.#checkNotQuarantined(context, codes.RAN.unknown);
    using _running = this.#inFlight.add(reservation.decode.name, context.fingerprint);
    const command: upstream.DecodeCommand = {
      ...attemptId,
      model: context.call.model.name,
      adapter: context.call.adapter,
      source: reservation.prefill,
      handle: prefillResult.handle,
      offset: run.offset,
      maxTokens: context.call.maxTokens - run.offset,
      priority: context.call.caller.priority,
      deadlineMs: this.#getRemainingMs(context),
    };
    const engines = this.#kernel.use("engines");
    const attributes = { runner: reservation.decode.name };
    attempt.contactedRunners.push(reservation.decode);
    await spans.runInSpan(this.#kernel.use("tracer"), "decode", attributes, async () => {
      let stream = engines.decode(reservation.decode, command, signal);
      let firstFailure: upstream.UpstreamError | undefined;
      for (let resumes = 0; ; resumes += 1) {
        const failure = await decodeStream.readDecodeStream(
          this.#kernel,
          attempt,
          prefillResult,
          stream,
        );
        if (failure === undefined) return;
        // The first failure tells whether the engine crashed; later resumes can fail in any way.
        firstFailure ??= failure;
        if (signal.aborted || resumes >= MAX_STREAM_RESUMES) throw firstFailure;
        if (failure.failure !== upstream.UPSTREAM_FAILURE.broken) throw firstFailure;
        stream = engines.resume(reservation.decode, { ...attemptId, offset: run.offset }, signal);
      }
    });
  }

  #cancelAttempt(attempt: engineAttempts.EngineAttempt): void {
    for (const runner of attempt.contactedRunners) this.#canceller.start(runner, attempt.attemptId);
  }

  #recordFailure(
    attempt: engineAttempts.EngineAttempt,
    runner: upstream.Upstream,
    error: Error,
  ): void {
    attempt.reservation.recordFailure(runner.name);
    const isBroken =
      error instanceof upstream.UpstreamError && error.failure === upstream.UPSTREAM_FAILURE.broken;
    if (!isBroken) return;
    const implicatedFingerprints = this.#inFlight.recordBrokenStream(
      runner.name,
      attempt.context.fingerprint,
    );
    if (implicatedFingerprints.length > 0)
      this.#kernel.use("crashes").recordCrash(runner.name, implicatedFingerprints);
  }

  /** A retry gets a new first-token target: an accepted request is answered late, not refused. */
  #computeFirstTokenBy(
    context: engineAttempts.RequestContext,
    isFirstEngineAttempt: boolean,
  ): number {
    const start = isFirstEngineAttempt ? context.startedAt : this.#kernel.use("clock").now();
    return start + context.call.firstTokenMs;
  }

  #getRemainingMs(context: engineAttempts.RequestContext): number {
    const deadline = context.startedAt + context.call.deadlineMs;
    return Math.max(1, Math.round(deadline - this.#kernel.use("clock").now()));
  }
}

/** Keeps `ran: no` in a refusal only if no earlier attempt may have run. */
function createErrorAfterAttempts(error: unknown, attempts: number): unknown {
  if (!(error instanceof codes.RequestError) || error.ran !== codes.RAN.no) return error;
  const { code, message, retryAfterMs, session, cause } = error;
  const options = { detail: message, retryAfterMs, session, cause };
  return new codes.RequestError(code, codes.getRanBefore(attempts), options);
}
