/**
 * Reads the reports of the runners whose service this VM schedules. They show runs that an earlier
 * scheduler placed, and runners that fell silent before a request finds out.
 */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as poolScheduler from "./pool-scheduler.js";

/** Reports are about a second old anyway, and each costs the runner a little. */
const READ_PERIOD_MS = 700;
/** A sound runner answers within a few milliseconds. */
const READ_LIMIT_MS = 500;
const HTTP_OK = 200;

/** What reading reports works with. */
export interface EngineReportOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly wire: gateway.RunnerCodec;
  /** Returns the schedulers of services that this VM schedules now. */
  readonly listSchedulers: () => ReadonlyMap<string, poolScheduler.PoolScheduler>;
}

/** Reads reports until disposed of. */
export class EngineReports implements AsyncDisposable {
  readonly #options: EngineReportOptions;
  readonly #controller = new AbortController();

  constructor(options: EngineReportOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#controller;
    while (!signal.aborted) {
      await clocks.sleep(clock, READ_PERIOD_MS, signal).catch(() => undefined);
      for (const [service, scheduler] of this.#options.listSchedulers()) {
        for (const { runner } of this.#options.runners.listUsable(service)) {
          void this.#read(runner, scheduler);
        }
      }
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node stops"));
    return Promise.resolve();
  }

  async #read(runner: runners.Runner, scheduler: poolScheduler.PoolScheduler): Promise<void> {
    const { calls, wire, log } = this.#options;
    const { signal } = this.#controller;
    try {
      const message = wire.formatReport(runner);
      const answer = await calls.sendMessage(runner, message, READ_LIMIT_MS, signal);
      if (answer.status !== HTTP_OK) throw new Error(`report answered ${answer.status}`);
      const report = wire.parseReport(answer.body);
      if (report.bornAt !== undefined && report.bornAt !== runner.bornAt)
        throw new Error("another process answers at its address");
      // The platform's list is old while the platform is down.
      if (!report.busy && report.stage !== undefined)
        this.#options.runners.recordReportedStage(runner.id, report.stage);
      scheduler.recordReport(runner, report);
    } catch (error) {
      if (signal.aborted) return;
      scheduler.recordNoReport(runner.id);
      const fields = { runner: runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
    }
  }
}
