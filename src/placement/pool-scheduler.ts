/**
 * Places the model requests of one service. Load pattern: bursts of two to three times what the pool can
 * decode. What would be preempted later is not let in; who can still be on time goes first; who cannot
 * is served from what is left over; who would wait longer than a caller does is refused at once.
 */
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as routing from "../routing/types.js";
import * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as decodeLoad from "./decode-load.js";
import type * as memoryForecast from "./memory-forecast.js";
import * as refusedSubjects from "./refused-subjects.js";
import * as requestCosts from "./request-costs.js";
import type * as stagePlan from "./stage-plan.js";
import * as prefillLoad from "./prefill-load.js";
import type * as types from "./types.js";
import * as runnerAbsences from "./runner-absences.js";
import * as waitingLine from "./waiting-line.js";

/** Part of a runner's memory that forecasts may fill; the rest covers answers longer than estimated. */
const MEMORY_SHARE = 0.95;
/** The same for requests that are late anyway: they must not cost one that is on time its place. */
const LATE_MEMORY_SHARE = 0.7;
/** The same for those among them that were refused before: they do not come a third time. */
const RETURNED_MEMORY_SHARE = 0.8;
/** Longest queue at a prefill runner: beyond it waiting here is better, for the choice stays open. */
const LONGEST_PREFILL_WAIT_MS = 150;
/** From the end of reading to the first event: transfer, connection and first step. */
const HANDOVER_MS = 40;
const EXPIRY_PERIOD_MS = 1_000;
/** A change of stage that takes this many times its usual time is no longer waited for. */
const SWITCH_PATIENCE = 2;
/** Time of an output token before any runner was measured; only its order of magnitude matters. */
const UNMEASURED_MS_PER_TOKEN = 1;

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

interface Switching {
  readonly stage: runners.Stage;
  /** Start of the runner's process that took the order. */
  readonly bornAt: number;
  readonly until: number;
}

