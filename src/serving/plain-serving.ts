/**
 * Serves calls to plain services on one runner. Retries on another runner only if the call is known
 * not to have run or is idempotent.
 */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import type * as retryBudgets from "../request/retry-budgets.js";
import * as sendAccount from "../request/send-account.js";
import * as routing from "../routing/types.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerLimits from "../runners/runner-limits.js";
import * as runnerPauses from "../runners/runner-pauses.js";
import type * as runnerRecord from "../runners/runner-record.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runnerTypes from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as bulkReads from "../upstream/bulk-reads.js";
import * as endlessAnswer from "../upstream/endless-answer.js";
import * as responseReader from "../upstream/response-reader.js";
import * as answerEnd from "./answer-end.js";
import * as answers from "./answers.js";
import * as crashDetector from "./crash-detector.js";
import * as plainRunnerChoice from "./plain-runner-choice.js";
import * as runnerProbe from "./runner-probe.js";
import * as sendCheck from "./send-check.js";
import type * as types from "./types.js";

/** Maximum size of a response, which is buffered; typical ones have some kilobytes. */
const MAX_RESPONSE_BYTES = 16_777_216;
/**
 * Retry time when no runner ran the call, usually because all are full: the duration of a few
 * typical calls.
 */
const FULL_RETRY_AFTER_MS = 150;
/** Retry time when no runner is listed; the platform lists a new one within about this time. */
const NO_RUNNER_RETRY_AFTER_MS = 500;
/**
 * Fraction of the remaining time that an attempt may wait for the head of the response while
 * another attempt is possible. Responses usually take a tenth of the remaining time; one that takes
 * longer than this fraction is usually lost.
 */
const NON_FINAL_WAIT_SHARE = 0.6;
/** Runners that are tried beyond the limit of the route when connections to earlier ones were not made. */
const MAX_UNSENT_TRIES = 2;
/** Minimum remaining time to send a call; with less it could not be answered in time. */
const MIN_CALL_MS = 10;

/** Dependencies of plain serving. */
export interface PlainServingOptions {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly zone: string;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
  readonly limits: Pick<runnerLimits.RunnerLimits, "reserveSend">;
  readonly pauses: runnerPauses.PauseTimes;
  readonly budgets: retryBudgets.RetryBudgets;
  readonly crashDetector: crashDetector.CrashDetector;
  /** Whether this VM reached a runner when it last tried; by default it is taken to reach all. */
  readonly isReachable?: (runnerId: string) => boolean;
}

/** A complete response of a runner. */
interface BufferedResponse {
  readonly head: gateway.RunnerResponseHead;
  readonly body: Buffer;
}

const LIMIT_TEXT = "all runners have reached the limits that they named";
/** Shortest pause that counts as no failure; a shorter one keeps hardly any call away, so the failure rate has to. */
const MIN_HEALTHY_PAUSE_MS = 250;
const PAUSE_TEXT = "all runners have asked for a pause";

/** Result of one attempt. */
type AttemptResult =
  | { readonly kind: "answered"; readonly answer: BufferedResponse }
  /** The call certainly did not run, by the runner's statement or because it was not sent. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** The call may have run. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Serves the calls of routes that are not for model requests. */
export class PlainServing {
  readonly #options: PlainServingOptions;
  readonly #bulkReads = new WeakMap<runnerRecord.RunnerRecord, bulkReads.BulkReads>();

  constructor(options: PlainServingOptions) {
    this.#options = options;
  }

  /**
   * Serves a call.
   *
   * @throws RequestError when no runner's response can be returned; the signal's reason when the
   * caller disconnects.
   */
  async serve(call: types.ServedCall): Promise<void> {
    const { budgets } = this.#options;
    const { name } = call.service;
    using account = budgets.createAccount(name, call.route.maxAttempts, call.isCounted);
    try {
      await this.#serveWithin(call, account);
    } catch (error) {
      throw answers.chooseEndError(error, call.signal, account);
    }
  }

