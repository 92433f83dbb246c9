/** Serves model requests: a place first, then the prompt is read, then the answer is streamed. */
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as placement from "../placement/placement.js";
import type * as placementTypes from "../placement/types.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import type * as crashWatch from "./crash-watch.js";
import * as engineRun from "./engine-run.js";
import * as modelProgress from "./model-progress.js";
import type * as repeatBudgets from "./repeat-budgets.js";
import type * as types from "./types.js";

/** Places that one request may take in turn; more would not bring it home within its deadline. */
const MAX_PLACES = 4;
/** Callers leave a stream without an event for the longest of these: the platform's word. */
const CALLER_GAP_MS = 2_000;
const CALLER_GAP_TARGETS = 4;
const CALLER_GAP_PAUSES = 8;
/** Part of that time that may be spent waiting for a place. */
const WAITING_SHARE = 0.85;
/** Output expected of a request that gives no estimate, as part of its longest output. */
const DEFAULT_OUTPUT_SHARE = 0.55;
/** Time that a decode runner needs to begin fetching a prompt. */
const FETCH_MARGIN_MS = 150;
/** When to come back to a service none of whose runners can be used. */
const ABSENT_RETRY_MS = 500;

/** What model serving works with. */
export interface ModelServingOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly zone: string;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly wire: gateway.RunnerCodec;
  readonly budgets: repeatBudgets.RepeatBudgets;
  readonly placement: placement.Placement;
  readonly crashWatch: crashWatch.CrashWatch;
  readonly tracer: telemetry.Tracer;
}

/** Serves the calls of routes that carry model requests. */
export class ModelServing {
  readonly #options: ModelServingOptions;
  readonly #engineRuns: engineRun.EngineRuns;

  constructor(options: ModelServingOptions) {
    this.#options = options;
    this.#engineRuns = new engineRun.EngineRuns(options);
  }

  /** @throws RequestError when the caller gets no answer, or an error after its answer broke off. */
  async serve(call: types.ServedCall): Promise<void> {
    this.#options.budgets.recordCall(call.service.name);
    const progress = new modelProgress.ModelProgress(call);
    try {
      await this.#runToEnd(call, progress);
    } finally {
      if (progress.prefilled !== undefined) this.#engineRuns.releasePrompt(progress.prefilled);
    }
  }

  async #runToEnd(call: types.ServedCall, progress: modelProgress.ModelProgress): Promise<void> {
    for (let places = 1; places <= MAX_PLACES; places += 1) {
      const result = await this.#runOnce(call, progress);
      call.signal.throwIfAborted();
      if (result.kind === "done") return;
      progress.recordFailure(result);
      if (!this.#canGoOn(call, progress)) break;
      this.#recordRepeat(call, progress, result);
    }
    throw progress.createError();
  }

  async #runOnce(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
  ): Promise<modelProgress.RunResult> {
    const request = this.#createPlaceRequest(call, progress);
    if (request.prefilledBy === undefined) progress.setPrefilled(undefined);
    const { placement: places, tracer } = this.#options;
    const answer = await spans.runInSpan(tracer, "place", { places: progress.places }, () =>
      places.reserve(request, call.signal),
    );
    if (!answer.granted && request.prefilledBy !== undefined) {
      progress.setPrefilled(undefined);
      return { kind: "notRun", reason: "no place while the prompt was kept", excluded: undefined };
    }
    if (!answer.granted) return { kind: "noPlace", retryAfterMs: answer.retryAfterMs };
    const outcome = { outputTokens: 0, decodeMs: 0, complete: false };
    try {
      const decode = this.#findRunner(answer.place.decodeRunner);
      const prefill = this.#findRunner(answer.place.prefillRunner);
      if (decode === undefined) return { kind: "noPlace", retryAfterMs: ABSENT_RETRY_MS };
      const place = { key: request.key, decode, prefill };
      return await this.#engineRuns.run(call, progress, place, outcome);
    } finally {
      places.release(request.key, outcome);
    }
  }

  #findRunner(id: string | undefined): runners.Runner | undefined {
    return id === undefined ? undefined : this.#options.runners.find(id)?.runner;
  }

  #createPlaceRequest(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
  ): placementTypes.PlaceRequest {
    const now = this.#options.clock.now();
    const waitedMs = now - call.arrivedAt;
    const { route, head } = call;
    const promptTokens = head.prompt?.promptTokens ?? 0;
    const maxOutputTokens = head.prompt?.maxOutputTokens ?? 0;
    const hint = head.prompt?.expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_SHARE;
    const made = progress.events * (call.service.engine?.tokensPerEvent ?? 1);
    const prefilledBy = this.#findPrefilled(progress, now);
    const keptMs = (progress.prefilled?.expiresAt ?? now) - now - FETCH_MARGIN_MS;
    const turnMs = computeCallerGap(route) * WAITING_SHARE - waitedMs;
    const patienceMs = prefilledBy === undefined ? turnMs : keptMs;
    return {
      key: `${head.id}/${progress.places}`,
      service: call.service.name,
      subject: head.prompt?.parts.at(-1) ?? head.id,
      promptTokens: promptTokens + made,
      estimatedOutputTokens: Math.max(1, Math.min(maxOutputTokens, hint) - made),
      madeTokens: made,
      maxOutputTokens: Math.max(1, maxOutputTokens - made),
      targetMs:
        progress.lastEventAt === undefined
          ? route.targetLatencyMs - waitedMs
          : route.gapTargetMs - (now - progress.lastEventAt),
      patienceMs: Math.max(1, Math.min(patienceMs, call.deadlineAt - now)),
      zone: this.#options.zone,
      prefilledBy,
      cachedBy: progress.cachedBy,
      excluded: [...progress.excluded],
    };
  }

  /** Returns the runner that keeps the request's prompt, if that can still be fetched in time. */
  #findPrefilled(progress: modelProgress.ModelProgress, now: number): string | undefined {
    const { prefilled } = progress;
    if (prefilled === undefined || progress.excluded.has(prefilled.runner.id)) return undefined;
    return prefilled.expiresAt - now > FETCH_MARGIN_MS ? prefilled.runner.id : undefined;
  }

  #canGoOn(call: types.ServedCall, progress: modelProgress.ModelProgress): boolean {
    const hasTime = this.#options.clock.now() < call.deadlineAt;
    return progress.repeatable && hasTime && this.#options.budgets.reserve(call.service.name);
  }

  #recordRepeat(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    result: modelProgress.RunResult,
  ): void {
    this.#options.metrics.count("repeats", { service: call.service.name });
    this.#options.log.write(logEvents.LOG_EVENTS.requestResumed, {
      request: call.head.id,
      events: progress.events,
      before: "reason" in result ? result.reason : result.kind,
    });
  }
}

/** Returns how long a caller waits for the next event before it leaves. */
function computeCallerGap(route: types.ServedCall["route"]): number {
  const { targetLatencyMs, gapTargetMs } = route;
  const byTarget = CALLER_GAP_TARGETS * targetLatencyMs;
  return Math.max(CALLER_GAP_MS, byTarget, CALLER_GAP_PAUSES * gapTargetMs);
}
