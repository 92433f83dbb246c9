/**
 * Chooses the runners of a request, by what is placed on each.
 */
import type * as clocks from "../kernel/clock.js";
import type * as routing from "../routing/types.js";
import * as runners from "../runners/types.js";
import type * as memoryForecast from "./memory-forecast.js";
import * as poolLoads from "./pool-loads.js";
import * as runnerAbsences from "./runner-absences.js";
import * as runnerChoice from "./runner-choice.js";
import * as stageSwitches from "./stage-switches.js";
import type * as types from "./types.js";

/** From the end of reading to the first event: transfer, connection and first step. */
const HANDOVER_MS = 40;

/** A runner that may be chosen. */
export interface Candidate {
  readonly runner: runners.Runner;
  /** Whether this VM could not reach it lately. */
  readonly paused: boolean;
}

/** What places are chosen with. */
export interface PoolPlacesOptions {
  readonly clock: clocks.Clock;
  /** Returns the runners of the service that take new work. */
  readonly listCandidates: () => readonly Candidate[];
  /** Returns the engine's properties by the configuration in force. */
  readonly findEngine: () => routing.EngineSpec | undefined;
}

/** What may be filled for a request. */
export interface PlaceLimits {
  /** Part of a runner's memory that forecasts may fill. */
  readonly memoryShare: number;
  /** Part of the runners that this scheduler may use; less than 1 while others place there too. */
  readonly poolShare: number;
}

/** A place that was chosen, with what decided it. */
export interface ChosenPlace {
  readonly place: types.Place;
  readonly run: memoryForecast.ForecastRun;
  /** Runs at the decode runner before. */
  readonly runs: number;
  readonly peakTokens: number;
  readonly msPerToken: number;
}

/** The runners of one service and what is placed on them. */
export class PoolPlaces {
  readonly loads = new poolLoads.PoolLoads();
  readonly absences: runnerAbsences.RunnerAbsences;
  readonly switches: stageSwitches.StageSwitches;
  readonly #options: PoolPlacesOptions;

  constructor(options: PoolPlacesOptions) {
    this.#options = options;
    this.absences = new runnerAbsences.RunnerAbsences(options.clock);
    this.switches = new stageSwitches.StageSwitches(options.clock);
  }

  /** The engine's properties, `undefined` when the configuration has none for the service. */
  get engine(): routing.EngineSpec | undefined {
    return this.#options.findEngine();
  }

  /** Whether a runner is listed that still changes its stage. */
  hasSwitching(): boolean {
    return this.#options.listCandidates().some(({ runner }) => this.switches.has(runner));
  }

  /** Takes in that a runner changes its stage, perhaps by the order of an earlier scheduler. */
  recordSwitching(runner: runners.Runner): void {
    if (this.switches.has(runner)) return;
    const { prefill, decode } = runners.STAGE;
    const stage = runner.stage === prefill ? decode : prefill;
    this.switches.add(runner, stage, this.engine?.stageSwitchMs ?? 0);
  }

  /** Returns the runner that an order disturbs least. */
  chooseForOrder(candidates: readonly runners.Runner[]): runners.Runner | undefined {
    const present = candidates.filter(
      (runner) => !this.switches.has(runner) && !this.absences.has(runner.id),
    );
    return runnerChoice.chooseLeastLoaded(present, this.loads);
  }

  /** Returns the time from a grant to the first event with nothing in the way. */
  computeStartTime(promptTokens: number): number {
    return promptTokens / this.loads.computeReadSpeed() + HANDOVER_MS;
  }

  /** Forgets what ended without a word, and runners that are gone. */
  expire(now: number): void {
    const listed = new Set(this.#options.listCandidates().map(({ runner }) => runner.id));
    this.loads.expire(now, listed);
  }

  /** Chooses a place and takes it, if there is one. */
  reserve(
    request: types.PlaceRequest,
    expectedOutputTokens: number,
    limits: PlaceLimits,
  ): ChosenPlace | undefined {
    const usable = this.#listUsable(request);
    const prefill = this.#choosePrefill(usable, request);
    if (prefill.kind === "busy") return undefined;
    const prefillRunner = prefill.kind === "runner" ? prefill.id : undefined;
    const now = this.#options.clock.now();
    const startsAt = now + this.#computeReadTime(request, prefillRunner) + HANDOVER_MS;
    const run = createRun(request, expectedOutputTokens, startsAt);
    const decodeLimits = this.#computeLimits(limits);
    const id = runnerChoice.chooseDecodeRunner(usable, this.loads, run, decodeLimits, now);
    if (id === undefined) return undefined;
    const load = this.loads.useDecode(id);
    const { count: runs, msPerToken } = load;
    const peakTokens = load.computePeak(run, now);
    load.add(request.key, run);
    if (prefillRunner !== undefined) {
      this.loads.usePrefill(prefillRunner).add(request.key, request.promptTokens, now);
    }
    return { place: { prefillRunner, decodeRunner: id }, run, runs, peakTokens, msPerToken };
  }

  #choosePrefill(
    usable: readonly runners.Runner[],
    request: types.PlaceRequest,
  ): runnerChoice.PrefillChoice {
    if (request.prefilledBy !== undefined) return { kind: "none" };
    return runnerChoice.choosePrefillRunner(usable, this.loads, request.zone, request.cachedBy);
  }

  #computeReadTime(request: types.PlaceRequest, prefillRunner: string | undefined): number {
    if (prefillRunner === undefined) return 0;
    const load = this.loads.usePrefill(prefillRunner);
    return load.computeWait() + load.computeReadTime(request.promptTokens);
  }

  #computeLimits(limits: PlaceLimits): runnerChoice.DecodeLimits {
    const capacity = this.engine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY;
    const { memoryShare, poolShare } = limits;
    return { memoryTokens: capacity * memoryShare * poolShare, slotShare: poolShare };
  }

  #listUsable(request: types.PlaceRequest): readonly runners.Runner[] {
    const listed = this.#options
      .listCandidates()
      .filter(({ runner }) => !request.excluded.includes(runner.id));
    const staying = listed.filter(({ runner }) => !this.switches.has(runner));
    const sound = staying.filter(({ runner, paused }) => !paused && !this.absences.has(runner.id));
    return (sound.length > 0 ? sound : staying).map((candidate) => candidate.runner);
  }
}

function createRun(
  request: types.PlaceRequest,
  expectedOutputTokens: number,
  startsAt: number,
): memoryForecast.ForecastRun {
  const { promptTokens, maxOutputTokens, estimatedOutputTokens, madeTokens } = request;
  // What is left of an answer says little about whole answers.
  const isWhole = madeTokens === 0;
  return {
    promptTokens,
    expectedOutputTokens,
    maxOutputTokens,
    startsAt,
    estimatedOutputTokens: isWhole ? estimatedOutputTokens : undefined,
  };
}
