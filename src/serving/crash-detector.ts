/**
 * Detects requests that crash their runners, so that they are not sent to further runners. A runner that crashes
 * resets its connections or falls silent; silence alone shows nothing, so the runs that it ended wait for a verdict.
 */
import type * as callerTypes from "../caller/types.js";
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import * as signals from "../kernel/signals.js";
import type * as resultCodes from "../protocol/result-codes.js";
import * as crashTracker from "../request/crash-tracker.js";
import * as runHolds from "../request/run-holds.js";
import * as sendAccount from "../request/send-account.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as answers from "./answers.js";
import * as requestTraits from "./request-traits.js";
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
const QUARANTINE_TEXT = "requests with the same traits crashed several runners";
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
  /** Whether a runner that refused a connection of this VM has ended. */
  readonly hasEnded?: runnerProbe.ProbeOptions["hasEnded"];
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
  /** Records a complete answer. It clears the traits of the request if the request ran to its end. */
  recordCompletion(head: gateway.RunnerResponseHead): void;
  /**
   * Records that the run ended without an answer. If the call can be retried, resolves once the runner was
   * probed, so that the retry is decided on the verdict, at the latest at the deadline of the call.
   *
   * @param error - a run whose request was not sent is not recorded.
   */
  handleUnanswered(end: UnansweredEnd, error: unknown): Promise<void>;
}

/** A run with its call, runner start and the holds of its suspected traits. */
interface HeldRun {
  readonly call: types.ServedCall;
  readonly start: runnerStarts.RunnerStart;
  readonly run: runnerStarts.Run;
  readonly holds: readonly runHolds.OwnHold[];
}

/** The traits of a request by step; a plain request has one step. */
type TraitsByStep = Readonly<Partial<Record<sendAccount.SendStep, readonly requestTraits.Trait[]>>>;

