/**
 * Pauses that runners ask for when they turn a request away. A pause holds for this VM only; it ends with its time, or with
 * the start of the runner that asked for it.
 */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as types from "./types.js";

/** Limit on the starts that are remembered. */
const MAX_STARTS = 4_096;
/** Longest pause; a longer one is taken for an error of the runner. */
const MAX_PAUSE_MS = 60_000;

/** Services that `RunnerPauses` uses. */
export interface RunnerPausesOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
}

/** Tells for how long a runner wants nothing from this VM. */
export interface PauseTimes {
  /** Returns the time in milliseconds that is left, 0 if the runner did not ask for a pause. */
  computePause(runner: types.Runner): number;
}

/** Learns which runners want nothing from this VM for some time. */
export class RunnerPauses implements PauseTimes {
  readonly #options: RunnerPausesOptions;
  /** Monotonic time at which the pause of a start ends. */
  readonly #endsAt = new lru.LRUCache<string, number>({ max: MAX_STARTS });
  /** Latest end of all pauses. */
  #allEndAt = -Infinity;
  /** The last value of each start that was not taken as it is. */
  readonly #oddValues = new lru.LRUCache<string, string>({ max: MAX_STARTS });

  constructor(options: RunnerPausesOptions) {
    this.#options = options;
  }

  /**
   * Records what an answer says of a pause of its runner.
   *
   * @param request - id of the caller's request that was answered; `undefined` for a message of the router itself.
   */
  recordAnswer(
    runner: types.Runner,
    pause: types.ReportedPause,
    request: string | undefined,
  ): void {
    if (pause.kind === "none") return;
    if (pause.kind === "unreadable") this.#recordOddValue(runner, pause.text, "unreadable");
    else this.#add(runner, pause.durationMs, request);
  }

  computePause(runner: types.Runner): number {
    const now = this.#options.clock.now();
    return now >= this.#allEndAt ? 0 : Math.max(0, this.#getEnd(formatStart(runner)) - now);
  }

  #add(runner: types.Runner, statedMs: number, request: string | undefined): void {
    if (statedMs > MAX_PAUSE_MS) this.#recordOddValue(runner, `${statedMs} ms`, "capped");
    const { clock, log, metrics } = this.#options;
    const pauseMs = Math.min(MAX_PAUSE_MS, statedMs);
    const start = formatStart(runner);
    const now = clock.now();
    const before = this.#getEnd(start);
    // Requests that were under way bring further answers, which may ask for less.
    this.#endsAt.set(start, Math.max(before, now + pauseMs));
    this.#allEndAt = Math.max(this.#allEndAt, now + pauseMs);
    if (before > now || pauseMs === 0) return;
    const { service } = runner;
    metrics.count("runner_pauses", { service });
    log.write(logEvents.LOG_EVENTS.runnerPaused, { runner: start, service, pauseMs, request });
  }

  #getEnd(start: string): number {
    return this.#endsAt.get(start) ?? -Infinity;
  }

  #recordOddValue(runner: types.Runner, value: string, outcome: "unreadable" | "capped"): void {
    const { log, metrics } = this.#options;
    metrics.count("odd_runner_pauses", { outcome });
    const start = formatStart(runner);
    if (this.#oddValues.get(start) === value) return;
    this.#oddValues.set(start, value);
    log.write(logEvents.LOG_EVENTS.runnerPauseOdd, { runner: start, value, outcome });
  }
}

/** Returns the shortest pause if all of the runners have asked for one, else `undefined`. */
export function computeCommonPause(
  pauses: PauseTimes,
  runners: readonly types.Runner[],
): number | undefined {
  const times = runners.map((runner) => pauses.computePause(runner));
  return times.length > 0 && times.every((pauseMs) => pauseMs > 0) ? Math.min(...times) : undefined;
}

function formatStart({ id, bornAt }: types.Runner): string {
  return `${id}@${bornAt}`;
}
