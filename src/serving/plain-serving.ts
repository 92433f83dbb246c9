/** Serves calls to plain services: one runner, and another one only where that cannot run a call twice. */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import * as routing from "../routing/types.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerRecord from "../runners/runner-record.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as responseReader from "../upstream/response-reader.js";
import * as upstream from "../upstream/types.js";
import * as answers from "./answers.js";
import type * as crashWatch from "./crash-watch.js";
import * as plainChoice from "./plain-choice.js";
import type * as repeatBudgets from "./repeat-budgets.js";
import type * as types from "./types.js";

/** Largest answer that is kept until it is whole; the deployments' answers have some kilobytes. */
const MAX_ANSWER_BYTES = 16_777_216;
/** When to come back to a service whose runners are full: a few answers of usual length. */
const FULL_RETRY_MS = 150;
/** When to come back to a service without runners: the platform lists a new one about this soon. */
const ABSENT_RETRY_MS = 500;
/**
 * Part of the time left that the first of several tries may take without a sign of an answer. Answers
 * take a tenth of it; what is silent for longer has mostly lost its answer.
 */
const FIRST_TRY_SHARE = 0.6;
/** Below this time left a call is not sent: it could not be answered. */
const SHORTEST_CALL_MS = 10;

/** What plain serving works with. */
export interface PlainServingOptions {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly zone: string;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly budgets: repeatBudgets.RepeatBudgets;
  readonly crashWatch: crashWatch.CrashWatch;
}

/** A whole answer of a runner. */
interface WholeAnswer {
  readonly head: gateway.RunnerResponseHead;
  readonly body: Buffer;
}

/** What one try brought. */
type TryResult =
  | { readonly kind: "answered"; readonly answer: WholeAnswer }
  /** The runner says, or it is certain, that the call did not run. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** It may have run. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Serves the calls of routes that carry no model requests. */
export class PlainServing {
  readonly #options: PlainServingOptions;

  constructor(options: PlainServingOptions) {
    this.#options = options;
  }

  /** @throws RequestError when the caller gets no answer of a runner. */
  async serve(call: types.ServedCall): Promise<void> {
    const { budgets } = this.#options;
    budgets.recordCall(call.service.name);
    const tried = new Set<string>();
    let last: TryResult | undefined;
    let best: TryResult | undefined;
    for (let attempt = 1; attempt <= call.route.maxAttempts; attempt += 1) {
      if (last !== undefined && !this.#canRepeat(call, last)) break;
      const record = this.#chooseRunner(call, tried);
      if (record === undefined) break;
      tried.add(record.runner.id);
      if (last !== undefined) this.#recordRepeat(call, record, last);
      last = await this.#callRunner(call, record, attempt);
      call.signal.throwIfAborted();
      best = chooseBetter(best, last);
      if (isFinal(call, last)) break;
    }
    this.#sendResult(call, best);
  }

  #chooseRunner(
    call: types.ServedCall,
    tried: ReadonlySet<string>,
  ): runnerRecord.RunnerRecord | undefined {
    const { runners, zone, random: source } = this.#options;
    return plainChoice.chooseRunner(runners.listUsable(call.service.name), tried, zone, source);
  }

