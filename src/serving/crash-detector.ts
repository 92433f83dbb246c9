/** Detects requests that crash their runners, so that they are not sent to further runners. */
import type * as callerTypes from "../caller/types.js";
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import * as crashTracker from "../request/crash-tracker.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as upstream from "../upstream/types.js";
import * as answers from "./answers.js";
import type * as types from "./types.js";

/**
 * Time limit of the check for a crash: a crashed process refuses connections at once, and a healthy
 * one answers within this time.
 */
const CHECK_TIMEOUT_MS = 150;

/** Dependencies of the crash detector. */
export interface CrashDetectorOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly crashes: callerTypes.CrashRecords;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
}

/** A run that is tracked until it is disposed of. */
export interface TrackedRun extends Disposable {
  /**
   * Records the runner's answer. It clears the request of suspicion if the request ran to its end.
   */
  recordAnswer(head: gateway.RunnerResponseHead): void;
  /** Records a crash if the runner refuses connections after it broke the call's connection. */
  checkDisconnect(): Promise<void>;
  /** Logs a run that ended at its time limit or with its caller. */
  recordTimeout(): void;
}

/** Tracks the runs of this VM; detected crashes are gossiped to the other VMs. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #tracker: crashTracker.CrashTracker;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    this.#tracker = new crashTracker.CrashTracker(options.crashes);
  }

  /** @throws RequestError when the request has crashed several runners. */
  checkAllowed(call: types.ServedCall): void {
    if (!this.isQuarantined(call)) return;
    this.#options.metrics.count("quarantine_refusals", { service: call.service.name });
    throw answers.createFailure("request crashed several runners");
  }

  /** Whether the request has crashed several runners. */
  isQuarantined(call: types.ServedCall): boolean {
    return this.#options.crashes.isQuarantined(this.#computeFingerprint(call));
  }

  /** Starts to track a run of a call on a runner. */
  add(call: types.ServedCall, runner: runners.Runner): TrackedRun {
    const fingerprint = this.#computeFingerprint(call);
    const trackedRun = this.#tracker.add(formatStart(runner), fingerprint);
    return {
      recordAnswer: (head) => {
        if (!head.notRun) trackedRun.recordCompletion(head.status);
      },
      checkDisconnect: async () => {
        const hasCrashed = await this.#hasCrashed(runner);
        this.#recordUnanswered(call, runner, fingerprint, hasCrashed ? "crashed" : "unknown");
        if (hasCrashed) trackedRun.recordBrokenConnection();
      },
      recordTimeout: () => {
        this.#recordUnanswered(call, runner, fingerprint, "timedOut");
      },
      [Symbol.dispose]: () => {
        trackedRun[Symbol.dispose]();
      },
    };
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

  #recordUnanswered(
    call: types.ServedCall,
    runner: runners.Runner,
    fingerprint: string,
    verdict: string,
  ): void {
    const { log, metrics } = this.#options;
    metrics.count("unanswered_runs", { verdict });
    const { id, bornAt } = runner;
    const fields = { request: call.head.id, fingerprint, runner: id, bornAt, verdict };
    log.write(logEvents.LOG_EVENTS.runUnanswered, fields);
  }

  async #hasCrashed(runner: runners.Runner): Promise<boolean> {
    const { clock, calls, codec } = this.#options;
    using limit = clocks.createTimeLimit(clock, CHECK_TIMEOUT_MS);
    try {
      await calls.sendMessage(runner, codec.formatReport(runner), CHECK_TIMEOUT_MS, limit.signal);
      return false;
    } catch (error) {
      // A runner that does not answer in time may only be slow, so its requests are not blamed.
      return (
        error instanceof upstream.UpstreamError &&
        error.failure === upstream.UPSTREAM_FAILURE.notConnected &&
        !limit.signal.aborted
      );
    }
  }
}

/** Names one start of a runner; a runner that starts again may keep its id. */
function formatStart(runner: runners.Runner): string {
  return `${runner.id}@${runner.bornAt}`;
}
