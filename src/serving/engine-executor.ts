/** Executes a model request on the runners of its placement. */
import type * as http from "node:http";
import type * as gateway from "../gateway/types.js";
import type * as runnerPaths from "../handover/runner-paths.js";
import * as clocks from "../kernel/clock.js";
import type * as placementService from "../placement/placement-service.js";
import type * as placementTypes from "../placement/types.js";
import type * as resultCodes from "../protocol/result-codes.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as connectionStarts from "../runners/connection-starts.js";
import type * as runnerPauses from "../runners/runner-pauses.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as sendAccount from "../request/send-account.js";
import * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as streamVersions from "../streams/stream-versions.js";
import * as responseReader from "../upstream/response-reader.js";
import * as answerEnd from "./answer-end.js";
import * as answers from "./answers.js";
import * as crashDetector from "./crash-detector.js";
import * as eventSplitter from "./event-splitter.js";
import type * as modelProgress from "./model-progress.js";
import * as runnerProbe from "./runner-probe.js";
import * as sendCheck from "./send-check.js";
import * as streamRun from "./stream-run.js";
import type * as types from "./types.js";

/**
 * Time limit of a prefill. A prompt is queued for about 150 ms and processed in at most 300 ms; a
 * lost packet is retransmitted after 200 ms.
 */
const PREFILL_TIMEOUT_MS = 1_200;
/**
 * Time without an event after which a resumable stream is abandoned; pauses of preempted runs are
 * shorter.
 */
const STREAM_IDLE_TIMEOUT_MS = 1_500;
const RELEASE_TIMEOUT_MS = 500;
/** Limits of responses that are buffered. */
const BUFFERED_BODY_LIMITS = { maxBytes: 1_048_576, idleTimeoutMs: 1_000 };

const NO_TIME_LEFT: modelProgress.RunResult = {
  kind: "notRun",
  reason: "no time left",
  excluded: undefined,
};

/** Dependencies of the executor. */
export interface EngineExecutorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
  readonly pauses: runnerPauses.PauseTimes;
  readonly placement: placementService.PlacementService;
  readonly crashDetector: crashDetector.CrashDetector;
  readonly streams: streamVersions.StreamVersions;
  readonly paths: Pick<runnerPaths.RunnerPathMonitor, "hasLostPath">;
}

/** An outcome that is filled in during the run. */
type Writable<Outcome> = { -readonly [Key in keyof Outcome]: Outcome[Key] };

/** A placement key with the runners of the placement. */
export interface RunPlacement {
  readonly key: string;
  readonly prefill: runners.Runner | undefined;
  readonly decode: runners.Runner;
}

/** Options and limits of a call to a runner. */
interface SendLimits {
  readonly options: runnerCalls.RunnerCall["options"];
  /** Time limit for the response headers. */
  readonly headLimitMs: number;
  readonly signal: AbortSignal;
}

/** The answer of a decode runner, whose body has not been read yet. */
interface RunAnswer {
  readonly runner: runners.Runner;
  readonly runnerResponse: runnerCalls.RunnerResponse;
  readonly trackedRun: crashDetector.TrackedRun;
}

/** Executes requests in three steps: prefill, transfer of the KV cache, decode. */
export class EngineExecutor {
  readonly #options: EngineExecutorOptions;

  constructor(options: EngineExecutorOptions) {
    this.#options = options;
  }

  /**
   * Executes a request once; streams the response to the caller as it arrives, and records the
   * output in `outcome`.
   *
   * @throws RequestError when the request has crashed several runners.
   */
  async run(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    place: RunPlacement,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    if (place.prefill !== undefined) {
      const failure = await this.#prefill(call, progress, place, place.prefill);
      if (failure !== undefined) return failure;
    }
    const { prefilled } = progress;
    progress.setPrefilled(undefined);
    const result = await this.#decode(call, progress, place, prefilled, outcome);
    // The prefilled prompt can still be used by another decode runner.
    const isUnused = result.kind === "notRun" || result.kind === "noPlace";
    if (isUnused) progress.setPrefilled(prefilled);
    return result;
  }