/** Tracks the runs of this VM and records crashes of runners under them. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #starts = new Map<string, runnerStarts.RunnerStart>();
  readonly #traits = new WeakMap<types.ServedCall, TraitsByStep>();
  readonly #watched = new Set<runnerStarts.RunnerStart>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    options.runners.onChange(() => {
      this.#handleRegistryChange();
    });
  }

  /** Whether the request is refused because its traits crashed several runners. */
  isQuarantined(call: types.ServedCall): boolean {
    return this.#options.crashes.findRefusal(this.#listTraitHashes(call)) !== undefined;
  }

  /** @throws RequestError when the traits of the request crashed several runners. */
  checkAllowed(call: types.ServedCall): void {
    const refusal = this.#createQuarantineRefusal(call);
    if (refusal !== undefined) throw refusal;
  }

  /**
   * Waits while another run with a suspected trait of the request is in progress. Returns a refusal if the request may
   * not run; the run has to be added without further waiting.
   */
  async waitUntilAllowed(call: types.ServedCall): Promise<resultCodes.RequestError | undefined> {
    const { clock } = this.#options;
    const now = clock.now();
    const waitUntil = Math.min(now + HOLD_WAIT_MS, (now + call.deadlineAt) / 2);
    for (;;) {
      const refusal = this.#createQuarantineRefusal(call);
      if (refusal !== undefined) return refusal;
      const reason = this.#findHoldReason(call);
      if (reason === undefined) return undefined;
      const canWait = reason === runHolds.HOLD_REASON.inProgress && clock.now() < waitUntil;
      if (!canWait) return this.#createHoldRefusal(call, reason);
      await clocks.sleep(clock, HOLD_CHECK_INTERVAL_MS, call.signal);
    }
  }

  #createQuarantineRefusal(call: types.ServedCall): resultCodes.RequestError | undefined {
    const { crashes, metrics } = this.#options;
    const retryAfterMs = crashes.findRefusal(this.#listTraitHashes(call));
    if (retryAfterMs === undefined) return undefined;
    metrics.count("quarantine_refusals", { service: call.service.name });
    return answers.createRefusal(retryAfterMs, QUARANTINE_TEXT);
  }

  #createHoldRefusal(
    call: types.ServedCall,
    reason: runHolds.HoldReason,
  ): resultCodes.RequestError {
    this.#options.metrics.count("hold_refusals", { service: call.service.name, reason });
    return answers.createRefusal(RETRY_AFTER_MS[reason], REFUSAL_TEXTS[reason]);
  }

  #findHoldReason(call: types.ServedCall): runHolds.HoldReason | undefined {
    const { crashes, holds } = this.#options;
    return holds.findRequestReason(this.#listTraitHashes(call), {
      isTrusted: (trait) => crashes.hasSucceededLately(trait),
      listCrashed: (trait) => new Set(crashes.findRecord(trait)?.[2].map(([name]) => name)),
    });
  }

  /** Starts to track a step of a call on a runner. */
  add(call: types.ServedCall, runner: runners.Runner, step: sendAccount.SendStep): TrackedRun {
    const start = this.#getOrCreateStart(runner);
    const sentAt = this.#options.clock.now();
    const traits = this.#getTraits(call)[step] ?? [];
    const run = runnerStarts.createRun(
      traits.map(({ hash }) => hash),
      sentAt,
    );
    start.addRun(run);
    const held: HeldRun = { call, start, run, holds: this.#addHolds(run, start, call) };
    const isRun = step === sendAccount.SEND_STEP.run;
    let isAnswered = true;
    return {
      recordAnswer: () => {
        start.recordAnswer(sentAt);
      },
      recordEvent: () => {
        if (start.recordEvent(run)) this.#recordSuccess(held);
      },
      recordCompletion: (head) => {
        const isEmpty = isRun && requestTraits.isModelRequest(call) && !run.firstEventAt;
        if (!isEmpty && !head.notRun && crashTracker.hasCompleted(head.status))
          this.#recordSuccess(held);
      },
      handleUnanswered: async (end, error) => {
        if (runnerProbe.isUnsent(error)) return;
        isAnswered = false;
        const settled = this.#handleUnanswered(held, end);
        if (end === UNANSWERED_END.failed) await this.#waitWithin(call, settled);
      },
      [Symbol.dispose]: () => {
        start.removeRun(run);
        if (isAnswered) settleAll(held.holds);
        this.#removeIfIdle(start);
      },
    };
  }

  /** Waits for the end of `settled`, at most until the deadline of the call, after which it is not retried. */
  async #waitWithin(call: types.ServedCall, settled: Promise<void>): Promise<void> {
    const { clock } = this.#options;
    using limit = clocks.createTimeLimit(clock, call.deadlineAt - clock.now());
    await signals.runUntilAborted(limit.signal, settled).catch((error: unknown) => {
      if (!limit.signal.aborted) throw error;
    });
  }

  #recordSuccess({ run, holds: own }: HeldRun): void {
    const { crashes, holds } = this.#options;
    for (const trait of run.traits) crashes.recordSuccess(trait, holds.has(trait));
    settleAll(own);
  }

  /** Adds a hold for each suspected trait of a run. */
  #addHolds(
    run: runnerStarts.Run,
    start: runnerStarts.RunnerStart,
    call: types.ServedCall,
  ): readonly runHolds.OwnHold[] {
    const { clock, crashes, holds } = this.#options;
    const lifetimeMs = call.deadlineAt - clock.now() + PROBE_INTERVAL_MS;
    return run.traits
      .filter((trait) => !crashes.hasSucceededLately(trait))
      .filter((trait) => crashes.isSuspect(trait) || holds.has(trait))
      .map((trait) => holds.add(trait, start.name, lifetimeMs));
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
    settleAll(held.holds);
    this.#removeIfIdle(start);
  }

  #reportUnanswered(
    { call, start, run }: HeldRun,
    end: UnansweredEnd,
    verdict: runnerProbe.ProbeResult,
  ): void {
    const { id, bornAt } = start.runner;
    this.#options.log.write(logEvents.LOG_EVENTS.runUnanswered, {
      request: call.head.id,
      fingerprint: run.traits[0],
      traits: this.#listKinds(call, run),
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
   * Holds requests with the traits back until the outcome of a run is known, unless the run had answered for some time.
   * Traits that were cleared lately are not held back.
   */
  #markUnsettled({ start, run, holds: known }: HeldRun): void {
    const { crashes, holds } = this.#options;
    settleAll(known);
    if (run.isCleared) return;
    const unsettled = run.traits
      .filter((trait) => !crashes.hasSucceededLately(trait))
      .map((trait) => holds.add(trait, start.name, PROBE_INTERVAL_MS));
    for (const hold of unsettled) hold.markUnsettled();
    run.onSettled = () => {
      settleAll(unsettled);
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
    const { traits, endedAt } = start.shiftInterrupted();
    if (traits.length > 0 && !start.isLeaving)
      crashes.recordCrash(start.name, [...traits, ...elsewhere], endedAt);
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

  /** Lists the traits of a run with their kinds. */
  #listKinds(call: types.ServedCall, run: runnerStarts.Run): readonly string[] {
    return Object.values(this.#getTraits(call))
      .flat()
      .filter(({ hash }) => run.traits.includes(hash))
      .map(({ kind, hash }) => `${kind} ${hash}`);
  }

  #getTraits(call: types.ServedCall): TraitsByStep {
    const known = this.#traits.get(call);
    if (known !== undefined) return known;
    const { crashes } = this.#options;
    const { prefill, run } = sendAccount.SEND_STEP;
    const steps = requestTraits.isModelRequest(call) ? [run, prefill] : [run];
    const traits: TraitsByStep = Object.fromEntries(
      steps.map((step) => [step, requestTraits.listTraits(crashes, call, step)]),
    );
    this.#traits.set(call, traits);
    for (const { kind, hash } of Object.values(traits).flat())
      if (kind === requestTraits.TRAIT_KIND.caller) crashes.markBroad(hash);
    return traits;
  }

  /** Returns the hashes of the traits of all steps. */
  #listTraitHashes(call: types.ServedCall): readonly string[] {
    return Object.values(this.#getTraits(call)).flatMap((traits) => traits.map(({ hash }) => hash));
  }
}

function settleAll(holds: readonly runHolds.OwnHold[]): void {
  for (const hold of holds) hold.settle();
}

/** Returns the time from the first event of a run to its end, if it had an event. */
function computeAnsweredTime({ firstEventAt, endedAt }: runnerStarts.Run): number | undefined {
  if (firstEventAt === undefined || endedAt === undefined) return undefined;
  return Math.round(endedAt - firstEventAt);
}