  /** Serves a call; its sends are counted in `account`. */
  async #serveWithin(call: types.ServedCall, account: sendAccount.SendAccount): Promise<void> {
    const triedIds = new Set<string>();
    let lastResult: AttemptResult | undefined;
    let bestResult: AttemptResult | undefined;
    const { maxAttempts } = call.route;
    while (account.arrivalCount < maxAttempts && triedIds.size < maxAttempts + MAX_UNSENT_TRIES) {
      if (lastResult !== undefined && !this.#canRetry(call, lastResult, account)) break;
      const record = await this.#reserveRunner(call, triedIds, hasNotRun(bestResult));
      if (record === undefined) break;
      const refusal = await this.#options.crashDetector.waitUntilAllowed(call);
      if (refusal !== undefined && hasNotRun(bestResult)) throw refusal;
      if (refusal !== undefined) break;
      if (!(await sendCheck.checkSendable(this.#options.clock, call, MIN_CALL_MS))) {
        bestResult ??= { kind: "notRun", reason: "no time left" };
        break;
      }
      if (this.#isPaused(record.runner)) continue;
      triedIds.add(record.runner.id);
      if (lastResult !== undefined) this.#recordRetry(call, record, lastResult);
      lastResult = await this.#callRunner(call, record, account, this.#hasOther(call, triedIds));
      call.signal.throwIfAborted();
      bestResult = chooseBetterResult(bestResult, lastResult);
      if (isFinal(call, lastResult)) break;
    }
    if (hasNotRun(bestResult)) this.#checkPauses(call.service.name);
    this.#sendResult(call, bestResult, account.hasReachedNone);
  }

  /**
   * Chooses a runner and reserves a send from its limit, if it named one.
   *
   * @throws RequestError when all runners have reached their limits or want a pause, and the call has not run.
   */
  async #reserveRunner(
    call: types.ServedCall,
    triedIds: ReadonlySet<string>,
    isNotRun: boolean,
  ): Promise<runnerRecord.RunnerRecord | undefined> {
    const { limits, metrics } = this.#options;
    const service = call.service.name;
    const waits = new Map<string, number>();
    for (;;) {
      const record = this.#chooseRunner(call, new Set([...triedIds, ...waits.keys()]));
      if (record === undefined) break;
      const waitMs = await limits.reserveSend(service, record.runner, call.signal);
      if (waitMs === 0) return record;
      waits.set(record.runner.id, waitMs);
    }
    if (!isNotRun) return undefined;
    this.#checkPauses(service);
    if (waits.size === 0) return undefined;
    metrics.count("limit_refusals", { service });
    throw answers.createRefusal(Math.min(...waits.values()), LIMIT_TEXT);
  }

  /** @throws RequestError when all runners of a service want a pause. */
  #checkPauses(service: string): void {
    const { pauses, runners, metrics } = this.#options;
    const listed = runners.listUsable(service).map(({ runner }) => runner);
    const pauseMs = runnerPauses.computeCommonPause(pauses, listed);
    if (pauseMs === undefined) return;
    metrics.count("pause_refusals", { service });
    throw answers.createRefusal(pauseMs, PAUSE_TEXT);
  }

  #isPaused(runner: runnerTypes.Runner): boolean {
    return this.#options.pauses.computePause(runner) > 0;
  }

