/** Runs a model request on the runners: lease, prefill, transfer, decode; again on a failure. */
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

/** Runs of one request on runners within one attempt of the caller. */
const MAX_RUNS = 4;
/** Engine attempts are numbered `caller's attempt * ATTEMPT_STRIDE + run`, so that they only rise. */
const ATTEMPT_STRIDE = 100;
const MAX_STREAM_RESUMES = 2;

/** Executes runs on runners. */
export class ModelAttempts {
  readonly #kernel: kernels.Kernel;
  readonly #canceller: engineCanceller.EngineCanceller;
  readonly #inFlight: inFlightFingerprints.InFlightFingerprints;

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
    this.#canceller = new engineCanceller.EngineCanceller(kernel);
    this.#inFlight = new inFlightFingerprints.InFlightFingerprints(kernel.use("clock"));
  }

  /** Cancels not yet confirmed by an engine. */
  get pendingCancels(): number {
    return this.#canceller.pending;
  }

  /**
   * Fills `run` until its end mark.
   *
   * @throws RequestError when the request is refused or given up.
   */
  async run(
    context: engineAttempts.RequestContext,
    run: modelRun.ModelRun,
    signal: AbortSignal,
  ): Promise<void> {
    const failed: string[] = [];
    for (let number = 0; ; number += 1) {
      const attemptId = { id: run.id, attempt: context.attempt * ATTEMPT_STRIDE + number };
      const failure = await this.#runOnce(context, run, attemptId, failed, signal).catch(
        (error: unknown) => {
          throw createHonestRefusal(error, context.attempt + number);
        },
      );
      if (failure === undefined) return;
      this.#checkMayRunAgain(context, number, failure, signal);
      this.#kernel.use("log").write(events.LOG_EVENTS.requestRetried, {
        attempt: attemptId.attempt,
        failed: [...failed],
        reason: failure.message,
      });
    }
  }

  #checkMayRunAgain(
    context: engineAttempts.RequestContext,
    number: number,
    failure: Error,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) throw failure;
    if (this.#kernel.use("crashes").isQuarantined(context.fingerprint)) {
      throw new codes.RequestError(codes.RESULT_CODES.quarantined, codes.RAN.yes, {
        cause: failure,
      });
    }
    if (number + 1 >= MAX_RUNS) {
      throw new codes.RequestError(codes.RESULT_CODES.upstreamFailed, codes.RAN.unknown, {
        cause: failure,
      });
    }
  }

  /** Returns the failure after which another run may be tried. */
  async #runOnce(
    context: engineAttempts.RequestContext,
    run: modelRun.ModelRun,
    attemptId: upstream.AttemptId,
    failed: string[],
    signal: AbortSignal,
  ): Promise<Error | undefined> {
    const demand = this.#createDemand(context, run, attemptId, failed);
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
      const prefilled = await this.#prefill(attempt);
      await this.#decode(attempt, prefilled);
      return undefined;
    } catch (error) {
      this.#cancelStep(attempt);
      if (error instanceof codes.RequestError || !(error instanceof Error)) throw error;
      const failedRunner = attempt.contactedRunners.at(-1);
      if (!joined.signal.aborted && failedRunner !== undefined) {
        this.#recordFailure(attempt, failedRunner, error);
        failed.push(failedRunner.name);
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
    const isFirstRun = exclude.length === 0 && run.offset === 0;
    const prompt = call.prompt + run.text;
    return {
      ...attemptId,
      isSuspect: this.#kernel.use("crashes").isSuspect(context.fingerprint),
      isFirstAttempt: isFirstRun && context.isOwnedHere && context.attempt === 1,
      caller: call.caller.name,
      model: call.model.name,
      adapter: call.adapter,
      promptTokens: prompts.estimateTokenCount(prompt),
      maxTokens: call.maxTokens - run.offset,
      prefixes: prompts.computePrefixHashes(call.model.name, call.adapter, prompt),
      priority: call.caller.priority,
      share: call.caller.share,
      firstTokenBy: this.#computeFirstTokenBy(context, isFirstRun),
      betweenTokensMs: call.betweenTokensMs,
      deadline: context.startedAt + call.deadlineMs,
      exclude,
    };
  }

  async #prefill(attempt: engineAttempts.EngineAttempt): Promise<upstream.PrefillResult> {
    const { context, run, attemptId, reservation, signal } = attempt;
    const tracer = this.#kernel.use("tracer");
    await spans.runInSpan(tracer, "wait-for-prefill", {}, () => reservation.waitForPrefill(signal));
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
    prefilled: upstream.PrefillResult,
  ): Promise<void> {
    const { context, run, attemptId, reservation, signal } = attempt;
    using _running = this.#inFlight.add(reservation.decode.name, context.fingerprint);
    const command: upstream.DecodeCommand = {
      ...attemptId,
      model: context.call.model.name,
      adapter: context.call.adapter,
      source: reservation.prefill,
      handle: prefilled.handle,
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
      let firstBreak: upstream.UpstreamError | undefined;
      for (let resumes = 0; ; resumes += 1) {
        const failure = await decodeStream.readDecodeStream(
          this.#kernel,
          attempt,
          prefilled,
          stream,
        );
        if (failure === undefined) return;
        // The first break tells of a crash; a resume after it fails in any way.
        firstBreak ??= failure;
        if (signal.aborted || resumes >= MAX_STREAM_RESUMES) throw firstBreak;
        if (failure.failure !== upstream.UPSTREAM_FAILURE.broken) throw firstBreak;
        stream = engines.resume(reservation.decode, { ...attemptId, offset: run.offset }, signal);
      }
    });
  }

  #cancelStep(attempt: engineAttempts.EngineAttempt): void {
    for (const runner of attempt.contactedRunners) this.#canceller.start(runner, attempt.attemptId);
  }

  #recordFailure(
    attempt: engineAttempts.EngineAttempt,
    runner: upstream.Upstream,
    error: Error,
  ): void {
    attempt.reservation.recordFailure(runner.name);
    const broken =
      error instanceof upstream.UpstreamError && error.failure === upstream.UPSTREAM_FAILURE.broken;
    if (!broken) return;
    const accused = this.#inFlight.recordBreak(runner.name, attempt.context.fingerprint);
    if (accused.length > 0) this.#kernel.use("crashes").recordCrash(runner.name, accused);
  }

  /** An accepted request that runs again is answered late rather than given up. */
  #computeFirstTokenBy(context: engineAttempts.RequestContext, isFirstRun: boolean): number {
    const start = isFirstRun ? context.startedAt : this.#kernel.use("clock").now();
    return start + context.call.firstTokenMs;
  }

  #getRemainingMs(context: engineAttempts.RequestContext): number {
    const deadline = context.startedAt + context.call.deadlineMs;
    return Math.max(1, Math.round(deadline - this.#kernel.use("clock").now()));
  }
}

/** A refusal before anything was sent says "not run" only when no earlier run may have begun. */
function createHonestRefusal(error: unknown, runs: number): unknown {
  if (!(error instanceof codes.RequestError) || error.ran !== codes.RAN.no) return error;
  const { code, message, retryAfterMs, session, cause } = error;
  const options = { detail: message, retryAfterMs, session, cause };
  return new codes.RequestError(code, codes.getRanBefore(runs), options);
}
