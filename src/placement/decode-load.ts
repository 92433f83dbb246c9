/** The runs that a scheduler has placed on one decode runner. */
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

/** What is placed on a runner, and how fast it is. */
export class DecodeLoad {
  readonly #runs = new Map<string, memoryForecast.ForecastRun>();
  #msPerToken = FIRST_MS_PER_TOKEN;

  get count(): number {
    return this.#runs.size;
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

  remove(key: string): boolean {
    return this.#runs.delete(key);
  }

  /** Returns the most memory expected at one time if `run` were added. */
  computePeak(run: memoryForecast.ForecastRun, now: number): number {
    return memoryForecast.computePeakTokens([...this.#runs.values(), run], now, this.#msPerToken);
  }

  /** Learns the runner's speed from a run that ended. */
  recordSpeed(outputTokens: number, decodeMs: number): void {
    if (outputTokens < FEWEST_MEASURED_TOKENS) return;
    this.#msPerToken += SPEED_WEIGHT * (decodeMs / outputTokens - this.#msPerToken);
  }

  /** Forgets runs whose end was never told. */
  expire(now: number): void {
    for (const [key, run] of this.#runs) {
      const longestMs = run.maxOutputTokens * this.#msPerToken * EXPIRY_FACTOR + EXPIRY_SLACK_MS;
      if (now - run.startsAt > longestMs) this.#runs.delete(key);
    }
  }
}