  #chooseRunner(
    call: types.ServedCall,
    triedIds: ReadonlySet<string>,
  ): runnerRecord.RunnerRecord | undefined {
    const { runners, zone, random: source, isReachable } = this.#options;
    return plainRunnerChoice.chooseRunner(
      runners.listUsable(call.service.name),
      triedIds,
      zone,
      source,
      isReachable,
      (runner) => this.#isPaused(runner),
    );
  }

  /** Whether a runner is left that was not tried and can be reached. */
  #hasOther(call: types.ServedCall, triedIds: ReadonlySet<string>): boolean {
    const { runners, isReachable = () => true } = this.#options;
    return runners
      .listUsable(call.service.name)
      .filter(({ runner: { id }, isRefused }) => !triedIds.has(id) && !isRefused && isReachable(id))
      .some(({ runner }) => !this.#isPaused(runner));
  }

  /**
   * Whether the call may be sent to another runner; takes a retry from the budget if its other
   * conditions hold.
   */
  #canRetry(
    call: types.ServedCall,
    lastResult: AttemptResult,
    account: sendAccount.SendAccount,
  ): boolean {
    const isRepeatable = lastResult.kind === "notRun" || call.route.kind === routing.CALL_KIND.safe;
    if (this.#options.crashDetector.isQuarantined(call)) return false;
    const hasTime = call.deadlineAt - this.#options.clock.now() > MIN_CALL_MS;
    return isRepeatable && hasTime && account.reserve([sendAccount.SEND_STEP.run]);
  }

  async #callRunner(
    call: types.ServedCall,
    record: runnerRecord.RunnerRecord,
    account: sendAccount.SendAccount,
    hasOther: boolean,
  ): Promise<AttemptResult> {
    const { clock, calls } = this.#options;
    const leftMs = call.deadlineAt - clock.now();
    if (leftMs < MIN_CALL_MS) return { kind: "notRun", reason: "no time left" };
    calls.setConnectionLimit(record.runner, call.service.maxConnections);
    const endCall = record.startCall();
    const send = account.startSend(record.runner.id, sendAccount.SEND_STEP.run);
    using limit = clocks.createTimeLimit(clock, leftMs, call.signal);
    using trackedRun = this.#options.crashDetector.add(
      call,
      record.runner,
      sendAccount.SEND_STEP.run,
    );
    try {
      const runnerResponse = await calls.send({
        runner: record.runner,
        head: call.head,
        body: call.body,
        options: { deadlineMs: leftMs, teamName: call.team?.name },
        headersTimeoutMs: hasOther ? leftMs * getWaitShare(call, account) : leftMs,
        signal: limit.signal,
      });
      trackedRun.recordAnswer();
      if (runnerResponse.head.notRun) send.recordRejected();
      const { buffers } = call;
      const bulk = { reads: this.#useBulkReads(record), signal: limit.signal };
      const limits = { maxBytes: MAX_RESPONSE_BYTES, idleTimeoutMs: leftMs, buffers, bulk };
      const body = await responseReader.readBody(clock, runnerResponse.response, limits);
      if (!runnerResponse.head.notRun)
        await answerEnd.checkAnswerEnd(this.#options, record.runner, runnerResponse.response);
      endCall();
      trackedRun.recordCompletion(runnerResponse.head);
      return this.#handleResponse(record, { head: runnerResponse.head, body });
    } catch (error) {
      if (runnerProbe.isUnsent(error)) send.recordNotSent();
      const end = crashDetector.chooseUnansweredEnd(call.signal, limit.signal);
      await trackedRun.handleUnanswered(end, error);
      return this.#handleError(call, record, error);
    } finally {
      endCall();
    }
  }

  #useBulkReads(record: runnerRecord.RunnerRecord): bulkReads.BulkReads {
    const known = this.#bulkReads.get(record);
    if (known !== undefined) return known;
    const created = new bulkReads.BulkReads();
    this.#bulkReads.set(record, created);
    return created;
  }

  /** Records the health and load that a response shows; returns the result of the attempt. */
  #handleResponse(record: runnerRecord.RunnerRecord, answer: BufferedResponse): AttemptResult {
    const { head } = answer;
    const pauseMs = head.pause.kind === "named" ? head.pause.durationMs : 0;
    if (head.load !== undefined) record.recordLoad(head.load);
    if (head.misdirected) record.recordUnreachable();
    else if (!head.notRun || pauseMs < MIN_HEALTHY_PAUSE_MS)
      record.recordResult(!answers.isServerError(head.status));
    if (head.notRun) return { kind: "notRun", reason: `runner answered ${head.status}, not run` };
    const isUnsigned = answers.isSuccess(head.status) && !head.signed;
    if (isUnsigned) return { kind: "unknown", reason: "unsigned success" };
    // A status that guarantees "not run" can't be passed on unless the runner itself states it.
    const isNotRunStatus = answers.isNotRunStatus(head.status);
    return isNotRunStatus
      ? { kind: "unknown", reason: `runner answered ${head.status}` }
      : { kind: "answered", answer };
  }

  /** Records the failure of an attempt; returns its result. */
  #handleError(
    call: types.ServedCall,
    record: runnerRecord.RunnerRecord,
    error: unknown,
  ): AttemptResult {
    const { log } = this.#options;
    const isUnsent = runnerProbe.isUnsent(error);
    if (!call.signal.aborted) {
      if (isUnsent) record.recordUnreachable();
      else if (endlessAnswer.isEndlessAnswer(error)) record.recordEndlessAnswer();
      else record.recordResult(false);
      const fields = { request: call.head.id, runner: record.runner.id, error: String(error) };
      const limitMs = Math.round(call.deadlineAt - call.arrivedAt);
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, { ...fields, limitMs });
    }
    return { kind: isUnsent ? "notRun" : "unknown", reason: String(error) };
  }

  #recordRetry(
    call: types.ServedCall,
    record: runnerRecord.RunnerRecord,
    lastResult: AttemptResult,
  ): void {
    this.#options.metrics.count("repeats", { service: call.service.name });
    this.#options.log.write(logEvents.LOG_EVENTS.requestRetried, {
      request: call.head.id,
      runner: record.runner.id,
      before: formatResult(lastResult),
    });
  }

  #sendResult(
    call: types.ServedCall,
    result: AttemptResult | undefined,
    hasReachedNone: boolean,
  ): void {
    if (result === undefined)
      throw answers.createRefusal(NO_RUNNER_RETRY_AFTER_MS, "no runner is listed");
    if (result.kind === "notRun")
      throw answers.createUnservedRefusal(FULL_RETRY_AFTER_MS, result.reason, hasReachedNone);
    if (result.kind === "answered") {
      const { head, body } = result.answer;
      call.reply.send(head.status, head.headers, body);
      return;
    }
    const isDeadlinePassed = this.#options.clock.now() >= call.deadlineAt;
    throw isDeadlinePassed
      ? answers.createTimeout(result.reason)
      : answers.createFailure(result.reason);
  }
}