  /** Runs the prefill; returns the failure, `undefined` on success. */
  async #prefill(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    place: RunPlacement,
    runner: runners.Runner,
  ): Promise<modelProgress.RunResult | undefined> {
    const { clock, codec, placement } = this.#options;
    const refusal = await this.#options.crashDetector.waitUntilAllowed(call);
    if (refusal !== undefined) return createHeldResult(refusal);
    if (!(await sendCheck.checkSendable(clock, call))) return NO_TIME_LEFT;
    if (this.#isPaused(runner)) return createPausedResult(runner);
    const startedAt = clock.now();
    const leftMs = call.deadlineAt - startedAt;
    const limitMs = Math.min(PREFILL_TIMEOUT_MS, leftMs);
    using limit = clocks.createTimeLimit(clock, limitMs, call.signal);
    const options = {
      deadlineMs: leftMs,
      stage: runners.STAGE.prefill,
      ...listCallerOptions(call),
    };
    const send = progress.startPrefill(runner.id);
    using trackedRun = this.#options.crashDetector.add(call, runner, sendAccount.SEND_STEP.prefill);
    try {
      const message = this.#createRunnerCall(call, runner, {
        options,
        headLimitMs: limitMs,
        signal: limit.signal,
      });
      const runnerResponse = await this.#options.calls.send(message);
      trackedRun.recordAnswer();
      const body = await this.#readBody(call, runnerResponse.response);
      call.buffers.release(body.byteLength);
      if (runnerResponse.head.misdirected)
        placement.recordFailedRunner(call.service.name, place.key, runner.id);
      if (runnerResponse.head.notRun) send.recordRejected();
      if (!answers.isSuccess(runnerResponse.head.status)) {
        const reason = `prefill answered ${runnerResponse.head.status}`;
        return { kind: "notRun", reason, excluded: runner.id };
      }
      trackedRun.recordCompletion(runnerResponse.head);
      const now = clock.now();
      placement.recordPrefill(place.key, now - startedAt);
      const expiresAt = now + (call.service.engine?.handleTtlMs ?? 0);
      progress.setPrefilled({ runner, handle: codec.parsePrefill(body).handle, expiresAt });
      return undefined;
    } catch (error) {
      if (runnerProbe.isUnsent(error)) send.recordNotSent();
      // A prefill has no side effects: it may be repeated whatever its outcome.
      const isTimedOut = call.signal.aborted || clock.now() - startedAt >= limitMs;
      const end = crashDetector.chooseUnansweredEnd(call.signal, call.signal);
      await trackedRun.handleUnanswered(end, error);
      this.#recordFailure(call, place, runner, error);
      // A connection that broke before the timeout is no reason to exclude the runner, which may have the
      // prompt in its cache by now.
      const isLostResponse = !runnerProbe.isUnsent(error) && !isTimedOut;
      const excluded = isLostResponse ? undefined : runner.id;
      return { kind: "notRun", reason: `prefill: ${String(error)}`, excluded };
    }
  }

  async #decode(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    place: RunPlacement,
    prefilled: modelProgress.PrefilledPrompt | undefined,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    const { clock } = this.#options;
    const runner = place.decode;
    const refusal = await this.#options.crashDetector.waitUntilAllowed(call);
    if (refusal !== undefined) return createHeldResult(refusal);
    if (!(await sendCheck.checkSendable(clock, call))) return NO_TIME_LEFT;
    const leftMs = call.deadlineAt - clock.now();
    if (this.#options.runners.hasDrained(runner.id))
      return { kind: "notRun", reason: "runner left during the prefill", excluded: runner.id };
    if (this.#isPaused(runner)) return createPausedResult(runner);
    this.#recordRun(call, progress, runner);
    const send = progress.startDecode(runner);
    using limit = clocks.createTimeLimit(clock, leftMs, call.signal);
    using trackedRun = this.#options.crashDetector.add(call, runner, sendAccount.SEND_STEP.run);
    const options = {
      deadlineMs: leftMs,
      kvSource: prefilled === undefined ? undefined : createKvSource(prefilled),
      lastEventId: progress.lastEventId,
      ...listCallerOptions(call),
    };
    try {
      const limitMs = call.route.resumable ? Math.min(leftMs, STREAM_IDLE_TIMEOUT_MS) : leftMs;
      const runnerResponse = await this.#sendRun(call, progress, runner, {
        options,
        headLimitMs: limitMs,
        signal: limit.signal,
      });
      trackedRun.recordAnswer();
      if (runnerResponse.head.notRun) {
        send.recordRejected();
        void this.#readBody(call, runnerResponse.response).catch(() => undefined);
        if (runnerResponse.head.misdirected)
          this.#options.placement.recordFailedRunner(call.service.name, place.key, runner.id);
        const reason = `runner answered ${runnerResponse.head.status}, not run`;
        return { kind: "notRun", reason, excluded: undefined };
      }
      const answer = { runner, runnerResponse, trackedRun };
      const result = await this.#sendAnswer(call, progress, answer, outcome);
      if (result.kind === "done") trackedRun.recordCompletion(runnerResponse.head);
      return result;
    } catch (error) {
      const end = crashDetector.chooseUnansweredEnd(call.signal, limit.signal);
      await trackedRun.handleUnanswered(end, error);
      this.#recordFailure(call, place, runner, error);
      const reason = `decode: ${String(error)}`;
      const isUnsent = runnerProbe.isUnsent(error);
      if (isUnsent) send.recordNotSent();
      return { kind: isUnsent ? "notRun" : "broken", reason, excluded: runner.id };
    }
  }

  async #sendAnswer(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    answer: RunAnswer,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    const { head, response } = answer.runnerResponse;
    const isSignedSuccess = answers.isSuccess(head.status) && head.signed;
    const fault = isSignedSuccess ? streamRun.findHeadFault(response) : undefined;
    if (fault !== undefined) return createFaultResult(answer, fault);
    if (isSignedSuccess) return await this.#sendStream(call, progress, answer, outcome);
    const body = await this.#readBody(call, response);
    await answerEnd.checkAnswerEnd(this.#options, answer.runner, response);
    const reason = `runner answered ${head.status}`;
    const isForwardableError =
      !answers.isSuccess(head.status) && !answers.isNotRunStatus(head.status);
    if (!isForwardableError || progress.started)
      return { kind: "broken", reason, excluded: undefined };
    call.reply.send(head.status, head.headers, body);
    return { kind: "done" };
  }

  async #sendStream(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    answer: RunAnswer,
    outcome: Writable<placementTypes.RunOutcome>,
  ): Promise<modelProgress.RunResult> {
    const { clock } = this.#options;
    const { runner, runnerResponse, trackedRun } = answer;
    const splitter = new eventSplitter.EventSplitter();
    const tokensPerEvent = call.service.engine?.tokensPerEvent ?? 1;
    const isWhole = !progress.started;
    const eventsBefore = progress.eventCount;
    const startedAt = clock.now();
    for await (const chunk of this.#readChunks(call, runnerResponse.response)) {
      const { heldBytes } = splitter;
      call.buffers.add(chunk.byteLength);
      const events = splitter.push(chunk);
      call.buffers.release(heldBytes + chunk.byteLength - splitter.heldBytes);
      if (events.bytes.byteLength === 0) continue;
      const isFirst = progress.eventCount === eventsBefore;
      const fault = isFirst ? progress.findOrderFault(events.firstId) : undefined;
      if (fault !== undefined) return createFaultResult(answer, fault);
      if (!progress.started)
        call.reply.start(runnerResponse.head.status, runnerResponse.head.headers);
      if (events.count > 0) {
        trackedRun.recordEvent();
        progress.recordEvents(events, clock.now());
        outcome.outputTokens += events.count * tokensPerEvent;
        outcome.decodeMs = clock.now() - startedAt;
      }
      await call.reply.write(events.bytes, call.signal);
    }
    const runEvents = progress.eventCount - eventsBefore;
    const isUnframed = responseReader.isEndedByConnection(runnerResponse.response);
    if (isUnframed)
      this.#recordUnframedEnd(call, runner, {
        events: runEvents,
        eventsBefore,
        restBytes: splitter.heldBytes,
      });
    if (splitter.heldBytes > 0)
      throw new Error(`stream ended inside an event, after ${splitter.heldBytes} bytes of it`);
    if (runEvents === 0 && !progress.isExhausted) {
      const fault = "ended before the first event of the run";
      if (isUnframed) throw new Error(`stream ${fault}`);
      return createFaultResult(answer, fault);
    }
    await answerEnd.checkAnswerEnd(this.#options, runner, runnerResponse.response);
    if (!progress.started)
      call.reply.start(runnerResponse.head.status, runnerResponse.head.headers);
    call.reply.close();
    outcome.complete = isWhole;
    return { kind: "done" };
  }

  #recordRun(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    { id, bornAt, softwareVersion }: runners.Runner,
  ): void {
    const { id: request, firstAttemptId } = call.head;
    this.#options.log.write(logEvents.LOG_EVENTS.runStarted, {
      request,
      firstAttempt: firstAttemptId,
      lastEvent: progress.lastEventId,
      runner: id,
      bornAt,
      softwareVersion,
      streamVersion: progress.softwareVersion,
    });
  }

  /** Records a stream without a length or chunks whose connection was closed. */
  #recordUnframedEnd(
    call: types.ServedCall,
    { id, bornAt }: runners.Runner,
    counts: Readonly<Record<"events" | "eventsBefore" | "restBytes", number>>,
  ): void {
    const fields = { request: call.head.id, runner: id, bornAt, ...counts };
    this.#options.log.write(logEvents.LOG_EVENTS.unframedStreamEnded, fields);
  }

  #readBody(call: types.ServedCall, response: http.IncomingMessage): Promise<Buffer> {
    const limits = { ...BUFFERED_BODY_LIMITS, buffers: call.buffers };
    return responseReader.readBody(this.#options.clock, response, limits);
  }

  #readChunks(call: types.ServedCall, response: http.IncomingMessage): AsyncGenerator<Buffer> {
    const { clock } = this.#options;
    const leftMs = Math.max(1, call.deadlineAt - clock.now());
    const idleTimeoutMs = call.route.resumable ? Math.min(leftMs, STREAM_IDLE_TIMEOUT_MS) : leftMs;
    return responseReader.readChunks(clock, response, idleTimeoutMs);
  }

  /**
   * Sends a run to a decode runner. A run that resumes a stream goes to the listed start of the runner only, whose version
   * is known; for any other the start is found out meanwhile.
   */
  #sendRun(
    call: types.ServedCall,
    progress: modelProgress.ModelProgress,
    runner: runners.Runner,
    limits: SendLimits,
  ): Promise<runnerCalls.RunnerResponse> {
    const { calls, streams } = this.#options;
    const message = this.#createRunnerCall(call, runner, limits);
    const run = progress.placementCount;
    if (progress.softwareVersion !== undefined) {
      streams.recordResumed(call, runner, run);
      return calls.sendToStart(message);
    }
    const onConnection = (connection: connectionStarts.Connection): void => {
      progress.setOrigin(streams.recordBegin(call, runner, connection, run));
    };
    return calls.send({ ...message, onConnection });
  }

  #createRunnerCall(
    call: types.ServedCall,
    runner: runners.Runner,
    { options, headLimitMs, signal }: SendLimits,
  ): runnerCalls.RunnerCall {
    this.#options.calls.setConnectionLimit(runner, call.service.maxConnections);
    const { head, body } = call;
    return { runner, head, body, options, headersTimeoutMs: headLimitMs, signal };
  }

  #recordFailure(
    call: types.ServedCall,
    place: RunPlacement,
    runner: runners.Runner,
    error: unknown,
  ): void {
    if (call.signal.aborted) return;

    if (runnerProbe.isUnsent(error)) {
      this.#options.runners.find(runner.id)?.recordUnreachable();
      void this.#recordUnreached(call, place, runner);
    }
    const fields = { request: call.head.id, runner: runner.id, error: String(error) };
    this.#options.log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
  }

  /** Tells the scheduler of a runner that could not be reached, unless only this VM does not reach it. */
  async #recordUnreached(
    call: types.ServedCall,
    place: RunPlacement,
    runner: runners.Runner,
  ): Promise<void> {
    const { paths, placement } = this.#options;
    if (await paths.hasLostPath(runner)) return;
    placement.recordFailedRunner(call.service.name, place.key, runner.id);
  }

  #isPaused(runner: runners.Runner): boolean {
    return this.#options.pauses.computePause(runner) > 0;
  }

  /** Releases a prefilled prompt that will not be fetched, if the runner still keeps it and wants no pause. */
  releasePrefilled(prefilled: modelProgress.PrefilledPrompt): void {
    const { calls, codec, clock, log } = this.#options;
    const { runner, handle } = prefilled;
    if (clock.now() >= prefilled.expiresAt || this.#isPaused(runner)) return;
    const limit = clocks.createTimeLimit(clock, RELEASE_TIMEOUT_MS);
    calls
      .sendMessage(runner, codec.formatRelease(handle), RELEASE_TIMEOUT_MS, limit.signal)
      .catch((error: unknown) => {
        const fields = { runner: runner.id, error: String(error) };
        log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
      })
      .finally(() => {
        limit[Symbol.dispose]();
      });
  }
}

/** Returns what a runner is told of the caller. */
function listCallerOptions({
  team,
  priority,
}: types.ServedCall): Pick<gateway.RunnerCallOptions, "teamName" | "priority"> {
  return { teamName: team?.name, priority };
}

function createKvSource(prefilled: modelProgress.PrefilledPrompt): gateway.KvSource {
  const { host, port } = prefilled.runner;
  return { host, port, handle: prefilled.handle };
}

/** Closes the connection of an answer that is not the stream that was asked for; it may have run. */
function createFaultResult(
  { runner, runnerResponse }: RunAnswer,
  fault: string,
): modelProgress.RunResult {
  runnerResponse.response.destroy();
  const reason = `runner answered ${runnerResponse.head.status}: ${fault}`;
  return { kind: "broken", reason, excluded: runner.id };
}

/** The runner is left out of placements for the time of its pause only. */
function createPausedResult({ id }: runners.Runner): modelProgress.RunResult {
  return { kind: "notRun", reason: `${id} asked for a pause`, excluded: undefined };
}

function createHeldResult(refusal: resultCodes.RequestError): modelProgress.RunResult {
  const retryAfterMs = refusal.retryAfterMs ?? 0;
  return { kind: "noPlace", reason: refusal.message, retryAfterMs };
}
