/** The runs that a scheduler has placed on one decode runner. */
import type * as gateway from "../gateway/types.js";
import * as memoryForecast from "./memory-forecast.js";

/** Time of an output token before any was measured, in milliseconds. */
const FIRST_MS_PER_TOKEN = 1;
/** Weight of the newest measurement. */
const SPEED_WEIGHT = 0.2;
/** Runs with less output say little about speed. */
const FEWEST_MEASURED_TOKENS = 200;
/** A run that has not ended after this many times its longest expected time is forgotten. */
const EXPIRY_FACTOR = 3;
const EXPIRY_SLACK_MS = 2_000;

/** Reports are about a second old: a run that ended within this time may still be listed. */
const REPORT_AGE_MS = 2_000;
/** A run that begins late by a preemption or a full batch is listed within this time. */
const UNLISTED_LIMIT_MS = 3_000;
/** Output still expected of a run that another scheduler placed: half of a usual answer. */
const UNKNOWN_OUTPUT_TOKENS = 2_000;

/** What is placed on a runner, and how fast it is. */
export class DecodeLoad {
  readonly #runs = new Map<string, memoryForecast.ForecastRun>();
  /** Runs that only the runner's report tells of, by the caller's id. */
  #unknownRuns = new Map<string, memoryForecast.ForecastRun>();
  readonly #endedAt = new Map<string, number>();
  #msPerToken = FIRST_MS_PER_TOKEN;

  /** Runs on the runner, as far as known. */
  get count(): number {
    return this.#runs.size + this.#unknownRuns.size;
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

  /** Ends a run; returns it if it was here. */
  remove(key: string, now: number): memoryForecast.ForecastRun | undefined {
    const run = this.#runs.get(key);
    if (run === undefined) return undefined;
    this.#runs.delete(key);
    this.#endedAt.set(getCallId(key), now);
    return run;
  }

  /**
   * Takes in which runs the runner lists. Those placed by others count until they are gone; those that
   * should have been running for long and are not listed have ended, though nobody said so.
   */
  recordReport(report: gateway.EngineReport, now: number): void {
    const listed = new Set(report.runs.map((run) => run.callId));
    for (const [key, run] of this.#runs) {
      const isDue = now - run.startsAt > UNLISTED_LIMIT_MS;
      if (isDue && !listed.has(getCallId(key))) this.#runs.delete(key);
    }
    const known = new Set([...this.#runs.keys()].map(getCallId));
    const unknown = report.runs.filter(
      ({ callId }) => !known.has(callId) && !this.#endedAt.has(callId),
    );
    this.#unknownRuns = new Map(
      unknown.map(({ callId, tokensInMemory }) => [
        callId,
        {
          promptTokens: tokensInMemory,
          expectedOutputTokens: UNKNOWN_OUTPUT_TOKENS,
          maxOutputTokens: UNKNOWN_OUTPUT_TOKENS,
          startsAt: now,
        },
      ]),
    );
  }

  /** Returns the most memory expected at one time if `run` were added. */
  computePeak(run: memoryForecast.ForecastRun, now: number): number {
    const runs = [...this.#runs.values(), ...this.#unknownRuns.values(), run];
    return memoryForecast.computePeakTokens(runs, now, this.#msPerToken);
  }

  /** Learns the runner's speed from a run that ended. */
  recordSpeed(outputTokens: number, decodeMs: number): void {
    if (outputTokens < FEWEST_MEASURED_TOKENS) return;
    this.#msPerToken += SPEED_WEIGHT * (decodeMs / outputTokens - this.#msPerToken);
  }

  /** Forgets runs whose end was never told. */
  expire(now: number): void {
    for (const [callId, endedAt] of this.#endedAt) {
      if (now - endedAt > REPORT_AGE_MS) this.#endedAt.delete(callId);
    }
    for (const [key, run] of this.#runs) {
      const longestMs = run.maxOutputTokens * this.#msPerToken * EXPIRY_FACTOR + EXPIRY_SLACK_MS;
      if (now - run.startsAt > longestMs) this.#runs.delete(key);
    }
  }
}

/** Returns the caller's id in a place's key, which ends with the number of the place. */
function getCallId(key: string): string {
  return key.slice(0, key.lastIndexOf("/"));
}
