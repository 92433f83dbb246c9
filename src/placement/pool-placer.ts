/** Chooses and reserves the runners of a request by the load on each. */
import type * as clocks from "../kernel/clock.js";
import type * as routing from "../routing/types.js";
import * as runners from "../runners/types.js";
import type * as memoryForecast from "./memory-forecast.js";
import * as poolLoads from "./pool-loads.js";
import * as runnerBackoff from "./runner-backoff.js";
import * as runnerChoice from "./runner-choice.js";
import * as stageSwitches from "./stage-switches.js";
import type * as types from "./types.js";

/**
 * Expected time from the end of the prefill to the first event: KV cache transfer, connection and
 * first decode step.
 */
const HANDOVER_MS = 40;

/** A runner that may be chosen. */
export interface Candidate {
  readonly runner: runners.Runner;
  /** Whether the runner is in backoff on this VM after connection failures. */
  readonly inBackoff: boolean;
}

/** Grants sends to runners that named a limit. */
export interface LimitGate {
  /** Returns the time in milliseconds until a runner may be sent a request, 0 if it may now. */
  computeWait(runner: runners.Runner): number;
  recordSend(runner: runners.Runner): void;
}

/** Dependencies of the placer. */
export interface PoolPlacerOptions {
  readonly clock: clocks.Clock;
  /** Returns the runners of the service that accept new work. */
  readonly listCandidates: () => readonly Candidate[];
  /** Returns the runners of the service that leave and may still be sent requests for some time. */
  readonly listDraining?: () => readonly Candidate[];
  /** Limits that runners named; without it there are none. */
  readonly limits?: LimitGate;
  /** Returns the engine's properties from the current configuration. */
  readonly findEngine: () => routing.EngineSpec | undefined;
}

/** Limits on the capacity that a placement may use. */
export interface PlacementLimits {
  /** Fraction of a runner's memory that the forecast peak may reach. */
  readonly memoryShare: number;
  /**
   * Fraction of each runner's capacity that this scheduler may use; below 1 while schedulers on
   * other VMs place requests on the same runners.
   */
  readonly capacityShare: number;
}

/** A chosen placement with the figures behind the choice. */
export interface ChosenPlacement {
  readonly place: types.Placement;
  readonly run: memoryForecast.ForecastRun;
  /** Runs on the decode runner before this one. */
  readonly runCount: number;
  readonly peakTokens: number;
  readonly msPerToken: number;
}

/** The runners of one service with their load. */
export class PoolPlacer {
  readonly loads = new poolLoads.PoolLoads();
  readonly backoff: runnerBackoff.RunnerBackoff;
  readonly switches: stageSwitches.StageSwitches;
  readonly #options: PoolPlacerOptions;

  constructor(options: PoolPlacerOptions) {
    this.#options = options;
    this.backoff = new runnerBackoff.RunnerBackoff(options.clock);
    this.switches = new stageSwitches.StageSwitches(options.clock);
  }

  /** The engine's properties, `undefined` when the configuration has none for the service. */
  get engine(): routing.EngineSpec | undefined {
    return this.#options.findEngine();
  }

  /** Whether any listed runner is switching its stage. */
  hasSwitchingRunner(): boolean {
    return this.#options.listCandidates().some(({ runner }) => this.switches.has(runner));
  }

  /**
   * Records that a runner is switching its stage, possibly on the order of an earlier scheduler.
   */
  recordSwitching(runner: runners.Runner): void {
    if (this.switches.has(runner)) return;
    const { prefill, decode } = runners.STAGE;
    const stage = runner.stage === prefill ? decode : prefill;
    this.switches.add(runner, stage, this.engine?.stageSwitchMs ?? 0);
  }

  /**
   * Returns the runner whose stage switch disrupts the least work, among those that are neither
   * switching nor in backoff.
   */
  chooseRunnerToSwitch(candidates: readonly runners.Runner[]): runners.Runner | undefined {
    const available = candidates.filter(
      (runner) => !this.switches.has(runner) && !this.backoff.has(runner.id),
    );
    return runnerChoice.chooseLeastLoaded(available, this.loads);
  }

  /** Returns the expected time from a grant to the first event if the runners are idle. */
  computeTimeToFirstEvent(promptTokens: number): number {
    return promptTokens / this.loads.computePrefillSpeed() + HANDOVER_MS;
  }

