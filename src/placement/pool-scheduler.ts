/**
 * Places the model requests of one service. Load pattern: bursts of two to three times what the pool can
 * decode. What would be preempted later is not let in; who can still be on time goes first; who cannot
 * is served from what is left over; who would wait longer than a caller does is refused at once.
 */
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as memoryForecast from "./memory-forecast.js";
import * as poolLoads from "./pool-loads.js";
import * as refusedSubjects from "./refused-subjects.js";
import * as requestCosts from "./request-costs.js";
import type * as stagePlan from "./stage-plan.js";
import type * as types from "./types.js";
import * as runnerAbsences from "./runner-absences.js";
import * as runnerChoice from "./runner-choice.js";
import * as stageSwitches from "./stage-switches.js";
import * as waitingLine from "./waiting-line.js";

/** Part of a runner's memory that forecasts may fill; the rest covers answers longer than estimated. */
const MEMORY_SHARE = 0.95;
/** The same for requests that are late anyway: they must not cost one that is on time its place. */
const LATE_MEMORY_SHARE = 0.7;
/** The same for those among them that were refused before: they do not come a third time. */
const RETURNED_MEMORY_SHARE = 0.8;
/** From the end of reading to the first event: transfer, connection and first step. */
const HANDOVER_MS = 40;
const EXPIRY_PERIOD_MS = 1_000;

/** A runner that may be chosen. */
export interface Candidate {
  readonly runner: runners.Runner;
  /** Whether this VM could not reach it lately. */
  readonly paused: boolean;
}

/** What a scheduler works with. */
export interface SchedulerOptions {
  readonly clock: clocks.Clock;
  /** Returns the runners of the service that take new work. */
  readonly listCandidates: () => readonly Candidate[];
  readonly log: telemetry.EventLog;
  /** Returns the engine's properties by the configuration in force. */
  readonly findEngine: () => routing.EngineSpec | undefined;
}

interface Waiting extends waitingLine.LineEntry {
  readonly request: types.PlaceRequest;
  readonly arrivedAt: number;
  readonly answer: (answer: types.PlaceAnswer) => void;
}

