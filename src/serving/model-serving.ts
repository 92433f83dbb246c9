/** Serves model requests: placement, prefill, then the streamed response. */
import type * as gateway from "../gateway/types.js";
import type * as runnerPaths from "../handover/runner-paths.js";
import * as clocks from "../kernel/clock.js";
import type * as placementService from "../placement/placement-service.js";
import * as placementTypes from "../placement/types.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import * as runnerPauses from "../runners/runner-pauses.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as runners from "../runners/types.js";
import type * as retryBudgets from "../request/retry-budgets.js";
import * as logEvents from "../telemetry/log-events.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import type * as streamVersions from "../streams/stream-versions.js";
import * as answers from "./answers.js";
import type * as crashDetector from "./crash-detector.js";
import * as engineExecutor from "./engine-executor.js";
import * as modelProgress from "./model-progress.js";
import * as servedCall from "./served-call.js";
import type * as types from "./types.js";

/**
 * Maximum number of placements of one request; further ones could not complete within its deadline.
 */
const MAX_PLACEMENTS = 4;
/**
 * By the platform's contract, callers abandon a stream without an event after the longest of three
 * times: this one, a multiple of the latency target and a multiple of the gap target.
 */
const MIN_CALLER_IDLE_TIMEOUT_MS = 2_000;
const CALLER_IDLE_LATENCY_FACTOR = 4;
const CALLER_IDLE_GAP_FACTOR = 8;
/** Fraction of the caller's idle timeout that a request may wait for a placement. */
const PLACEMENT_WAIT_SHARE = 0.85;
/** Expected output of a request without an estimate, as a fraction of its maximum output. */
const DEFAULT_OUTPUT_SHARE = 0.55;
/** Time that a decode runner needs to start fetching a prompt's KV cache. */
const KV_FETCH_MARGIN_MS = 150;
/** Retry time when the decode runner of the placement is no longer listed. */
const NO_RUNNER_RETRY_AFTER_MS = 500;
/** Gap between two events after which callers give up a stream at the earliest. */
const MAX_GAP_MS = 2_000;
const PAUSE_TEXT = "all decode runners have asked for a pause";

/** Dependencies of model serving. */
export interface ModelServingOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly zone: string;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
  readonly budgets: retryBudgets.RetryBudgets;
  readonly pauses: runnerPauses.PauseTimes;
  readonly placement: placementService.PlacementService;
  readonly crashDetector: crashDetector.CrashDetector;
  readonly streams: streamVersions.StreamVersions;
  readonly tracer: telemetry.Tracer;
  readonly paths: Pick<runnerPaths.RunnerPathMonitor, "hasLostPath" | "listUnreached">;
  readonly grace: gateway.StartLimit;
}

/** Serves the calls of routes for model requests. */
export class ModelServing {
  readonly #options: ModelServingOptions;
  readonly #executor: engineExecutor.EngineExecutor;

  constructor(options: ModelServingOptions) {
    this.#options = options;
    this.#executor = new engineExecutor.EngineExecutor(options);
  }

  /**
   * Serves a call.
   *
   * @throws RequestError when no response was sent completely; the signal's reason when the caller
   * disconnects.
   */
  async serve(call: types.ServedCall): Promise<void> {
    const { budgets } = this.#options;
    const softwareVersion = await this.#options.streams.findStreamVersion(call);
    call.signal.throwIfAborted();
    const { name } = call.service;
    using account = budgets.createAccount(name, call.route.maxAttempts, call.isCounted);
    const progress = new modelProgress.ModelProgress(call, account, softwareVersion);
    try {
      await this.#runWithRetries(call, progress);
    } catch (error) {
      throw answers.chooseEndError(error, call.signal, account);
    } finally {
      if (progress.prefilled !== undefined) this.#executor.releasePrefilled(progress.prefilled);
    }
  }

