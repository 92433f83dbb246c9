/**
 * What this VM's calls and connections show of its paths to runners. Kept by runner id: the VMs may reach one runner at
 * different addresses.
 */
import type * as clocks from "../kernel/clock.js";
import * as callObserver from "../runners/call-observer.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";

/** Age of an answer up to which it outweighs an attempt that was not refused: the runner may have a long queue. */
const ANSWER_WEIGHT_MS = 250;

/** Result of an attempt to reach a runner. */
export const ATTEMPT_RESULT = {
  connected: "connected",
  refused: "refused",
  /** No connection was made in time. */
  timedOut: "timedOut",
  /** A connection was made, over which no answer came. */
  unanswered: "unanswered",
  /** This process did not run for a part of the attempt, which shows nothing. */
  unknown: "unknown",
} as const;

/** One of the values of `ATTEMPT_RESULT`. */
export type AttemptResult = (typeof ATTEMPT_RESULT)[keyof typeof ATTEMPT_RESULT];

/** Monotonic times of what was last seen of one runner. */
interface RunnerEvidence {
  answeredAt: number;
  connectedAt: number;
  unreachedAt: number;
  /** Calls without an answer so far, and the time since which there is one. */
  pendingCount: number;
  pendingSince: number;
  isReachable: boolean;
}

/** Services that `PathEvidence` uses. */
export interface PathEvidenceOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
}

/** Evidence of the paths from this VM to each runner. */
export class PathEvidence implements callObserver.CallObserver {
  readonly #options: PathEvidenceOptions;
  readonly #runners = new Map<string, RunnerEvidence>();
  readonly #listeners: ((id: string) => void)[] = [];
  #lastReachedAt = -Infinity;

  constructor(options: PathEvidenceOptions) {
    this.#options = options;
  }

  /** Monotonic time at which any runner was last reached. */
  get lastReachedAt(): number {
    return this.#lastReachedAt;
  }

  /** Calls `listener` when a runner is reached that was not reached before. */
  onRegained(listener: (id: string) => void): void {
    this.#listeners.push(listener);
  }

  startCall(id: string): (reach: callObserver.CallReach) => void {
    const evidence = this.#getOrCreate(id);
    if (evidence.pendingCount === 0) evidence.pendingSince = this.#options.clock.now();
    evidence.pendingCount += 1;
    return (reach) => {
      evidence.pendingCount -= 1;
      this.#recordCall(id, evidence, reach);
    };
  }

  /** Records the result of an attempt that began at `startedAt`. */
  recordAttempt(id: string, result: AttemptResult, startedAt: number): void {
    const evidence = this.#getOrCreate(id);
    if (result === ATTEMPT_RESULT.unknown) return;
    const hasAnswered = evidence.answeredAt >= startedAt - ANSWER_WEIGHT_MS;
    if (result === ATTEMPT_RESULT.connected) this.#recordConnected(id, evidence);
    else if (result === ATTEMPT_RESULT.refused || !hasAnswered)
      this.#recordUnreached(id, evidence, result);
  }

  /** Whether the last attempt to reach a runner succeeded, or none was made. */
  isReachable(id: string): boolean {
    return this.#runners.get(id)?.isReachable ?? true;
  }

  /** Whether a runner was reached at `since` or later, and not missed after that. */
  isReachedSince(id: string, since: number): boolean {
    const evidence = this.#runners.get(id);
    if (evidence?.isReachable !== true) return false;
    return Math.max(evidence.answeredAt, evidence.connectedAt) >= since;
  }

  /** Whether a new connection to a runner was made at `since` or later, and none missed after that. */
  isConnectedSince(id: string, since: number): boolean {
    const evidence = this.#runners.get(id);
    return evidence?.isReachable === true && evidence.connectedAt >= since;
  }

  /** Whether a runner that was sent a request at `until` or earlier has not answered any since. */
  isSilentSince(id: string, until: number): boolean {
    const evidence = this.#runners.get(id);
    if (evidence === undefined || evidence.pendingCount === 0) return false;
    return Math.max(evidence.pendingSince, evidence.answeredAt, evidence.connectedAt) <= until;
  }

  /** Forgets a runner that is no longer listed. */
  remove(id: string): void {
    this.#runners.delete(id);
  }

  #recordCall(id: string, evidence: RunnerEvidence, reach: callObserver.CallReach): void {
    const { answered, connected, notConnected } = callObserver.CALL_REACH;
    if (reach === answered) this.#recordAnswer(evidence);
    else if (reach === connected) this.#recordConnected(id, evidence);
    else if (reach === notConnected) this.#recordUnreached(id, evidence, reach);
  }

  /** Records an answer over a kept connection, which does not show that a new one could be made. */
  #recordAnswer(evidence: RunnerEvidence): void {
    evidence.answeredAt = this.#options.clock.now();
    if (evidence.isReachable) this.#lastReachedAt = evidence.answeredAt;
  }

  #recordConnected(id: string, evidence: RunnerEvidence): void {
    evidence.connectedAt = this.#options.clock.now();
    this.#lastReachedAt = evidence.connectedAt;
    this.#setReachable(id, evidence, true, ATTEMPT_RESULT.connected);
  }

  #recordUnreached(id: string, evidence: RunnerEvidence, result: string): void {
    evidence.unreachedAt = this.#options.clock.now();
    this.#setReachable(id, evidence, false, result);
  }

  #setReachable(
    runner: string,
    evidence: RunnerEvidence,
    isReachable: boolean,
    result: string,
  ): void {
    if (evidence.isReachable === isReachable) return;
    const { clock, log, metrics } = this.#options;
    evidence.isReachable = isReachable;
    const reachedMs = clock.now() - Math.max(evidence.connectedAt, evidence.answeredAt);
    const lostMs = clock.now() - evidence.unreachedAt;
    const sinceMs = Math.round(isReachable ? lostMs : reachedMs);
    metrics.count("runner_path_changes", { reachable: String(isReachable) });
    const fields = { runner, isReachable, result, sinceMs };
    log.write(logEvents.LOG_EVENTS.runnerPathChanged, fields);
    if (isReachable) for (const listener of this.#listeners) listener(runner);
  }

  #getOrCreate(id: string): RunnerEvidence {
    const known = this.#runners.get(id);
    if (known !== undefined) return known;
    const evidence = {
      answeredAt: -Infinity,
      connectedAt: -Infinity,
      unreachedAt: -Infinity,
      pendingCount: 0,
      pendingSince: -Infinity,
      isReachable: true,
    };
    this.#runners.set(id, evidence);
    return evidence;
  }
}
