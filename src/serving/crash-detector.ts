/**
 * Detects requests that crash their runners, so that they are not sent to further runners. A runner that crashes
 * resets its connections or falls silent; silence alone shows nothing, so the runs that it ended wait for a verdict.
 */
import type * as callerTypes from "../caller/types.js";
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as resultCodes from "../protocol/result-codes.js";
import * as crashTracker from "../request/crash-tracker.js";
import * as runHolds from "../request/run-holds.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as answers from "./answers.js";
import * as runnerProbe from "./runner-probe.js";
import * as runnerStarts from "./runner-starts.js";
import type * as types from "./types.js";

const { PROBE_RESULT } = runnerProbe;

/** Interval between two probes of a runner with unsettled runs. */
const PROBE_INTERVAL_MS = 500;
/** Time in which the answers to other calls usually show that a runner outlived a cancelled run. */
const CANCEL_GRACE_MS = 300;
/** Longest time that a request waits for another run of it, and the interval of its checks. */
const HOLD_WAIT_MS = 1_000;
const HOLD_CHECK_INTERVAL_MS = 25;
/** Retry times of a held request: a run in progress ends soon, a verdict takes some seconds. */
const RETRY_AFTER_MS: Readonly<Record<runHolds.HoldReason, number>> = {
  inProgress: 300,
  unsettled: 1_000,
};
const REFUSAL_TEXTS: Readonly<Record<runHolds.HoldReason, string>> = {
  inProgress: "another run of the request, which may have crashed a runner, is in progress",
  unsettled:
    "earlier runs of the request ended without an answer, and their outcome is not known yet",
};

/** Dependencies of the crash detector. */
export interface CrashDetectorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly crashes: callerTypes.CrashRecords;
  readonly holds: runHolds.RunHolds;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
}

/** How a run ended without an answer. */
export const UNANSWERED_END = {
  /** The connection broke, or the runner did not answer in time. */
  failed: "failed",
  /** The deadline of the call passed. */
  timedOut: "timedOut",
  /** The caller disconnected. */
  cancelled: "cancelled",
} as const;

/** One of the values of `UNANSWERED_END`. */
export type UnansweredEnd = (typeof UNANSWERED_END)[keyof typeof UNANSWERED_END];

/** Returns how a run ended from the signals of its caller and of its time limit. */
export function chooseUnansweredEnd(caller: AbortSignal, limit: AbortSignal): UnansweredEnd {
  if (caller.aborted) return UNANSWERED_END.cancelled;
  return limit.aborted ? UNANSWERED_END.timedOut : UNANSWERED_END.failed;
}

/** A run that is tracked until it is disposed of. */
export interface TrackedRun extends Disposable {
  /** Records the head of the runner's answer. */
  recordAnswer(): void;
  /** Records an event of a streamed answer. */
  recordEvent(): void;
  /** Records a complete answer. It clears the request of suspicion if the request ran to its end. */
  recordCompletion(head: gateway.RunnerResponseHead): void;
  /**
   * Records that the run ended without an answer. If the call can be retried, resolves once the runner was
   * probed, so that the retry is decided on the verdict.
   *
   * @param error - a run whose request was not sent is not recorded.
   */
  handleUnanswered(end: UnansweredEnd, error: unknown): Promise<void>;
}

/** A run with its call, runner start and, if the request is suspected, its hold. */
interface HeldRun {
  readonly call: types.ServedCall;
  readonly start: runnerStarts.RunnerStart;
  readonly run: runnerStarts.Run;
  readonly hold: runHolds.OwnHold | undefined;
}