  async #runWithRetries(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
  ): Promise<void> {
    for (let attempt = 1; attempt <= MAX_PLACEMENTS; attempt += 1) {
      const result = await this.#runOnce(call, progress);
      call.signal.throwIfAborted();
      if (result.kind === "done") return;
      progress.recordFailure(result);
      await this.#setVersion(call, progress);
      if (!this.#canRetry(call, progress)) break;
      this.#recordRetry(call, progress, result);
    }
    throw progress.createError();
  }

  /**
   * Keeps a stream that has begun to the version of the run that began it.
   *
   * @throws RequestError when that is not known or no runner of it is left.
   */
  async #setVersion(call: types.ServedCall, progress: modelProgress.ModelProgress): Promise<void> {
    const { streams } = this.#options;
    if (progress.softwareVersion !== undefined) return;
    if (progress.eventCount === 0) this.#setOpenRunVersion(call, progress);
    if (progress.eventCount === 0 || progress.origin === undefined) return;
    const version = await streams.findVersion(await progress.origin, call.route.timeoutMs);
    if (version === undefined)
      throw answers.createFailure("broke off, and its software version is not known");
    progress.setSoftwareVersion(version);
  }

  /**
   * Sets the version of a run that broke off without an event, while others of that version serve: the run may go on
   * and be reported, which is how the version of a stream is known after all VMs have lost their records.
   */
  #setOpenRunVersion(call: types.ServedCall, progress: modelProgress.ModelProgress): void {
    const version = progress.openRunVersion;
    if (version === undefined) return;
    const isServed = this.#options.runners
      .listUsable(call.service.name)
      .map(({ runner }) => runner)
      .filter(({ id, stage }) => stage === runners.STAGE.decode && !progress.excluded.has(id))
      .some(({ softwareVersion }) => softwareVersion === version);
    if (isServed) progress.setSoftwareVersion(version);
  }

  async #runOnce(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
  ): Promise<modelProgress.RunResult> {
    const pauseMs = this.#computePause(call, progress);
    if (pauseMs !== undefined && !(await this.#waitForPause(call, progress, pauseMs)))
      return { kind: "noPlace", reason: PAUSE_TEXT, retryAfterMs: pauseMs };
    const request = this.#createPlacementRequest(call, progress);
    if (request.prefilledBy === undefined) progress.setPrefilled(undefined);
    const { placement, tracer } = this.#options;
    const answer = await spans.runInSpan(tracer, "place", { places: progress.placementCount }, () =>
      placement.reserve(request, call.signal),
    );
    if (!answer.granted && request.prefilledBy !== undefined) {
      progress.setPrefilled(undefined);
      return { kind: "notRun", reason: "no place while the prompt was kept", excluded: undefined };
    }
    if (!answer.granted) return { kind: "noPlace", retryAfterMs: answer.retryAfterMs };
    const outcome = { outputTokens: 0, decodeMs: 0, complete: false };
    try {
      const decode = this.#findRunner(answer.place.decodeRunner);
      const prefill = progress.skipsPrefill
        ? undefined
        : this.#findRunner(answer.place.prefillRunner);
      if (decode === undefined) return { kind: "noPlace", retryAfterMs: NO_RUNNER_RETRY_AFTER_MS };
      const { softwareVersion } = progress;
      if (softwareVersion !== undefined && decode.softwareVersion !== softwareVersion) {
        const reason = `runner is of version ${String(decode.softwareVersion)}, not ${softwareVersion}`;
        return { kind: "notRun", reason, excluded: decode.id };
      }
      const place = { key: request.key, decode, prefill };
      return await this.#executor.run(call, progress, place, outcome);
    } finally {
      placement.release(request.key, outcome);
    }
  }

  #findRunner(id: string | undefined): runners.Runner | undefined {
    return id === undefined ? undefined : this.#options.runners.find(id)?.runner;
  }

  #createPlacementRequest(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
  ): placementTypes.PlacementRequest {
    const now = this.#options.clock.now();
    const waitedMs = now - call.arrivedAt;
    const { route, head } = call;
    const promptTokens = head.prompt?.promptTokens ?? 0;
    const maxOutputTokens = head.prompt?.maxOutputTokens ?? 0;
    const outputEstimate =
      head.prompt?.expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_SHARE;
    const generatedTokens = progress.eventCount * (call.service.engine?.tokensPerEvent ?? 1);
    const prefilledBy = this.#findPrefilled(progress, now);
    const fetchableMs = (progress.prefilled?.expiresAt ?? now) - now - KV_FETCH_MARGIN_MS;
    const queueLimitMs = computeCallerIdleTimeout(route) * PLACEMENT_WAIT_SHARE - waitedMs;
    const startUntil = this.#options.grace.computeStartLimit(call.deadlineAt);
    const maxWaitMs = prefilledBy === undefined ? queueLimitMs : fetchableMs;
    return {
      key: `${head.id}/${progress.placementCount}`,
      service: call.service.name,
      retryKey: head.prompt?.partIds.at(-1) ?? head.id,
      promptTokens: promptTokens + generatedTokens,
      estimatedOutputTokens: Math.max(
        1,
        Math.min(maxOutputTokens, outputEstimate) - generatedTokens,
      ),
      generatedTokens,
      maxOutputTokens: Math.max(1, maxOutputTokens - generatedTokens),
      targetMs:
        progress.lastEventAt === undefined
          ? route.targetLatencyMs - waitedMs
          : route.gapTargetMs - (now - progress.lastEventAt),
      maxWaitMs: Math.max(1, Math.min(maxWaitMs, startUntil - now)),
      zone: this.#options.zone,
      prefilledBy,
      cachedBy: progress.cachedBy,
      excluded: this.#listExcluded(call, progress),
      skipsPrefill: progress.skipsPrefill,
      softwareVersion: progress.softwareVersion,
      priority: call.priority,
      team: servedCall.findShareHolder(call),
    };
  }

  /** Returns the shortest pause if all runners that could decode a request want one, else `undefined`. */
  #computePause(
    call: types.ServedCall,
    { softwareVersion }: modelProgress.ModelProgress,
  ): number | undefined {
    const { pauses, runners: table, metrics } = this.#options;
    const { name: service } = call.service;
    const listed = table
      .listUsable(service)
      .map(({ runner }) => runner)
      .filter(({ stage }) => stage !== runners.STAGE.prefill)
      .filter((one) => softwareVersion === undefined || one.softwareVersion === softwareVersion);
    const pauseMs = runnerPauses.computeCommonPause(pauses, listed);
    if (pauseMs !== undefined) metrics.count("pause_refusals", { service });
    return pauseMs;
  }

  /** Waits for the end of a pause if a stream has begun and its caller will wait for it; returns whether it did. */
  async #waitForPause(
    call: types.ServedCall,
    { lastEventAt }: modelProgress.ModelProgress,
    pauseMs: number,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const endsAt = clock.now() + pauseMs;
    const isWorthWaiting =
      lastEventAt !== undefined && endsAt < Math.min(lastEventAt + MAX_GAP_MS, call.deadlineAt);
    if (isWorthWaiting) await clocks.sleep(clock, pauseMs, call.signal);
    return isWorthWaiting;
  }

  /**
   * Lists the runners that failed the request, those that want a pause, and those that this VM does not reach while it
   * reaches others.
   */
  #listExcluded(call: types.ServedCall, progress: modelProgress.ModelProgress): readonly string[] {
    const { name } = call.service;
    const unreached = this.#options.paths.listUnreached(name);
    const paused = this.#options.runners
      .listUsable(name)
      .filter(({ runner }) => this.#options.pauses.computePause(runner) > 0)
      .map(({ runner: { id } }) => id);
    const excluded = new Set([...progress.excluded, ...paused, ...unreached]);
    return [...excluded].slice(0, placementTypes.MAX_EXCLUDED);
  }

  /** Returns the runner that keeps the prefilled prompt, if it can still be fetched in time. */
  #findPrefilled(progress: modelProgress.ModelProgress, now: number): string | undefined {
    const { prefilled } = progress;
    if (prefilled === undefined || progress.excluded.has(prefilled.runner.id)) return undefined;
    return prefilled.expiresAt - now > KV_FETCH_MARGIN_MS ? prefilled.runner.id : undefined;
  }

  #canRetry(call: types.ServedCall, progress: modelProgress.ModelProgress): boolean {
    const hasTime = this.#options.clock.now() < call.deadlineAt;
    return progress.retryable && hasTime && progress.reserveRetry();
  }

  #recordRetry(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    result: modelProgress.RunResult,
  ): void {
    this.#options.metrics.count("repeats", { service: call.service.name });
    this.#options.log.write(logEvents.LOG_EVENTS.requestResumed, {
      request: call.head.id,
      events: progress.eventCount,
      streamVersion: progress.softwareVersion,
      before: "reason" in result ? result.reason : result.kind,
    });
  }
}

/** Returns how long a caller waits for the next event before it abandons the stream. */
function computeCallerIdleTimeout(route: types.ServedCall["route"]): number {
  const { targetLatencyMs, gapTargetMs } = route;
  const latencyTimeoutMs = CALLER_IDLE_LATENCY_FACTOR * targetLatencyMs;
  return Math.max(
    MIN_CALLER_IDLE_TIMEOUT_MS,
    latencyTimeoutMs,
    CALLER_IDLE_GAP_FACTOR * gapTargetMs,
  );
}
