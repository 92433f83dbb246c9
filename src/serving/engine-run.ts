/** One run of a model request on the runners of its place. */
import type * as http from "node:http";
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as placement from "../placement/placement.js";
import type * as placementTypes from "../placement/types.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as responseReader from "../upstream/response-reader.js";
import * as upstream from "../upstream/types.js";
import * as answers from "./answers.js";
import type * as crashWatch from "./crash-watch.js";
import * as eventSplitter from "./event-splitter.js";
import type * as modelProgress from "./model-progress.js";
import type * as types from "./types.js";

/** A prompt waits about 150 ms at a runner and is read in 300 ms at most; a lost packet comes again after 200 ms. */
const PREFILL_LIMIT_MS = 1_200;
/** Silence after which a stream that may go on elsewhere is given up: pauses of preempted runs are shorter. */
const STREAM_SILENCE_MS = 1_500;
const RELEASE_LIMIT_MS = 500;
/** Limits of answers that are read whole. */
const WHOLE_BODY = { maxBytes: 1_048_576, idleTimeoutMs: 1_000 };

/** What engine runs work with. */
export interface EngineRunOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly wire: gateway.RunnerCodec;
  readonly placement: placement.Placement;
  readonly crashWatch: crashWatch.CrashWatch;
}

/** An outcome that is filled in while the run goes on. */
type Writable<Outcome> = { -readonly [Key in keyof Outcome]: Outcome[Key] };

/** The runners of a place. */
export interface RunPlace {
  readonly key: string;
  readonly prefill: runners.Runner | undefined;
  readonly decode: runners.Runner;
}

/** Runs requests: prefill, hand-over, decode. */
export class EngineRuns {
  readonly #options: EngineRunOptions;

  constructor(options: EngineRunOptions) {
    this.#options = options;
  }

  /** Runs a request once; the caller's answer is written as it comes. */
  async run(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    place: RunPlace,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    if (place.prefill !== undefined) {
      const failure = await this.#prefill(call, progress, place, place.prefill);
      if (failure !== undefined) return failure;
    }
    const { prefilled } = progress;
    progress.setPrefilled(undefined);
    const result = await this.#decode(call, progress, place, prefilled, outcome);
    // The prompt is still there for another decode runner.
    if (result.kind === "notRun") progress.setPrefilled(prefilled);
    return result;
  }

