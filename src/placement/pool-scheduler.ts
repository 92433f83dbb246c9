/**
 * Places the model requests of one service. Load pattern: bursts of two to three times what the pool can
 * decode. What would be preempted later is not let in; who can still be on time goes first; who cannot
 * is served from what is left over; who would wait longer than a caller does is refused at once.
 */
import type * as gateway from "../gateway/types.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as outputEstimates from "./output-estimates.js";
import * as poolPlaces from "./pool-places.js";
import * as refusedSubjects from "./refused-subjects.js";
import * as requestCosts from "./request-costs.js";
import type * as stagePlan from "./stage-plan.js";
import type * as types from "./types.js";
import * as waitingLine from "./waiting-line.js";

/** Part of a runner's memory that forecasts may fill; the rest covers answers longer than expected. */
const MEMORY_SHARE = 0.98;
/** The same for requests that are late anyway: they must not cost one that is on time its place. */
const LATE_MEMORY_SHARE = 0.65;
/** The same for those among them that were refused before: they do not come a third time. */
const RETURNED_MEMORY_SHARE = 0.88;
/** Whoever comes back after a refusal is late: refusals name a time beyond any target. */
const LATE_SLACK_MS = -1;
const EXPIRY_PERIOD_MS = 1_000;

/** What a scheduler works with. */
export interface SchedulerOptions extends poolPlaces.PoolPlacesOptions {
  readonly log: telemetry.EventLog;
}

interface Waiting extends waitingLine.LineEntry {
  readonly request: types.PlaceRequest;
  readonly expectedOutputTokens: number;
  readonly arrivedAt: number;
  readonly answer: (answer: types.PlaceAnswer) => void;
}

