/** Health and load of one runner as observed by this VM. */
import type * as clocks from "../kernel/clock.js";
import type * as types from "./types.js";

/** Weight of the newest result in the moving average of failures: covers about ten results. */
const FAILURE_WEIGHT = 0.1;
/** Half-life of reported load, which is outdated after a few responses of typical duration. */
const LOAD_HALF_LIFE_MS = 500;
/** Backoff after the first connection failure; each consecutive failure doubles the backoff. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;
/** Answers without an end in a row, with no sound one between them, after which a runner gets one call at a time. */
const MAX_ENDLESS_ANSWERS = 3;
/** Time without calls after that; doubles with each further one that is sent and answered in the same way. */
const INITIAL_REFUSAL_MS = 1_000;
const MAX_REFUSAL_MS = 8_000;

/** Tracks results, load and backoff of one runner. */
export class RunnerRecord {
  readonly #clock: clocks.Clock;
  #runner: types.Runner;
  #updatedAt: number;
  #leavingSince: number | undefined;
  #inFlight = 0;
  #failureRate = 0;
  #externalLoad = 0;
  #loadReportedAt = 0;
  #unreachableCount = 0;
  #backoffUntil = 0;
  #endlessCount = 0;
  #refusalMs = 0;
  #refusedUntil = 0;
  /** Whether a call was sent after the last refusals, to find out whether the runner is sound again. */
  #isTrial = false;

  constructor(runner: types.Runner, clock: clocks.Clock, leavingSince?: number) {
    this.#runner = runner;
    this.#clock = clock;
    this.#leavingSince = leavingSince;
    this.#updatedAt = clock.now();
  }

  get runner(): types.Runner {
    return this.#runner;
  }

  /** Time since the runner's registry entry or stage was last updated. */
  get msSinceUpdate(): number {
    return this.#clock.now() - this.#updatedAt;
  }

  /** Monotonic time at which the runner was found to leave; `undefined` if its entry always said so. */
  get leavingSince(): number | undefined {
    return this.#leavingSince;
  }

  /** Replaces the runner's registry entry or stage. */
  setRunner(runner: types.Runner, leavingSince = this.#clock.now()): void {
    if (runner.leaving && !this.#runner.leaving) this.#leavingSince = leavingSince;
    else if (runner.leaving) this.recordLeavingSince(leavingSince);
    this.#runner = runner;
    this.#updatedAt = this.#clock.now();
  }

  /** Records a time since which the runner leaves; the earliest one counts. */
  recordLeavingSince(leavingSince: number): void {
    if (this.#leavingSince === undefined) return;
    this.#leavingSince = Math.min(this.#leavingSince, leavingSince);
  }

  /** Number of calls of this VM that are waiting for a response. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Moving average of failures, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Whether the runner is in backoff after connection failures. */
  get inBackoff(): boolean {
    return this.#clock.now() < this.#backoffUntil;
  }

  /**
   * Whether the runner gets no call for now (circuit breaker): its last answers had no end, and reading them takes the time and
   * the memory of the calls to other runners.
   */
  get isRefused(): boolean {
    return this.#clock.now() < this.#refusedUntil;
  }

  /** Estimates the number of calls at the runner, including those of other VMs. */
  computeLoad(): number {
    const ageMs = this.#clock.now() - this.#loadReportedAt;
    return this.#inFlight + this.#externalLoad * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  }

  /** Counts a call as in flight until the returned function is called. */
  startCall(): () => void {
    if (this.#endlessCount >= MAX_ENDLESS_ANSWERS) {
      this.#isTrial = true;
      this.#refusedUntil = this.#clock.now() + this.#refusalMs;
    }
    this.#inFlight += 1;
    let isRunning = true;
    return () => {
      if (isRunning) this.#inFlight -= 1;
      isRunning = false;
    };
  }

  /**
   * Records the load stated in a response. The caller has to end the count of the call that got the
   * response before; otherwise the load of other VMs is underestimated.
   */
  recordLoad(load: types.ReportedLoad): void {
    this.#externalLoad = Math.max(0, load.running + load.waiting - this.#inFlight);
    this.#loadReportedAt = this.#clock.now();
  }

  /**
   * Records the success or failure of a call and ends the backoff. Failures include timeouts and
   * connections that broke after the call was sent.
   */
  recordResult(succeeded: boolean): void {
    this.#failureRate += FAILURE_WEIGHT * ((succeeded ? 0 : 1) - this.#failureRate);
    this.#unreachableCount = 0;
    this.#backoffUntil = 0;
    if (!succeeded) return;
    this.#endlessCount = 0;
    this.#refusalMs = 0;
    this.#refusedUntil = 0;
  }

  /** Records an answer that was given up because it went on beyond all limits. */
  recordEndlessAnswer(): void {
    this.recordResult(false);
    this.#endlessCount += 1;
    // Calls that were sent before the first refusal say nothing new.
    const isKnown = this.#endlessCount > MAX_ENDLESS_ANSWERS && !this.#isTrial;
    if (this.#endlessCount < MAX_ENDLESS_ANSWERS || isKnown) return;
    this.#isTrial = false;
    this.#refusalMs = Math.min(MAX_REFUSAL_MS, Math.max(INITIAL_REFUSAL_MS, 2 * this.#refusalMs));
    this.#refusedUntil = this.#clock.now() + this.#refusalMs;
  }

  /** Forgets failures and the backoff, which showed nothing of the runner: this VM had no path to it. */
  removeFailures(): void {
    this.#failureRate = 0;
    this.#unreachableCount = 0;
    this.#backoffUntil = 0;
  }

  /**
   * Records that a call could not be sent, or reached another process at the runner's address, and
   * starts or extends the backoff.
   */
  recordUnreachable(): void {
    this.#failureRate += FAILURE_WEIGHT * (1 - this.#failureRate);
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.#unreachableCount);
    this.#unreachableCount += 1;
    this.#backoffUntil = this.#clock.now() + backoffMs;
  }
}