  /** Has the prompt read; returns how that failed. */
  async #prefill(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    place: RunPlace,
    runner: runners.Runner,
  ): Promise<modelProgress.RunResult | undefined> {
    const { clock, wire, placement: places } = this.#options;
    const startedAt = clock.now();
    const leftMs = call.deadlineAt - startedAt;
    const limitMs = Math.min(PREFILL_LIMIT_MS, leftMs);
    const options = { deadlineMs: leftMs, stage: runners.STAGE.prefill };
    progress.recordPrefillSent(runner.id);
    try {
      const sent = await this.#send(call, runner, options, limitMs, call.signal);
      const body = await responseReader.readBody(clock, sent.response, WHOLE_BODY);
      if (sent.head.misdirected) places.recordFailedRunner(place.key, runner.id);
      if (!answers.isSuccess(sent.head.status)) {
        const reason = `prefill answered ${sent.head.status}`;
        return { kind: "notRun", reason, excluded: runner.id };
      }
      const now = clock.now();
      places.recordPrefill(place.key, now - startedAt);
      const expiresAt = now + (call.service.engine?.handleTtlMs ?? 0);
      progress.setPrefilled({ runner, handle: wire.parsePrefill(body).handle, expiresAt });
      return undefined;
    } catch (error) {
      // A prefill is no run: it may be repeated whatever became of it.
      this.#recordFailure(call, place, runner, error);
      // An answer that was lost at once says nothing against the runner, which has the prompt now.
      const isLost = !isUnsent(error) && clock.now() - startedAt < limitMs;
      const excluded = isLost ? undefined : runner.id;
      return { kind: "notRun", reason: `prefill: ${String(error)}`, excluded };
    }
  }

  async #decode(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    place: RunPlace,
    prefilled: modelProgress.PrefilledPrompt | undefined,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    const { clock } = this.#options;
    const runner = place.decode;
    const leftMs = call.deadlineAt - clock.now();
    if (leftMs <= 0) return { kind: "notRun", reason: "no time left", excluded: undefined };
    using limit = clocks.createTimeLimit(clock, leftMs, call.signal);
    using watched = this.#options.crashWatch.add(call, runner);
    const options = {
      deadlineMs: leftMs,
      kvSource: prefilled === undefined ? undefined : createSource(prefilled),
      lastEventId: progress.lastEventId,
    };
    try {
      const limitMs = call.route.resumable ? Math.min(leftMs, STREAM_SILENCE_MS) : leftMs;
      const sent = await this.#send(call, runner, options, limitMs, limit.signal);
      if (sent.head.notRun) {
        sent.response.resume();
        if (sent.head.misdirected) this.#options.placement.recordFailedRunner(place.key, runner.id);
        const reason = `runner answered ${sent.head.status}, not run`;
        return { kind: "notRun", reason, excluded: undefined };
      }
      const result = await this.#sendAnswer(call, progress, sent, outcome);
      if (result.kind === "done") watched.recordAnswer();
      return result;
    } catch (error) {
      if (!limit.signal.aborted) await watched.checkBreak();
      this.#recordFailure(call, place, runner, error);
      const reason = `decode: ${String(error)}`;
      return { kind: isUnsent(error) ? "notRun" : "broken", reason, excluded: runner.id };
    }
  }

  async #sendAnswer(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    sent: runnerCalls.RunnerResponse,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    const { head, response } = sent;
    if (answers.isSuccess(head.status) && head.signed) {
      await this.#sendStream(call, progress, sent, outcome);
      return { kind: "done" };
    }
    const body = await responseReader.readBody(this.#options.clock, response, WHOLE_BODY);
    const reason = `runner answered ${head.status}`;
    const isOwnAnswer = !answers.isSuccess(head.status) && !answers.isPromise(head.status);
    if (!isOwnAnswer || progress.started) return { kind: "broken", reason, excluded: undefined };
    call.reply.send(head.status, head.headers, body);
    return { kind: "done" };
  }

  async #sendStream(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    sent: runnerCalls.RunnerResponse,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<void> {
    const { clock } = this.#options;
    const splitter = new eventSplitter.EventSplitter();
    const tokensPerEvent = call.service.engine?.tokensPerEvent ?? 1;
    const isWhole = !progress.started;
    const startedAt = clock.now();
    for await (const chunk of this.#readChunks(call, sent.response)) {
      const events = splitter.push(chunk);
      if (events.count === 0) continue;
      if (!progress.started) call.reply.start(sent.head.status, sent.head.headers);
      progress.recordEvents(events.count, events.lastId, clock.now());
      outcome.outputTokens += events.count * tokensPerEvent;
      outcome.decodeMs = clock.now() - startedAt;
      await call.reply.write(events.bytes, call.signal);
    }
    if (!progress.started) call.reply.start(sent.head.status, sent.head.headers);
    if (splitter.rest.byteLength > 0) await call.reply.write(splitter.rest, call.signal);
    call.reply.close();
    outcome.complete = isWhole;
  }

  #readChunks(call: types.ServedCall, response: http.IncomingMessage): AsyncGenerator<Buffer> {
    const { clock } = this.#options;
    const leftMs = Math.max(1, call.deadlineAt - clock.now());
    const silenceMs = call.route.resumable ? Math.min(leftMs, STREAM_SILENCE_MS) : leftMs;
    return responseReader.readChunks(clock, response, silenceMs);
  }

  #send(
    call: types.ServedCall,
    runner: runners.Runner,
    options: Omit<gateway.RunnerCallOptions, "runnerId">,
    headLimitMs: number,
    signal: AbortSignal,
  ): Promise<runnerCalls.RunnerResponse> {
    const { calls } = this.#options;
    calls.setConnectionLimit(runner, call.service.maxConnections);
    return calls.send({
      runner,
      head: call.head,
      body: call.body,
      options,
      responseHeadTimeoutMs: headLimitMs,
      signal,
    });
  }

  #recordFailure(
    call: types.ServedCall,
    place: RunPlace,
    runner: runners.Runner,
    error: unknown,
  ): void {
    if (call.signal.aborted) return;

    if (isUnsent(error)) {
      this.#options.runners.find(runner.id)?.recordUnreachable();
      this.#options.placement.recordFailedRunner(place.key, runner.id);
    }
    const fields = { request: call.head.id, runner: runner.id, error: String(error) };
    this.#options.log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
  }

  /** Frees a prompt that nobody will fetch; it would lapse by itself a little later. */
  releasePrompt(prefilled: modelProgress.PrefilledPrompt): void {
    const { calls, wire, clock, log } = this.#options;
    if (clock.now() >= prefilled.expiresAt) return;
    const { runner, handle } = prefilled;
    const limit = clocks.createTimeLimit(clock, RELEASE_LIMIT_MS);
    calls
      .sendMessage(runner, wire.formatRelease(handle), RELEASE_LIMIT_MS, limit.signal)
      .catch((error: unknown) => {
        const fields = { runner: runner.id, error: String(error) };
        log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
      })
      .finally(() => {
        limit[Symbol.dispose]();
      });
  }
}

function createSource(prefilled: modelProgress.PrefilledPrompt): gateway.KvSource {
  const { host, port } = prefilled.runner;
  return { host, port, handle: prefilled.handle };
}

function isUnsent(error: unknown): boolean {
  return (
    error instanceof upstream.UpstreamError &&
    error.failure === upstream.UPSTREAM_FAILURE.notConnected
  );
}