/** Holds the waiting requests and what is placed on each runner of one service. */
export class PoolScheduler {
  readonly #options: SchedulerOptions;
  readonly #loads = new poolLoads.PoolLoads();
  readonly #line: waitingLine.WaitingLine<Waiting>;
  readonly #costs = new requestCosts.RequestCosts();
  readonly #absences: runnerAbsences.RunnerAbsences;
  readonly #refused: refusedSubjects.RefusedSubjects;
  readonly #switches: stageSwitches.StageSwitches;
  #expiresAt = 0;
  #cancelTimer: (() => void) | undefined;
  /** Part of the runners' memory that this scheduler may fill. */
  #share = 1;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#line = new waitingLine.WaitingLine(options.clock);
    this.#absences = new runnerAbsences.RunnerAbsences(options.clock);
    this.#switches = new stageSwitches.StageSwitches(options.clock);
    this.#refused = new refusedSubjects.RefusedSubjects(options.clock);
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#line.size;
  }

  /** The engine's properties, `undefined` when the configuration has none for the service. */
  get engine(): routing.EngineSpec | undefined {
    return this.#options.findEngine();
  }

  /** Returns what a request costs on average, `undefined` while too few were seen. */
  computeCosts(): stagePlan.RequestCosts | undefined {
    const { engine } = this;
    if (engine === undefined) return undefined;
    const memoryTokens = engine.kvCapacityTokens * MEMORY_SHARE;
    return this.#costs.compute(this.#loads.computeReadSpeed(), memoryTokens, engine.slots);
  }

  /** Returns the runner that an order disturbs least. */
  chooseForOrder(candidates: readonly runners.Runner[]): runners.Runner | undefined {
    const present = candidates.filter(
      (runner) => !this.#switches.has(runner) && !this.#absences.has(runner.id),
    );
    return runnerChoice.chooseLeastLoaded(present, this.#loads);
  }

  /** Notes that a runner has been ordered to another stage; it gets no work until it is listed so. */
  setSwitching(runner: runners.Runner, stage: runners.Stage): void {
    this.#switches.add(runner, stage, this.engine?.stageSwitchMs ?? 0);
  }

  /** Whether a runner is listed that still changes its stage. */
  hasSwitching(): boolean {
    return this.#options.listCandidates().some(({ runner }) => this.#switches.has(runner));
  }

  /** Notes that a runner refused its order. */
  removeSwitching(runnerId: string): void {
    this.#switches.remove(runnerId);
  }

  /** Sets the part of the runners' memory that it may fill; less than 1 while others place there too. */
  setShare(share: number): void {
    this.#share = share;
  }

  /**
   * Places a request, or waits for a place as long as that is useful.
   *
   * @param answer - called once, perhaps at once.
   * @returns a function that withdraws the request.
   */
  submit(request: types.PlaceRequest, answer: (answer: types.PlaceAnswer) => void): () => void {
    const { promptTokens, expectedOutputTokens } = request;
    this.#costs.record(promptTokens, expectedOutputTokens, this.#loads.computeMsPerToken());
    const waiting: Waiting = {
      request,
      arrivedAt: this.#options.clock.now(),
      size: this.#costs.computeSize(
        promptTokens,
        expectedOutputTokens,
        this.#loads.computeMsPerToken(),
      ),
      returned: this.#refused.has(request.subject),
      answer,
    };
    const { targetMs, patienceMs } = request;
    const refusal = this.#line.add(waiting, targetMs - this.#computeStartTime(request), patienceMs);
    if (refusal !== undefined) {
      this.#refuse(waiting, refusal.retryAfterMs);
      return () => undefined;
    }
    this.update();
    return () => {
      this.#line.remove(waiting);
    };
  }

  /** Takes in what a VM tells of a placed request. */
  recordProgress(progress: types.PlaceProgress): void {
    const { key, prefillMs, failedRunner, ended, outputTokens = 0, decodeMs = 0 } = progress;
    const now = this.#options.clock.now();
    if (failedRunner !== undefined) this.#absences.recordFailure(failedRunner);
    if (prefillMs !== undefined || ended === true) this.#loads.releasePrefill(key, prefillMs);
    if (ended === true) this.#loads.releaseDecode(key, outputTokens, decodeMs, now);
    this.update();
  }

  /** Takes in a request that another scheduler placed. */
  recordRunning(running: types.RunningRequest): void {
    const load = this.#loads.useDecode(running.decodeRunner);
    if (load.has(running.key)) return;
    const startsAt = this.#options.clock.now() - running.runningMs;
    load.add(running.key, { ...running, startsAt });
  }

  /** Takes in a runner's report of itself. */
  recordReport(runnerId: string, report: gateway.EngineReport): void {
    this.#absences.recordAnswer(runnerId);
    this.#loads.useDecode(runnerId).recordReport(report, this.#options.clock.now());
    this.update();
  }

  /** Notes that a runner does not report. */
  recordNoReport(runnerId: string): void {
    this.#absences.recordFailure(runnerId);
  }

  /** Grants places to those who wait, as far as there are any. */
  update(): void {
    this.#expire();
    for (;;) {
      const next = this.#line.findNext();
      if (next === undefined) break;
      const place = this.#choosePlace(next.entry, next.late);
      if (place === undefined) break;
      this.#line.recordGrant(next.entry);
      next.entry.answer({ granted: true, place });
    }
    for (const given of this.#line.removeExpired()) {
      this.#refuse(given.entry, given.retryAfterMs);
    }
    this.#scheduleUpdate();
  }

  close(): void {
    this.#cancelTimer?.();
  }

  #refuse(waiting: Waiting, retryAfterMs: number): void {
    this.#refused.add(waiting.request.subject);
    waiting.answer({ granted: false, retryAfterMs });
  }

  #scheduleUpdate(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    const waitMs = this.#line.computeNextChange();
    if (waitMs === undefined) return;
    this.#cancelTimer = this.#options.clock.schedule(waitMs, () => {
      this.update();
    });
  }

  #expire(): void {
    const now = this.#options.clock.now();
    if (now < this.#expiresAt) return;
    this.#expiresAt = now + EXPIRY_PERIOD_MS;
    const listed = new Set(this.#options.listCandidates().map(({ runner }) => runner.id));
    this.#loads.expire(now, listed);
  }

  #choosePlace(waiting: Waiting, late: boolean): types.Place | undefined {
    const { request } = waiting;
    const usable = this.#listUsable(request);
    const prefill = this.#choosePrefill(usable, request);
    if (prefill.kind === "busy") return undefined;
    const prefillRunner = prefill.kind === "runner" ? prefill.id : undefined;
    const run = this.#createRun(request, prefillRunner);
    const now = this.#options.clock.now();
    const limits = this.#computeLimits(waiting, late);
    const decodeRunner = runnerChoice.chooseDecodeRunner(usable, this.#loads, run, limits, now);
    if (decodeRunner === undefined) return undefined;
    this.#recordPlace(waiting, decodeRunner, run, late);
    this.#loads.useDecode(decodeRunner).add(request.key, run);
    if (prefillRunner !== undefined) {
      this.#loads.usePrefill(prefillRunner).add(request.key, request.promptTokens, now);
    }
    return { prefillRunner, decodeRunner };
  }

  #choosePrefill(
    usable: readonly runners.Runner[],
    request: types.PlaceRequest,
  ): runnerChoice.PrefillChoice {
    if (request.prefilledBy !== undefined) return { kind: "none" };
    return runnerChoice.choosePrefillRunner(usable, this.#loads, request.zone);
  }

  #createRun(
    request: types.PlaceRequest,
    prefillRunner: string | undefined,
  ): memoryForecast.ForecastRun {
    const { promptTokens, expectedOutputTokens, maxOutputTokens } = request;
    const readMs =
      prefillRunner === undefined ? 0 : this.#computePrefillTime(prefillRunner, request);
    const startsAt = this.#options.clock.now() + readMs + HANDOVER_MS;
    return { promptTokens, expectedOutputTokens, maxOutputTokens, startsAt };
  }

  #computeLimits(waiting: Waiting, late: boolean): runnerChoice.DecodeLimits {
    const capacity = this.engine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY;
    const memoryTokens = capacity * this.#share * getMemoryShare(waiting, late);
    return { memoryTokens, slotShare: this.#share };
  }

  #recordPlace(
    waiting: Waiting,
    decode: string,
    run: memoryForecast.ForecastRun,
    late: boolean,
  ): void {
    const now = this.#options.clock.now();
    const load = this.#loads.useDecode(decode);
    this.#options.log.write(logEvents.LOG_EVENTS.requestPlaced, {
      request: waiting.request.key,
      runner: decode,
      waitedMs: Math.round(now - waiting.arrivedAt),
      late,
      waiting: this.#line.size,
      runs: load.count,
      peakTokens: Math.round(load.computePeak(run, now)),
      promptTokens: run.promptTokens,
      expectedOutputTokens: run.expectedOutputTokens,
      msPerToken: load.msPerToken,
    });
  }

  #listUsable(request: types.PlaceRequest): readonly runners.Runner[] {
    const listed = this.#options
      .listCandidates()
      .filter(({ runner }) => !request.excluded.includes(runner.id));
    const staying = listed.filter(({ runner }) => !this.#switches.has(runner));
    const sound = staying.filter(({ runner, paused }) => !paused && !this.#absences.has(runner.id));
    return (sound.length > 0 ? sound : staying).map((candidate) => candidate.runner);
  }

  #computePrefillTime(runnerId: string, request: types.PlaceRequest): number {
    const load = this.#loads.usePrefill(runnerId);
    return load.computeWait() + load.computeReadTime(request.promptTokens);
  }

  /** Returns the time from a grant to the first event with nothing in the way. */
  #computeStartTime(request: types.PlaceRequest): number {
    return request.promptTokens / this.#loads.computeReadSpeed() + HANDOVER_MS;
  }
}

function getMemoryShare(waiting: Waiting, late: boolean): number {
  if (!late) return MEMORY_SHARE;
  return waiting.returned ? RETURNED_MEMORY_SHARE : LATE_MEMORY_SHARE;
}