  /** Drops work whose end was not reported, and idle runners that are no longer listed. */
  expire(now: number): void {
    const listed = new Set(this.#options.listCandidates().map(({ runner }) => runner.id));
    this.loads.expire(now, listed);
  }

  /** Chooses a placement and reserves it; returns `undefined` if there is no capacity. */
  reserve(
    request: types.PlacementRequest,
    expectedOutputTokens: number,
    limits: PlacementLimits,
  ): ChosenPlacement | undefined {
    const usable = this.#listUsable(request);
    const prefill = this.#choosePrefill(usable, request);
    if (prefill.kind === "busy") return undefined;
    const prefillRunner = prefill.kind === "runner" ? prefill.id : undefined;
    const now = this.#options.clock.now();
    const startsAt = now + this.#computePrefillTime(request, prefillRunner) + HANDOVER_MS;
    const run = createRun(request, expectedOutputTokens, startsAt);
    const decodeLimits = this.#computeLimits(limits);
    const id = runnerChoice.chooseDecodeRunner(usable, this.loads, run, decodeLimits, now);
    if (id === undefined) return undefined;
    for (const one of usable)
      if (one.id === id || one.id === prefillRunner) this.#options.limits?.recordSend(one);
    const load = this.loads.getOrCreateDecode(id);
    const { runCount, msPerToken } = load;
    const peakTokens = load.computePeakTokens(run, now);
    load.add(request.key, run);
    if (prefillRunner !== undefined) {
      this.loads.getOrCreatePrefill(prefillRunner).add(request.key, request.promptTokens, now);
    }
    return {
      place: { prefillRunner, decodeRunner: id },
      run,
      runCount,
      peakTokens,
      msPerToken,
    };
  }

  #choosePrefill(
    usable: readonly runners.Runner[],
    request: types.PlacementRequest,
  ): runnerChoice.PrefillChoice {
    const needsNone = request.prefilledBy !== undefined || request.skipsPrefill === true;
    if (needsNone) return { kind: "none" };
    const { zone, cachedBy, softwareVersion } = request;
    const preferred = { zone, cachedBy, softwareVersion };
    return runnerChoice.choosePrefillRunner(usable, this.loads, preferred);
  }

  #computePrefillTime(request: types.PlacementRequest, prefillRunner: string | undefined): number {
    if (prefillRunner === undefined) return 0;
    const load = this.loads.getOrCreatePrefill(prefillRunner);
    return load.computeQueueTime() + load.computePrefillTime(request.promptTokens);
  }

  #computeLimits(limits: PlacementLimits): runnerChoice.DecodeLimits {
    const capacity = this.engine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY;
    const { memoryShare, capacityShare } = limits;
    return { memoryTokens: capacity * memoryShare * capacityShare, slotShare: capacityShare };
  }

  /** Whether a decode runner of the request's version is left; true for a request that may run at any version. */
  isVersionListed({ softwareVersion, excluded }: types.PlacementRequest): boolean {
    if (softwareVersion === undefined) return true;
    return this.#listServing(softwareVersion).some(
      (one) => isDecodeRunner(one) && !excluded.includes(one.runner.id),
    );
  }

  /**
   * Returns the runners that may serve a request. For a resumed stream these are prefill runners of any version and decode
   * runners of its own; those that leave only if there are no others.
   */
  #listServing(softwareVersion: string | undefined): readonly Candidate[] {
    const candidates = this.#options.listCandidates();
    if (softwareVersion === undefined) return candidates;
    const isOfVersion = ({ runner }: Candidate): boolean =>
      runner.softwareVersion === softwareVersion;
    const serving = candidates.filter((one) => !isDecodeRunner(one) || isOfVersion(one));
    if (serving.some(isDecodeRunner)) return serving;
    const draining = this.#options.listDraining?.() ?? [];
    return [...serving, ...draining.filter((one) => isDecodeRunner(one) && isOfVersion(one))];
  }

  /** Returns the time until a runner that reached its limit may be sent a request; `undefined` if there is none. */
  computeTimeToNextSend(): number | undefined {
    const waits = this.#options
      .listCandidates()
      .map(({ runner }) => this.#computeLimitWait(runner))
      .filter((waitMs) => waitMs > 0);
    return waits.length === 0 ? undefined : Math.ceil(Math.min(...waits));
  }

  #computeLimitWait(runner: runners.Runner): number {
    return this.#options.limits?.computeWait(runner) ?? 0;
  }

  /**
   * Returns the runners that are not switching and have not reached their limits; those in backoff only if there are no
   * others.
   */
  #listUsable(request: types.PlacementRequest): readonly runners.Runner[] {
    const listed = this.#listServing(request.softwareVersion).filter(
      ({ runner }) => !request.excluded.includes(runner.id),
    );
    const notSwitching = listed.filter(({ runner }) => !this.switches.has(runner));
    const healthy = notSwitching.filter(
      ({ runner, inBackoff }) => !inBackoff && !this.backoff.has(runner.id),
    );
    return (healthy.length > 0 ? healthy : notSwitching)
      .map((candidate) => candidate.runner)
      .filter((runner) => this.#computeLimitWait(runner) === 0);
  }
}

/** Whether a runner decodes, also one that has not stated its stage. */
function isDecodeRunner({ runner }: Candidate): boolean {
  return runner.stage !== runners.STAGE.prefill;
}

function createRun(
  request: types.PlacementRequest,
  expectedOutputTokens: number,
  startsAt: number,
): memoryForecast.ForecastRun {
  const { promptTokens, maxOutputTokens, estimatedOutputTokens, generatedTokens } = request;
  // The rest of a partly delivered response is no sample of the length of whole responses.
  const isWhole = generatedTokens === 0;
  return {
    promptTokens,
    expectedOutputTokens,
    maxOutputTokens,
    startsAt,
    estimatedOutputTokens: isWhole ? estimatedOutputTokens : undefined,
  };
}
