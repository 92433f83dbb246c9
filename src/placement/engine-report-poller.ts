/**
 * Polls the reports of the runners whose service this VM schedules. The reports list runs that an
 * earlier scheduler placed, and a missing report shows an unresponsive runner before a request is
 * sent to it.
 */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerPauses from "../runners/runner-pauses.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as poolScheduler from "./pool-scheduler.js";

/**
 * Shortest interval between two polls of a runner. Runners refresh their reports about once a second, and
 * each poll costs them some time.
 */
const MIN_ROUND_MS = 700;
/** Share of a round for each runner, which bounds the polls per second of a large pool. */
const RUNNER_SHARE_MS = 25;
/** Time between two groups of polls; a poll of all runners at once would delay the requests of callers. */
const STEP_MS = 100;
/**
 * Time after its start in which a VM begins to poll as soon as it has to: reports are the only record of the streams of a
 * fleet that was restarted, and runs disappear from them as they end.
 */
const START_MS = 5_000;
/** Time limit of a poll; a healthy runner answers within a few milliseconds. */
const POLL_TIMEOUT_MS = 500;
const HTTP_OK = 200;

/** Dependencies of the poller. */
export interface EngineReportPollerOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
  readonly pauses: runnerPauses.PauseTimes;
  /** Returns the schedulers of the services that this VM currently schedules. */
  readonly listSchedulers: () => ReadonlyMap<string, poolScheduler.PoolScheduler>;
  /** Called with each report of a listed start. */
  readonly onReport: (runner: runners.Runner, report: gateway.EngineReport) => void;
  /** Whether a poll failed because this VM, unlike others, does not reach the runner. */
  readonly hasLostPath: (runner: runners.Runner, error: unknown) => Promise<boolean>;
}

/** Polls reports until it is disposed of. */
export class EngineReportPoller implements AsyncDisposable {
  readonly #options: EngineReportPollerOptions;
  readonly #controller = new AbortController();
  readonly #startedAt: number;

  constructor(options: EngineReportPollerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  async run(): Promise<void> {
    const { signal } = this.#controller;
    while (!signal.aborted) await this.#runRound(signal);
  }

  /** Polls each runner once, in steps. */
  async #runRound(signal: AbortSignal): Promise<void> {
    const { clock, pauses } = this.#options;
    const polls = this.#listPolls();
    if (polls.length === 0) {
      const isStarting = clock.now() - this.#startedAt < START_MS;
      const waitMs = isStarting ? STEP_MS : MIN_ROUND_MS;
      await clocks.sleep(clock, waitMs, signal).catch(() => undefined);
      return;
    }
    const steps = computeStepCount(polls.length);
    for (let step = 0; step < steps; step += 1) {
      await clocks.sleep(clock, STEP_MS, signal).catch(() => undefined);
      if (signal.aborted) return;
      const due = polls.filter((_poll, index) => index % steps === step);
      for (const [runner, scheduler] of due.filter(([one]) => pauses.computePause(one) === 0))
        void this.#updateFromReport(runner, scheduler);
    }
  }

  #listPolls(): readonly (readonly [runners.Runner, poolScheduler.PoolScheduler])[] {
    return [...this.#options.listSchedulers()].flatMap(([service, scheduler]) =>
      this.#options.runners.listUsable(service).map(({ runner }) => [runner, scheduler] as const),
    );
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    return Promise.resolve();
  }

  /** Polls a runner and updates the runner table and the scheduler from its report or its absence. */
  async #updateFromReport(
    runner: runners.Runner,
    scheduler: poolScheduler.PoolScheduler,
  ): Promise<void> {
    const { calls, codec, log } = this.#options;
    const { signal } = this.#controller;
    try {
      const message = codec.formatReport(runner);
      const answer = await calls.sendMessage(runner, message, POLL_TIMEOUT_MS, signal);
      if (answer.status !== HTTP_OK)
        throw new Error(`report request returned status ${answer.status}`);
      const report = codec.parseReport(answer.body);
      if (report.bornAt !== undefined && report.bornAt !== runner.bornAt)
        throw new Error(
          `report is from another process: Unix start time ${report.bornAt} ms, not ${runner.bornAt} ms`,
        );
      // While the platform is down, the runner list is outdated. The runner table ignores the reported stage
      // if the runner's registry entry was updated recently.
      if (!report.busy && report.stage !== undefined)
        this.#options.runners.recordReportedStage(runner.id, report.stage);
      scheduler.recordReport(runner, report);
      this.#options.onReport(runner, report);
    } catch (error) {
      if (signal.aborted) return;
      if (!(await this.#options.hasLostPath(runner, error)))
        scheduler.recordMissingReport(runner.id);
      const fields = { runner: runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
    }
  }
}

/** Returns the number of steps of a round that polls `runnerCount` runners. */
function computeStepCount(runnerCount: number): number {
  return Math.ceil(Math.max(MIN_ROUND_MS, runnerCount * RUNNER_SHARE_MS) / STEP_MS);
}