/** Tracks the runs of this VM and records crashes of runners under them. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #starts = new Map<string, runnerStarts.RunnerStart>();
  readonly #fingerprints = new WeakMap<types.ServedCall, string>();
  readonly #watched = new Set<runnerStarts.RunnerStart>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    options.runners.onChange(() => {
      this.#handleRegistryChange();
    });
  }

  /** Whether the request has crashed several runners. */
  isQuarantined(call: types.ServedCall): boolean {
    return this.#options.crashes.isQuarantined(this.#getFingerprint(call));
  }

  /** @throws RequestError when the request has crashed several runners. */
  checkAllowed(call: types.ServedCall): void {
    if (!this.isQuarantined(call)) return;
    this.#options.metrics.count("quarantine_refusals", { service: call.service.name });
    throw answers.createFailure("request crashed several runners");
  }

  /**
   * Waits while another run of a suspected request is in progress. Returns a refusal if the request may still not
   * run; the run has to be added without further waiting.
   *
   * @throws RequestError when the request has crashed several runners.
   */
  async waitUntilAllowed(call: types.ServedCall): Promise<resultCodes.RequestError | undefined> {
    const { clock } = this.#options;
    this.checkAllowed(call);
    const now = clock.now();
    const waitUntil = Math.min(now + HOLD_WAIT_MS, (now + call.deadlineAt) / 2);
    let reason = this.#findHoldReason(call);
    while (reason === runHolds.HOLD_REASON.inProgress && clock.now() < waitUntil) {
      await clocks.sleep(clock, HOLD_CHECK_INTERVAL_MS, call.signal);
      this.checkAllowed(call);
      reason = this.#findHoldReason(call);
    }
    if (reason === undefined) return undefined;
    this.#options.metrics.count("hold_refusals", { service: call.service.name, reason });
    return answers.createRefusal(RETRY_AFTER_MS[reason], REFUSAL_TEXTS[reason]);
  }

  #findHoldReason(call: types.ServedCall): runHolds.HoldReason | undefined {
    const { crashes, holds } = this.#options;
    const fingerprint = this.#getFingerprint(call);
    if (!holds.has(fingerprint) || crashes.hasSucceededLately(fingerprint)) return undefined;
    const crashed = crashes.findRecord(fingerprint)?.[2].map(([name]) => name);
    return holds.findReason(fingerprint, new Set(crashed));
  }

  /**
   * Starts to track a run of a call on a runner.
   *
   * @param clears - whether its success clears the request of suspicion; false for a run that left out a step under which
   *   a runner may have crashed.
   */
  add(call: types.ServedCall, runner: runners.Runner, clears = true): TrackedRun {
    const { clock, crashes } = this.#options;
    const fingerprint = this.#getFingerprint(call);
    const start = this.#getOrCreateStart(runner);
    const sentAt = clock.now();
    const run = runnerStarts.createRun(fingerprint, sentAt);
    start.addRun(run);
    const held: HeldRun = { call, start, run, hold: this.#addHold(fingerprint, start, call) };
    let isAnswered = true;
    return {
      recordAnswer: () => {
        start.recordAnswer(sentAt);
      },
      recordEvent: () => {
        if (run.firstEventAt === undefined && clears) crashes.recordProgress(fingerprint);
        start.recordEvent(run);
      },
      recordCompletion: (head) => {
        const isCompleted = !head.notRun && crashTracker.hasCompleted(head.status);
        if (isCompleted && clears) crashes.recordSuccess(fingerprint);
      },
      handleUnanswered: async (end, error) => {
        if (runnerProbe.isUnsent(error)) return;
        isAnswered = false;
        const settled = this.#handleUnanswered(held, end);
        if (end === UNANSWERED_END.failed) await settled;
      },
      [Symbol.dispose]: () => {
        start.removeRun(run);
        if (isAnswered) held.hold?.settle();
        this.#removeIfIdle(start);
      },
    };
  }

  /** Adds a hold for a run of a suspected request. */
  #addHold(
    fingerprint: string,
    start: runnerStarts.RunnerStart,
    call: types.ServedCall,
  ): runHolds.OwnHold | undefined {
    const { clock, crashes, holds } = this.#options;
    if (!crashes.isSuspect(fingerprint) && !holds.has(fingerprint)) return undefined;
    return holds.add(fingerprint, start.name, call.deadlineAt - clock.now() + PROBE_INTERVAL_MS);
  }

  async #handleUnanswered(held: HeldRun, end: UnansweredEnd): Promise<void> {
    const { start, run } = held;
    start.markUnanswered(run);
    const verdict = await this.#settleEnd(start, run, end);
    this.#options.metrics.count("unanswered_runs", { verdict });
    const isExpected = end === UNANSWERED_END.cancelled && verdict === PROBE_RESULT.alive;
    if (!isExpected) this.#reportUnanswered(held, end, verdict);
    if (start.isUnsettled(run)) {
      this.#markUnsettled(held);
      void this.#watch(start);
      return;
    }
    held.hold?.settle();
    this.#removeIfIdle(start);
  }

  #reportUnanswered(
    { call, start, run }: HeldRun,
    end: UnansweredEnd,
    verdict: runnerProbe.ProbeResult,
  ): void {
    const { id, bornAt } = start.runner;
    const { fingerprint } = run;
    this.#options.log.write(logEvents.LOG_EVENTS.runUnanswered, {
      request: call.head.id,
      fingerprint,
      sharedParts: call.head.prompt?.partIds.slice(0, -1),
      runner: id,
      bornAt,
      end,
      verdict,
      ranMs: Math.round((run.endedAt ?? run.sentAt) - run.sentAt),
      answeredMs: computeAnsweredTime(run),
    });
  }

  /**
   * Holds the request back until the outcome of a run is known, unless the run had begun to answer or the request
   * completed lately.
   */
  #markUnsettled({ start, run, hold }: HeldRun): void {
    const { crashes, holds } = this.#options;
    const { fingerprint } = run;
    if (run.firstEventAt !== undefined || crashes.hasSucceededLately(fingerprint)) {
      hold?.settle();
      return;
    }
    const unsettled = hold ?? holds.add(fingerprint, start.name, PROBE_INTERVAL_MS);
    unsettled.markUnsettled();
    run.onSettled = () => {
      unsettled.settle();
    };
  }

  async #settleEnd(
    start: runnerStarts.RunnerStart,
    run: runnerStarts.Run,
    end: UnansweredEnd,
  ): Promise<runnerProbe.ProbeResult> {
    if (end === UNANSWERED_END.cancelled) {
      await clocks.sleep(this.#options.clock, CANCEL_GRACE_MS);
      start.settleIfOutlived(run);
      if (!start.isUnsettled(run)) return PROBE_RESULT.alive;
    }
    if (start.checkEnded()) {
      this.#recordCrash(start);
      return PROBE_RESULT.crashed;
    }
    return await this.#probeAndSettle(start);
  }

  /** Probes a runner and settles its runs by the result. */
  async #probeAndSettle(start: runnerStarts.RunnerStart): Promise<runnerProbe.ProbeResult> {
    const sentAt = this.#options.clock.now();
    const result = await runnerProbe.probeRunner(this.#options, start.runner);
    if (result === PROBE_RESULT.crashed) this.#recordCrash(start);
    else if (result === PROBE_RESULT.alive) start.settleAll();
    else if (result === PROBE_RESULT.answered) start.recordAnswer(sentAt);
    if (result !== PROBE_RESULT.answered) return result;
    return start.countUnsettled() > 0 ? PROBE_RESULT.unknown : PROBE_RESULT.alive;
  }

  /** Probes a runner at intervals until all of its runs are settled. */
  async #watch(start: runnerStarts.RunnerStart): Promise<void> {
    if (this.#watched.has(start)) return;
    this.#watched.add(start);
    while (start.countUnsettled() > 0) {
      await clocks.sleep(this.#options.clock, PROBE_INTERVAL_MS);
      start.settleOutlived();
      if (start.checkEnded()) this.#recordCrash(start);
      else if (start.countUnsettled() > 0) await this.#probeAndSettle(start);
    }
    this.#watched.delete(start);
    this.#removeIfIdle(start);
  }

  #handleRegistryChange(): void {
    for (const start of this.#starts.values()) {
      if (start.checkEnded() && start.countUnsettled() > 0) this.#recordCrash(start);
    }
    this.#recordAbandonedCrashes();
  }

  /** Records crashes under runs of VMs that ended before they knew of them. */
  #recordAbandonedCrashes(): void {
    const { crashes, holds, runners: table } = this.#options;
    for (const [name, fingerprints] of holds.listAbandoned()) {
      const { id, bornAt } = runnerStarts.parseStart(name);
      if (table.find(id)?.runner.bornAt === bornAt) continue;
      const isKnown = fingerprints.every((fingerprint) => crashes.hasCrashed(fingerprint, name));
      if (!isKnown) crashes.recordCrash(name, fingerprints);
    }
    holds.expireAbandoned();
  }

  /**
   * Records a crash, unless the runner had announced that it leaves. It implicates the unsettled runs of other VMs
   * too; without them a harmless request of this VM could be the only suspect.
   */
  #recordCrash(start: runnerStarts.RunnerStart): void {
    const { crashes, holds } = this.#options;
    const elsewhere = holds.listFingerprints(start.name);
    const interrupted = start.shiftInterrupted();
    if (interrupted.length > 0 && !start.isLeaving)
      crashes.recordCrash(start.name, [...interrupted, ...elsewhere]);
  }

  #getOrCreateStart(runner: runners.Runner): runnerStarts.RunnerStart {
    const name = runnerStarts.formatStart(runner);
    const known = this.#starts.get(name);
    if (known !== undefined) return known;
    const { clock, runners: table } = this.#options;
    const start = new runnerStarts.RunnerStart(runner, clock, table);
    this.#starts.set(name, start);
    return start;
  }

  #removeIfIdle(start: runnerStarts.RunnerStart): void {
    const isCurrent = this.#starts.get(start.name) === start;
    if (isCurrent && start.isIdle) this.#starts.delete(start.name);
  }

  #getFingerprint(call: types.ServedCall): string {
    const known = this.#fingerprints.get(call);
    if (known !== undefined) return known;
    const fingerprint = this.#computeFingerprint(call);
    this.#fingerprints.set(call, fingerprint);
    return fingerprint;
  }

  /**
   * Computes the fingerprint of a request over service, caller, method, target, body and, for model
   * requests, the prompt's parts.
   */
  #computeFingerprint(call: types.ServedCall): string {
    const { head, body, service, callerIp } = call;
    const partIds = head.prompt?.partIds.join(",") ?? "";
    const target = `${service.name} ${head.method} ${head.target} ${partIds}`;
    return this.#options.crashes.computeFingerprint(callerIp, target, body);
  }
}

/** Returns the time from the first event of a run to its end, if it had an event. */
function computeAnsweredTime({ firstEventAt, endedAt }: runnerStarts.Run): number | undefined {
  if (firstEventAt === undefined || endedAt === undefined) return undefined;
  return Math.round(endedAt - firstEventAt);
}
