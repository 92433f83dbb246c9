/** Tracks the runs that a scheduler has placed on one decode runner. */
import type * as gateway from "../gateway/types.js";
import * as memoryForecast from "./memory-forecast.js";

/** Time per output token until the first speed sample. */
const INITIAL_MS_PER_TOKEN = 1;
/** Weight of the newest sample in the moving average. */
const SPEED_SMOOTHING_FACTOR = 0.2;
/** Minimum output of a run that counts as a speed sample; shorter runs are too inaccurate. */
const MIN_SPEED_SAMPLE_TOKENS = 200;
/**
 * A run is dropped when it has not ended after this multiple of its maximum duration and a margin.
 */
const EXPIRY_FACTOR = 3;
const EXPIRY_MARGIN_MS = 2_000;

/**
 * Time for which ended runs are remembered. Reports are about a second old, so they may still list
 * a run that ended within this time.
 */
const MAX_REPORT_AGE_MS = 2_000;
/**
 * Time after its start from which a run that is missing from the report counts as ended. A
 * preemption or a full batch delays a run, but it is listed within this time all the same.
 */
const UNLISTED_RUN_TIMEOUT_MS = 3_000;
/** Remaining output assumed for a run that another scheduler placed: half of a typical response. */
const REPORT_ONLY_RUN_OUTPUT_TOKENS = 2_000;

/** The runs on a decode runner and its output speed. */
export class DecodeLoad {
  readonly #runs = new Map<string, memoryForecast.ForecastRun>();
  /** Runs that are known only from the runner's report, by call id. */
  #reportOnlyRuns = new Map<string, memoryForecast.ForecastRun>();
  /** Time at which runs ended, by call id. */
  readonly #endedAt = new Map<string, number>();
  #msPerToken = INITIAL_MS_PER_TOKEN;

  /** Number of runs on the runner, as far as this scheduler knows. */
  get runCount(): number {
    return this.#runs.size + this.#reportOnlyRuns.size;
  }

  get msPerToken(): number {
    return this.#msPerToken;
  }

  has(key: string): boolean {
    return this.#runs.has(key);
  }

  add(key: string, run: memoryForecast.ForecastRun): void {
    this.#runs.set(key, run);
  }

  /** Removes a run that ended; returns it if it was on this runner. */
  remove(key: string, now: number): memoryForecast.ForecastRun | undefined {
    const run = this.#runs.get(key);
    if (run === undefined) return undefined;
    this.#runs.delete(key);
    this.#endedAt.set(getCallId(key), now);
    return run;
  }

  /**
   * Reconciles the runs of this scheduler with those in the runner's report. Runs placed by other
   * schedulers count as long as they are listed. Runs that started more than
   * `UNLISTED_RUN_TIMEOUT_MS` ago and are not listed are taken as ended, since the message about
   * their end may be lost.
   */
  recordReport(report: gateway.EngineReport, now: number): void {
    const listed = new Set(report.runs.map((run) => run.callId));
    for (const [key, run] of this.#runs) {
      const isDue = now - run.startsAt > UNLISTED_RUN_TIMEOUT_MS;
      if (isDue && !listed.has(getCallId(key))) this.#runs.delete(key);
    }
    const known = new Set([...this.#runs.keys()].map(getCallId));
    const reportOnly = report.runs.filter(
      ({ callId }) => !known.has(callId) && !this.#endedAt.has(callId),
    );
    this.#reportOnlyRuns = new Map(
      reportOnly.map(({ callId, tokensInMemory }) => [
        callId,
        {
          promptTokens: tokensInMemory,
          expectedOutputTokens: REPORT_ONLY_RUN_OUTPUT_TOKENS,
          maxOutputTokens: REPORT_ONLY_RUN_OUTPUT_TOKENS,
          startsAt: now,
        },
      ]),
    );
  }

  /** Returns the expected peak memory in tokens if `run` were added. */
  computePeakTokens(run: memoryForecast.ForecastRun, now: number): number {
    const runs = [...this.#runs.values(), ...this.#reportOnlyRuns.values(), run];
    return memoryForecast.computePeakTokens(runs, now, this.#msPerToken);
  }

  /** Updates the speed estimate from a run that ended. */
  recordSpeed(outputTokens: number, decodeMs: number): void {
    if (outputTokens < MIN_SPEED_SAMPLE_TOKENS) return;
    this.#msPerToken += SPEED_SMOOTHING_FACTOR * (decodeMs / outputTokens - this.#msPerToken);
  }

  /** Drops runs whose end was never reported, and forgets runs that ended some time ago. */
  expire(now: number): void {
    for (const [callId, endedAt] of this.#endedAt) {
      if (now - endedAt > MAX_REPORT_AGE_MS) this.#endedAt.delete(callId);
    }
    for (const [key, run] of this.#runs) {
      const maxDurationMs =
        run.maxOutputTokens * this.#msPerToken * EXPIRY_FACTOR + EXPIRY_MARGIN_MS;
      if (now - run.startsAt > maxDurationMs) this.#runs.delete(key);
    }
  }
}

/** Returns the call id from a placement key, which is `{call id}/{number of the placement}`. */
function getCallId(key: string): string {
  return key.slice(0, key.lastIndexOf("/"));
}