/**
 * Returns the fraction of the remaining time that an attempt may wait; it is below 1 only for calls that can be sent to
 * another runner.
 */
function getWaitShare(call: types.ServedCall, account: sendAccount.SendAccount): number {
  const isRepeatable = call.route.kind === routing.CALL_KIND.safe;
  return isRepeatable && account.arrivalCount < call.route.maxAttempts ? NON_FINAL_WAIT_SHARE : 1;
}

/** Whether a result is returned to the caller without another attempt. */
function isFinal(call: types.ServedCall, result: AttemptResult): boolean {
  if (result.kind !== "answered") return false;
  const isRepeatable = call.route.kind === routing.CALL_KIND.safe;
  return !isRepeatable || !answers.isServerError(result.answer.head.status);
}

/**
 * Precedence of results. A runner's response is best, and "not run" counts only if it holds for
 * every attempt.
 */
const RESULT_RANK = { notRun: 0, unknown: 1, answered: 2 } as const;

function chooseBetterResult(
  bestResult: AttemptResult | undefined,
  lastResult: AttemptResult,
): AttemptResult {
  if (bestResult === undefined) return lastResult;
  return RESULT_RANK[lastResult.kind] >= RESULT_RANK[bestResult.kind] ? lastResult : bestResult;
}

/** Whether no attempt of a call has run, or may have run. */
function hasNotRun(bestResult: AttemptResult | undefined): boolean {
  return bestResult === undefined || bestResult.kind === "notRun";
}

function formatResult(result: AttemptResult): string {
  return result.kind === "answered" ? `status ${result.answer.head.status}` : result.reason;
}