/** Holds the waiting requests and what is placed on each runner of one service. */
export class PoolScheduler {
  readonly #options: SchedulerOptions;
  readonly #decode = new Map<string, decodeLoad.DecodeLoad>();
  readonly #prefill = new Map<string, prefillLoad.PrefillLoad>();
  readonly #line: waitingLine.WaitingLine<Waiting>;
  readonly #costs = new requestCosts.RequestCosts();
  readonly #absences: runnerAbsences.RunnerAbsences;
  readonly #refused: refusedSubjects.RefusedSubjects;
  /** Runners that change their stage, with the stage they are to have and when that is given up. */
  readonly #switching = new Map<string, Switching>();
  #expiresAt = 0;
  #cancelTimer: (() => void) | undefined;
  /** Part of the runners' memory that this scheduler may fill. */
  #share = 1;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#line = new waitingLine.WaitingLine(options.clock);
    this.#absences = new runnerAbsences.RunnerAbsences(options.clock);
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
    return this.#costs.compute(this.#computeReadSpeed(), memoryTokens, engine.slots);
  }

  /** Returns the runner with the least work placed on it. */
  chooseLeastLoaded(candidates: readonly runners.Runner[]): runners.Runner | undefined {
    const loads = candidates
      .filter((runner) => !this.#switching.has(runner.id) && !this.#absences.has(runner.id))
      .map((runner) => {
        const waitMs = this.#usePrefill(runner.id).computeWait();
        return { runner, load: waitMs + this.#useDecode(runner.id).count };
      });
    loads.sort((first, second) => first.load - second.load);
    return loads[0]?.runner;
  }

  /** Notes that a runner has been ordered to another stage; it gets no work until it is listed so. */
  setSwitching(runner: runners.Runner, stage: runners.Stage): void {
    const switchMs = this.engine?.stageSwitchMs ?? 0;
    const until = this.#options.clock.now() + switchMs * SWITCH_PATIENCE;
    this.#switching.set(runner.id, { stage, until, bornAt: runner.bornAt });
  }

  /** Whether a runner is listed that still changes its stage; one that started anew does not. */
  hasSwitching(): boolean {
    return this.#options.listCandidates().some(({ runner }) => this.#isSwitching(runner));
  }

  /** Notes that a runner refused its order. */
  removeSwitching(runnerId: string): void {
    this.#switching.delete(runnerId);
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
    this.#costs.record(promptTokens, expectedOutputTokens, this.#computeMsPerToken());
    const waiting: Waiting = {
      request,
      arrivedAt: this.#options.clock.now(),
      size: this.#costs.computeSize(promptTokens, expectedOutputTokens, this.#computeMsPerToken()),
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
    const { key, prefillMs, failedRunner, ended, outputTokens, decodeMs } = progress;
    if (failedRunner !== undefined) this.#absences.recordFailure(failedRunner);
    if (prefillMs !== undefined || ended === true) this.#releasePrefill(key, prefillMs);
    if (ended === true) this.#releaseDecode(key, outputTokens, decodeMs);
    this.update();
  }

  /** Takes in a request that another scheduler placed. */
  recordRunning(running: types.RunningRequest): void {
    const load = this.#useDecode(running.decodeRunner);
    if (load.has(running.key)) return;
    const startsAt = this.#options.clock.now() - running.runningMs;
    load.add(running.key, { ...running, startsAt });
  }

  /** Takes in a runner's report of itself. */
  recordReport(runnerId: string, report: gateway.EngineReport): void {
    this.#absences.recordAnswer(runnerId);
    this.#useDecode(runnerId).recordReport(report, this.#options.clock.now());
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
    for (const [id, load] of this.#decode) {
      load.expire(now);
      if (load.count === 0 && !listed.has(id)) this.#decode.delete(id);
    }
    for (const load of this.#prefill.values()) load.expire(now);
  }

  #choosePlace(waiting: Waiting, late: boolean): types.Place | undefined {
    const { request } = waiting;
    const usable = this.#listUsable(request);
    const isRead = request.prefilledBy !== undefined;
    const prefill = isRead ? undefined : this.#choosePrefill(usable, request);
    if (prefill === "busy") return undefined;
    const readMs = prefill === undefined ? 0 : this.#computePrefillTime(prefill, request);
    const run: memoryForecast.ForecastRun = {
      promptTokens: request.promptTokens,
      expectedOutputTokens: request.expectedOutputTokens,
      maxOutputTokens: request.maxOutputTokens,
      startsAt: this.#options.clock.now() + readMs + HANDOVER_MS,
    };
    const decode = this.#chooseDecode(usable, run, getMemoryShare(waiting, late));
    if (decode === undefined) return undefined;
    this.#recordPlace(waiting, decode, run, late);
    this.#useDecode(decode).add(request.key, run);
    if (prefill === undefined) return { prefillRunner: undefined, decodeRunner: decode };
    const now = this.#options.clock.now();
    this.#usePrefill(prefill).add(request.key, request.promptTokens, now);
    return { prefillRunner: prefill, decodeRunner: decode };
  }

  #recordPlace(
    waiting: Waiting,
    decode: string,
    run: memoryForecast.ForecastRun,
    late: boolean,
  ): void {
    const now = this.#options.clock.now();
    const load = this.#useDecode(decode);
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
    const staying = listed.filter(({ runner }) => !this.#isSwitching(runner));
    const sound = staying.filter(({ runner, paused }) => !paused && !this.#absences.has(runner.id));
    return (sound.length > 0 ? sound : staying).map((candidate) => candidate.runner);
  }

  #isSwitching(runner: runners.Runner): boolean {
    const switching = this.#switching.get(runner.id);
    if (switching === undefined) return false;
    const isDone = runner.stage === switching.stage || runner.bornAt !== switching.bornAt;
    if (isDone || this.#options.clock.now() > switching.until) this.#switching.delete(runner.id);
    return !isDone;
  }

  /** Returns the speed at which the pool's runners read, in tokens a millisecond. */
  #computeReadSpeed(): number {
    const speeds = [...this.#prefill.values()].map((load) => load.tokensPerMs);
    if (speeds.length === 0) return new prefillLoad.PrefillLoad().tokensPerMs;
    return speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
  }

  #computeMsPerToken(): number {
    const speeds = [...this.#decode.values()].map((load) => load.msPerToken);
    if (speeds.length === 0) return UNMEASURED_MS_PER_TOKEN;
    return speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
  }

  /** Returns the prefill runner with the shortest queue; `busy` when all queues are long. */
  #choosePrefill(
    usable: readonly runners.Runner[],
    request: types.PlaceRequest,
  ): string | undefined {
    const readers = usable.filter((runner) => runner.stage === runners.STAGE.prefill);
    if (readers.length === 0) return undefined;
    const waits = readers.map((runner) => ({
      id: runner.id,
      waitMs: this.#usePrefill(runner.id).computeWait(),
      isNear: runner.zone === request.zone,
    }));
    waits.sort((first, second) => first.waitMs - second.waitMs || compareNear(first, second));
    const best = waits[0];
    return best === undefined || best.waitMs > LONGEST_PREFILL_WAIT_MS ? "busy" : best.id;
  }

  #chooseDecode(
    usable: readonly runners.Runner[],
    run: memoryForecast.ForecastRun,
    memoryShare: number,
  ): string | undefined {
    const engine = this.#options.findEngine();
    const capacity = engine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY;
    const limit = capacity * this.#share * memoryShare;
    const now = this.#options.clock.now();
    let best: { readonly id: string; readonly peak: number } | undefined;
    for (const runner of usable) {
      if (runner.stage === runners.STAGE.prefill) continue;
      const load = this.#useDecode(runner.id);
      if (load.count >= Math.max(1, runner.slots * this.#share)) continue;
      const peak = load.computePeak(run, now);
      const fits = peak <= limit || load.count === 0;
      if (fits && (best === undefined || peak < best.peak)) best = { id: runner.id, peak };
    }
    return best?.id;
  }

  #computePrefillTime(runnerId: string, request: types.PlaceRequest): number {
    const load = this.#usePrefill(runnerId);
    return load.computeWait() + load.computeReadTime(request.promptTokens);
  }

  /** Returns the time from a grant to the first event with nothing in the way. */
  #computeStartTime(request: types.PlaceRequest): number {
    const [any] = this.#prefill.values();
    const readMs = (any ?? new prefillLoad.PrefillLoad()).computeReadTime(request.promptTokens);
    return readMs + HANDOVER_MS;
  }

  #releasePrefill(key: string, prefillMs: number | undefined): void {
    for (const load of this.#prefill.values()) {
      if (load.remove(key, prefillMs)) return;
    }
  }

  #releaseDecode(key: string, outputTokens = 0, decodeMs = 0): void {
    for (const load of this.#decode.values()) {
      if (!load.remove(key, this.#options.clock.now())) continue;
      load.recordSpeed(outputTokens, decodeMs);
      return;
    }
  }

  #useDecode(id: string): decodeLoad.DecodeLoad {
    const known = this.#decode.get(id);
    if (known !== undefined) return known;
    const load = new decodeLoad.DecodeLoad();
    this.#decode.set(id, load);
    return load;
  }

  #usePrefill(id: string): prefillLoad.PrefillLoad {
    const known = this.#prefill.get(id);
    if (known !== undefined) return known;
    const load = new prefillLoad.PrefillLoad();
    this.#prefill.set(id, load);
    return load;
  }
}

function getMemoryShare(waiting: Waiting, late: boolean): number {
  if (!late) return MEMORY_SHARE;
  return waiting.returned ? RETURNED_MEMORY_SHARE : LATE_MEMORY_SHARE;
}

function compareNear(first: { isNear: boolean }, second: { isNear: boolean }): number {
  return Number(second.isNear) - Number(first.isNear);
}
