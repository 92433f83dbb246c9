/** Learns from the answers of runners that they leave, which their registry entries may say later or never. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as runnerTable from "./runner-table.js";
import * as types from "./types.js";

/** Limit on the runners whose odd values are remembered, so that each is logged once. */
const MAX_ODD_VALUES = 500;

/** Services that `LeavingRunners` uses. */
export interface LeavingRunnersOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly runners: Pick<runnerTable.RunnerTable, "recordLeaving">;
}

/** Passes the notices of runners that leave to the runner table. */
export class LeavingRunners {
  readonly #options: LeavingRunnersOptions;
  readonly #oddValues = new lru.LRUCache<string, string>({ max: MAX_ODD_VALUES });

  constructor(options: LeavingRunnersOptions) {
    this.#options = options;
  }

  /** Records what an answer of a runner says of its leaving. */
  recordAnswer(runner: types.Runner, leaving: types.ReportedLeaving): void {
    const { clock, runners } = this.#options;
    if (leaving.kind === "unreadable") this.#recordOddValue(runner, leaving.text);
    if (leaving.kind !== "leaving") return;
    runners.recordLeaving(runner, clock.now(), types.LEAVING_PATH.answer);
  }

  #recordOddValue(runner: types.Runner, value: string): void {
    const { log, metrics } = this.#options;
    if (this.#oddValues.get(runner.id) === value) return;
    this.#oddValues.set(runner.id, value);
    metrics.count("odd_leaving_notices", { runner: runner.id });
    log.write(logEvents.LOG_EVENTS.leavingNoticeUnreadable, { runner: runner.id, value });
  }
}