/** Holds the waiting requests and what is placed on each runner of one service. */
export class PoolScheduler {
  readonly #options: SchedulerOptions;
  readonly #places: poolPlaces.PoolPlaces;
  readonly #line: waitingLine.WaitingLine<Waiting>;
  readonly #costs = new requestCosts.RequestCosts();
  readonly #estimates = new outputEstimates.OutputEstimates();
  readonly #refused: refusedSubjects.RefusedSubjects;
  #expiresAt = 0;
  #cancelTimer: (() => void) | undefined;
  /** Part of the runners' memory that this scheduler may fill. */
  #share = 1;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#places = new poolPlaces.PoolPlaces(options);
    this.#line = new waitingLine.WaitingLine(options.clock);
    this.#refused = new refusedSubjects.RefusedSubjects(options.clock);
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#line.size;
  }

  /** Returns what a request costs on average, `undefined` while too few were seen. */
  computeCosts(): stagePlan.RequestCosts | undefined {
    const { engine, loads } = this.#places;
    if (engine === undefined) return undefined;
    return this.#costs.compute(loads.computeReadSpeed(), engine.kvCapacityTokens, engine.slots);
  }

  /** Returns the runner that an order disturbs least. */
  chooseForOrder(candidates: readonly runners.Runner[]): runners.Runner | undefined {
    return this.#places.chooseForOrder(candidates);
  }

  /** Notes that a runner has been ordered to another stage; it gets no work until it is listed so. */
  setSwitching(runner: runners.Runner, stage: runners.Stage): void {
    const { switches, engine } = this.#places;
    switches.add(runner, stage, engine?.stageSwitchMs ?? 0);
  }

  /** Whether a runner is listed that still changes its stage. */
  hasSwitching(): boolean {
    return this.#places.hasSwitching();
  }

  /** Notes that a runner refused its order. */
  removeSwitching(runnerId: string): void {
    this.#places.switches.remove(runnerId);
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
    const waiting = this.#createWaiting(request, answer);
    const startMs = this.#places.computeStartTime(request.promptTokens);
    const slackMs = waiting.returned ? LATE_SLACK_MS : request.targetMs - startMs;
    const refusal = this.#line.add(waiting, slackMs, request.patienceMs);
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
    const { key, prefillMs, failedRunner, ended } = progress;
    const { absences, loads } = this.#places;
    if (failedRunner !== undefined) absences.recordFailure(failedRunner);
    if (prefillMs !== undefined || ended === true) loads.releasePrefill(key, prefillMs);
    if (ended === true) this.#recordEnd(progress);
    this.update();
  }

  /** Takes in a request that another scheduler placed. */
  recordRunning(running: types.RunningRequest): void {
    const load = this.#places.loads.useDecode(running.decodeRunner);
    if (load.has(running.key)) return;
    const startsAt = this.#options.clock.now() - running.runningMs;
    const { estimatedOutputTokens, maxOutputTokens } = running;
    const expectedOutputTokens = this.#computeExpected(estimatedOutputTokens, maxOutputTokens);
    load.add(running.key, { ...running, expectedOutputTokens, startsAt });
  }

  /** Takes in a runner's report of itself. */
  recordReport(runner: runners.Runner, report: gateway.EngineReport): void {
    const { absences, loads } = this.#places;
    absences.recordAnswer(runner.id);
    loads.useDecode(runner.id).recordReport(report, this.#options.clock.now());
    if (report.busy) this.#places.recordSwitching(runner);
    this.update();
  }

  /** Notes that a runner does not report. */
  recordNoReport(runnerId: string): void {
    this.#places.absences.recordFailure(runnerId);
  }

  /** Grants places to those who wait, as far as there are any. */
  update(): void {
    this.#expire();
    for (;;) {
      const next = this.#line.findNext();
      if (next === undefined) break;
      const place = this.#grant(next.entry, next.late);
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

  #createWaiting(
    request: types.PlaceRequest,
    answer: (answer: types.PlaceAnswer) => void,
  ): Waiting {
    const { promptTokens, estimatedOutputTokens, maxOutputTokens } = request;
    const expectedOutputTokens = this.#computeExpected(estimatedOutputTokens, maxOutputTokens);
    const msPerToken = this.#places.loads.computeMsPerToken();
    this.#costs.record(promptTokens, expectedOutputTokens, msPerToken);
    return {
      request,
      expectedOutputTokens,
      arrivedAt: this.#options.clock.now(),
      size: this.#costs.computeSize(promptTokens, expectedOutputTokens, msPerToken),
      returned: this.#refused.has(request.subject),
      answer,
    };
  }

  #computeExpected(estimatedTokens: number, maxTokens: number): number {
    return Math.min(maxTokens, this.#estimates.computeMean(estimatedTokens));
  }

  #recordEnd(progress: types.PlaceProgress): void {
    const { key, outputTokens = 0, decodeMs = 0, complete } = progress;
    const now = this.#options.clock.now();
    const run = this.#places.loads.releaseDecode(key, outputTokens, decodeMs, now);
    const estimate = run?.estimatedOutputTokens;
    if (complete === true && estimate !== undefined) this.#estimates.record(estimate, outputTokens);
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
    this.#places.expire(now);
  }

  #grant(waiting: Waiting, late: boolean): types.Place | undefined {
    const { request, expectedOutputTokens } = waiting;
    const limits = { memoryShare: getMemoryShare(waiting, late), poolShare: this.#share };
    const chosen = this.#places.reserve(request, expectedOutputTokens, limits);
    if (chosen === undefined) return undefined;
    const { place, run, runs, peakTokens, msPerToken } = chosen;
    this.#options.log.write(logEvents.LOG_EVENTS.requestPlaced, {
      request: request.key,
      runner: place.decodeRunner,
      prefillRunner: place.prefillRunner,
      waitedMs: Math.round(this.#options.clock.now() - waiting.arrivedAt),
      late,
      returned: waiting.returned,
      waiting: this.#line.size,
      runs,
      peakTokens: Math.round(peakTokens),
      promptTokens: run.promptTokens,
      estimatedOutputTokens: request.estimatedOutputTokens,
      expectedOutputTokens: Math.round(run.expectedOutputTokens),
      msPerToken: Number(msPerToken.toFixed(3)),
    });
    return place;
  }
}

function getMemoryShare(waiting: Waiting, late: boolean): number {
  if (!late) return MEMORY_SHARE;
  return waiting.returned ? RETURNED_MEMORY_SHARE : LATE_MEMORY_SHARE;
}
