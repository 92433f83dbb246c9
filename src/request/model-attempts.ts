/** Runs a model request on the runners: lease, prefill, transfer, decode; again on a failure. */
import type * as capacity from "../capacity/types.js";
import type * as kernels from "../kernel/container.js";
import * as signals from "../kernel/signals.js";
import * as codes from "../protocol/result-codes.js";
import * as events from "../telemetry/log-events.js";
import * as spans from "../telemetry/spans.js";
import * as upstream from "../upstream/types.js";
import * as engineCancel from "./engine-cancel.js";
import * as decodeStream from "./decode-stream.js";
import * as inFlight from "./in-flight.js";
import type * as modelStep from "./model-step.js";
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
  readonly #canceller: engineCancel.EngineCanceller;
  readonly #inFlight: inFlight.InFlight;

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
    this.#canceller = new engineCancel.EngineCanceller(kernel);
    this.#inFlight = new inFlight.InFlight(kernel.use("clock"));
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
  async run(order: modelStep.RunOrder, run: modelRun.ModelRun, signal: AbortSignal): Promise<void> {
    const failed: string[] = [];
    for (let number = 0; ; number += 1) {
      const attempt = { id: run.id, attempt: order.attempt * ATTEMPT_STRIDE + number };
      const failure = await this.#runOnce(order, run, attempt, failed, signal).catch(
        (error: unknown) => {
          throw createHonestRefusal(error, order.attempt + number);
        },
      );
      if (failure === undefined) return;
      this.#checkMayRunAgain(order, number, failure, signal);
      this.#kernel.use("log").write(events.LOG_EVENTS.requestRetried, {
        attempt: attempt.attempt,
        failed: [...failed],
        reason: failure.message,
      });
    }
  }

  #checkMayRunAgain(
    order: modelStep.RunOrder,
    number: number,
    failure: Error,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) throw failure;
    if (this.#kernel.use("crashes").isQuarantined(order.fingerprint)) {
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
    order: modelStep.RunOrder,
    run: modelRun.ModelRun,
    attempt: upstream.AttemptId,
    failed: string[],
    signal: AbortSignal,
  ): Promise<Error | undefined> {
    const demand = this.#createDemand(order, run, attempt, failed);
    const tracer = this.#kernel.use("tracer");
    await using reservation = await spans.runInSpan(tracer, "reserve", {}, () =>
      this.#kernel.use("capacity").reserve(demand, signal),
    );
    using joined = signals.createJoinedSignal([signal, reservation.revoked]);
    const step: modelStep.Step = {
      order,
      run,
      attempt,
      reservation,
      signal: joined.signal,
      sentTo: [],
    };
    try {
      const prefilled = await this.#prefill(step);
      await this.#decode(step, prefilled);
      return undefined;
    } catch (error) {
      this.#cancelStep(step);
      if (error instanceof codes.RequestError || !(error instanceof Error)) throw error;
      const failedRunner = step.sentTo.at(-1);
      if (!joined.signal.aborted && failedRunner !== undefined) {
        this.#recordFailure(step, failedRunner, error);
        failed.push(failedRunner.name);
      }
      return error;
    }
  }

  #createDemand(
    order: modelStep.RunOrder,
    run: modelRun.ModelRun,
    attempt: upstream.AttemptId,
    exclude: readonly string[],
  ): capacity.Demand {
    const call = order.call;
    const isFirstRun = exclude.length === 0 && run.offset === 0;
    const prompt = call.prompt + run.text;
    return {
      ...attempt,
      isSuspect: this.#kernel.use("crashes").hasCrashRecord(order.fingerprint),
      isFirstAttempt: isFirstRun && order.isOwned && order.attempt === 1,
      caller: call.caller.name,
      model: call.model.name,
      adapter: call.adapter,
      promptTokens: prompts.countTokens(prompt),
      maxTokens: call.maxTokens - run.offset,
      prefixes: prompts.computePrefixes(call.model.name, call.adapter, prompt),
      priority: call.caller.priority,
      share: call.caller.share,
      firstTokenBy: this.#computeFirstTokenBy(order, isFirstRun),
      betweenTokensMs: call.betweenTokensMs,
      deadline: order.startedAt + call.deadlineMs,
      exclude,
    };
  }

  async #prefill(step: modelStep.Step): Promise<upstream.PrefillResult> {
    const { order, run, attempt, reservation, signal } = step;
    const tracer = this.#kernel.use("tracer");
    await spans.runInSpan(tracer, "wait-for-prefill", {}, () => reservation.waitForPrefill(signal));
    using _running = this.#inFlight.add(reservation.prefill.name, order.fingerprint);
    const command: upstream.PrefillCommand = {
      ...attempt,
      model: order.call.model.name,
      adapter: order.call.adapter,
      prompt: order.call.prompt,
      continuation: run.text,
      priority: order.call.caller.priority,
      deadlineMs: this.#getRemainingMs(order),
    };
    const attributes = { runner: reservation.prefill.name };
    step.sentTo.push(reservation.prefill);
    const result = await spans.runInSpan(tracer, "prefill", attributes, () =>
      this.#kernel.use("engines").prefill(reservation.prefill, command, signal),
    );
    reservation.recordPrefillEnd(result.cachedTokens);
    return result;
  }

  async #decode(step: modelStep.Step, prefilled: upstream.PrefillResult): Promise<void> {
    const { order, run, attempt, reservation, signal } = step;
    using _running = this.#inFlight.add(reservation.decode.name, order.fingerprint);
    const command: upstream.DecodeCommand = {
      ...attempt,
      model: order.call.model.name,
      adapter: order.call.adapter,
      source: reservation.prefill,
      handle: prefilled.handle,
      offset: run.offset,
      maxTokens: order.call.maxTokens - run.offset,
      priority: order.call.caller.priority,
      deadlineMs: this.#getRemainingMs(order),
    };
    const engines = this.#kernel.use("engines");
    const attributes = { runner: reservation.decode.name };
    step.sentTo.push(reservation.decode);
    await spans.runInSpan(this.#kernel.use("tracer"), "decode", attributes, async () => {
      let stream = engines.decode(reservation.decode, command, signal);
      let firstBreak: upstream.UpstreamError | undefined;
      for (let resumes = 0; ; resumes += 1) {
        const failure = await decodeStream.readDecodeStream(this.#kernel, step, prefilled, stream);
        if (failure === undefined) return;
        // The first break tells of a crash; a resume after it fails in any way.
        firstBreak ??= failure;
        if (signal.aborted || resumes >= MAX_STREAM_RESUMES) throw firstBreak;
        if (failure.failure !== upstream.UPSTREAM_FAILURE.broken) throw firstBreak;
        stream = engines.resume(reservation.decode, { ...attempt, offset: run.offset }, signal);
      }
    });
  }

  #cancelStep(step: modelStep.Step): void {
    for (const runner of step.sentTo) this.#canceller.start(runner, step.attempt);
  }

  #recordFailure(step: modelStep.Step, runner: upstream.Upstream, error: Error): void {
    step.reservation.recordFailure(runner.name);
    const broken =
      error instanceof upstream.UpstreamError && error.failure === upstream.UPSTREAM_FAILURE.broken;
    if (!broken) return;
    const accused = this.#inFlight.recordBreak(runner.name, step.order.fingerprint);
    if (accused.length > 0) this.#kernel.use("crashes").recordCrash(runner.name, accused);
  }

  /** An accepted request that runs again is answered late rather than given up. */
  #computeFirstTokenBy(order: modelStep.RunOrder, isFirstRun: boolean): number {
    const start = isFirstRun ? order.startedAt : this.#kernel.use("clock").now();
    return start + order.call.firstTokenMs;
  }

  #getRemainingMs(order: modelStep.RunOrder): number {
    const deadline = order.startedAt + order.call.deadlineMs;
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