  /** Whether another runner may get the call; takes a repeat out of the budget. */
  #canRepeat(call: types.ServedCall, last: TryResult): boolean {
    const isRepeatable = last.kind === "notRun" || call.route.kind === routing.CALL_KIND.safe;
    const hasTime = call.deadlineAt - this.#options.clock.now() > SHORTEST_CALL_MS;
    return isRepeatable && hasTime && this.#options.budgets.reserve(call.service.name);
  }

  async #callRunner(
    call: types.ServedCall,
    record: runnerRecord.RunnerRecord,
    attempt: number,
  ): Promise<TryResult> {
    const { clock, calls } = this.#options;
    const leftMs = call.deadlineAt - clock.now();
    if (leftMs < SHORTEST_CALL_MS) return { kind: "notRun", reason: "no time left" };
    calls.setConnectionLimit(record.runner, call.service.maxConnections);
    const endCall = record.startCall();
    using limit = clocks.createTimeLimit(clock, leftMs, call.signal);
    using watched = this.#options.crashWatch.add(call, record.runner);
    try {
      const sent = await calls.send({
        runner: record.runner,
        head: call.head,
        body: call.body,
        options: { deadlineMs: leftMs },
        responseHeadTimeoutMs: leftMs * this.#getTryShare(call, attempt),
        signal: limit.signal,
      });
      const limits = { maxBytes: MAX_ANSWER_BYTES, idleTimeoutMs: leftMs };
      const body = await responseReader.readBody(clock, sent.response, limits);
      endCall();
      watched.recordAnswer();
      return this.#createResult(record, { head: sent.head, body });
    } catch (error) {
      if (!limit.signal.aborted) await watched.checkBreak();
      return this.#createFailure(call, record, error);
    } finally {
      endCall();
    }
  }

  /** Returns the part of the time left that a try may wait; only who may be repeated is cut short. */
  #getTryShare(call: types.ServedCall, attempt: number): number {
    const isRepeatable = call.route.kind === routing.CALL_KIND.safe;
    return isRepeatable && attempt < call.route.maxAttempts ? FIRST_TRY_SHARE : 1;
  }

  #createResult(record: runnerRecord.RunnerRecord, answer: WholeAnswer): TryResult {
    const { head } = answer;
    if (head.load !== undefined) record.recordLoad(head.load);
    if (head.misdirected) record.recordUnreachable();
    else record.recordResult(!answers.isServerError(head.status));
    if (head.notRun) return { kind: "notRun", reason: `runner answered ${head.status}, not run` };
    const isUnsigned = answers.isSuccess(head.status) && !head.signed;
    if (isUnsigned) return { kind: "unknown", reason: "unsigned success" };
    // Without the runner's word, a status that promises "not run" cannot be passed on.
    const isPromise = answers.isPromise(head.status);
    return isPromise
      ? { kind: "unknown", reason: `runner answered ${head.status}` }
      : { kind: "answered", answer };
  }

  #createFailure(
    call: types.ServedCall,
    record: runnerRecord.RunnerRecord,
    error: unknown,
  ): TryResult {
    const { log } = this.#options;
    const isUnsent =
      error instanceof upstream.UpstreamError &&
      error.failure === upstream.UPSTREAM_FAILURE.notConnected;
    if (!call.signal.aborted) {
      if (isUnsent) record.recordUnreachable();
      else record.recordResult(false);
      const fields = { request: call.head.id, runner: record.runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
    }
    return { kind: isUnsent ? "notRun" : "unknown", reason: String(error) };
  }

  #recordRepeat(call: types.ServedCall, record: runnerRecord.RunnerRecord, last: TryResult): void {
    this.#options.metrics.count("repeats", { service: call.service.name });
    this.#options.log.write(logEvents.LOG_EVENTS.requestRetried, {
      request: call.head.id,
      runner: record.runner.id,
      before: formatResult(last),
    });
  }

  #sendResult(call: types.ServedCall, result: TryResult | undefined): void {
    if (result === undefined) throw answers.createRefusal(ABSENT_RETRY_MS, "no runner is listed");
    if (result.kind === "notRun") throw answers.createRefusal(FULL_RETRY_MS, result.reason);
    if (result.kind === "answered") {
      const { head, body } = result.answer;
      call.reply.send(head.status, head.headers, body);
      return;
    }
    const isOver = this.#options.clock.now() >= call.deadlineAt;
    throw isOver ? answers.createTimeout(result.reason) : answers.createFailure(result.reason);
  }
}

/** Whether a result is the caller's answer, and no other runner is to be asked. */
function isFinal(call: types.ServedCall, result: TryResult): boolean {
  if (result.kind !== "answered") return false;
  const isRepeatable = call.route.kind === routing.CALL_KIND.safe;
  return !isRepeatable || !answers.isServerError(result.answer.head.status);
}

/** How much a result says: a runner's own answer most, "not run" only if it holds for every try. */
const RESULT_RANK = { notRun: 0, unknown: 1, answered: 2 } as const;

function chooseBetter(before: TryResult | undefined, last: TryResult): TryResult {
  if (before === undefined) return last;
  return RESULT_RANK[last.kind] >= RESULT_RANK[before.kind] ? last : before;
}

function formatResult(result: TryResult): string {
  return result.kind === "answered" ? `status ${result.answer.head.status}` : result.reason;
}
