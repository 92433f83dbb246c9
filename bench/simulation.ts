/** Simulates one combination of policy, load, fault case and seed and computes its figures. */
import * as leased from "./leased-router.js";
import * as naive from "./naive-router.js";
import * as reports from "./reports.js";
import * as requestRun from "./request-run.js";
import type * as routers from "./router.js";
import * as scenario from "./scenario.js";
import type * as policies from "../src/capacity/policy.js";
import * as strong from "./strong-router.js";
import * as virtualClock from "./virtual-clock.js";
import * as workload from "./workload.js";

const MS_PER_SECOND = 1000;

/** A routing policy and its name in the output. */
export interface PolicyChoice {
  readonly name: string;
  readonly kind: "naive" | "strong" | "ours";
  /** Overridden constants of the leased policy; the other kinds ignore them. */
  readonly overrides: Partial<policies.CapacityPolicy>;
}

/** Options of one simulation run. */
export interface RunOptions {
  readonly policy: PolicyChoice;
  /** Arrival rate as a multiple of the fault-free capacity bound. */
  readonly load: number;
  readonly faultCase: scenario.FaultCase;
  readonly seed: number;
  readonly measuredMs: number;
  /** Number of router nodes; `FLEET.nodeCount` by default. */
  readonly nodes?: number;
  /** Called after the run with the outcome of every arrival. */
  readonly onOutcomes?: (outcomes: readonly requestRun.Outcome[]) => void;
}

/** Figures of one run. Times are in milliseconds; shares are fractions of 1. */
export interface RunFigures {
  /** Requests per second that met both latency targets. */
  readonly goodput: number;
  /**
   * Upper bound of the goodput: the arrival rate or the capacity of the decode slots, whichever is
   * lower.
   */
  readonly bound: number;
  /** Goodput divided by `bound`. */
  readonly shareOfBound: number;
  /** Share of the computed prefill tokens whose result no decode runner imported. */
  readonly wastedPrefill: number;
  /** The same for requests whose caller had disconnected by then. */
  readonly cancelledPrefill: number;
  /** Share of the requests that were refused. */
  readonly refusals: number;
  /** Share of the requests that were refused although the runners could have served them. */
  readonly wronglyRefused: number;
  readonly firstTokenP95: number;
  readonly betweenTokenP95: number;
  /** Share of the used slot time that was spent on requests whose output nobody read any more. */
  readonly slotsHeldForNobody: number;
  /** Share of the requests from callers other than the flooding one that met both targets. */
  readonly wellBehavedGood: number;
  /** Control messages between nodes per arrival of the whole run, including warm-up. */
  readonly messagesPerRequest: number;
  /** Size of these messages in bytes per arrival. */
  readonly bytesPerRequest: number;
  /** The same messages per node and second of the warm-up and measured phases. */
  readonly messagesPerNodeSecond: number;
  readonly bytesPerNodeSecond: number;
}

/** Mean number of output tokens per request, computed from a sample of the workload. */
export const MEAN_OUTPUT_TOKENS = computeMeanTokens();

/** Runs one simulation. */
export async function runSimulation(options: RunOptions): Promise<RunFigures> {
  const { faultCase, load, seed, measuredMs } = options;
  const clock = new virtualClock.VirtualClock();
  const world = scenario.createWorld(clock, options.nodes ?? scenario.FLEET.nodeCount);
  await using router = createRouter(options, world);
  await router.start();
  const fullBound = scenario.computeBound(MEAN_OUTPUT_TOKENS, scenario.FLEET.decodeRunnerCount);
  const arrivals = workload.createArrivals({
    seed,
    rate: load * fullBound,
    durationMs: scenario.PHASE_DURATIONS.warmupMs + measuredMs,
    disconnectedFraction: faultCase.disconnectedFraction,
    floodRate: faultCase.hasFloodingCaller ? workload.computeFloodRate(fullBound) : 0,
  });
  faultCase.scheduleFaults(world, router);
  const outcomes = arrivals.map((arrival) => scheduleArrival(world, router, arrival));
  await clock.run(
    scenario.PHASE_DURATIONS.warmupMs + measuredMs + scenario.PHASE_DURATIONS.drainMs,
  );
  options.onOutcomes?.(outcomes);
  return computeFigures(options, world, router, outcomes);
}

function createRouter(options: RunOptions, world: scenario.World): routers.Router {
  const { policy, faultCase } = options;
  if (policy.kind === "ours") {
    const { reportDelayMs } = faultCase;
    return new leased.LeasedRouter(world, {
      policy: policy.overrides,
      reportDelayMs,
    });
  }
  const delayedReports = new reports.DelayedReports(world, faultCase.reportDelayMs);
  const meanSlotHoldMs = MEAN_OUTPUT_TOKENS * scenario.RUNNER_PARAMETERS.stepMs;
  return policy.kind === "naive"
    ? naive.createNaiveRouter(world, delayedReports)
    : strong.createStrongRouter(world, delayedReports, meanSlotHoldMs);
}

function scheduleArrival(
  world: scenario.World,
  router: routers.Router,
  arrival: workload.Arrival,
): requestRun.Outcome {
  const outcome = requestRun.createOutcome(arrival);
  const disconnect = new AbortController();
  world.clock.schedule(arrival.at, () => {
    void router.run(outcome, disconnect.signal);
    if (!Number.isFinite(arrival.disconnectsAfterMs)) return;
    world.clock.schedule(arrival.disconnectsAfterMs, () => {
      if (outcome.ended || outcome.refused) return;
      outcome.disconnected = true;
      disconnect.abort(new Error("caller disconnected"));
    });
  });
  return outcome;
}

function computeFigures(
  options: RunOptions,
  world: scenario.World,
  router: routers.Router,
  outcomes: readonly requestRun.Outcome[],
): RunFigures {
  const { warmupMs } = scenario.PHASE_DURATIONS;
  const seconds = options.measuredMs / MS_PER_SECOND;
  const arrivalSeconds = seconds + warmupMs / MS_PER_SECOND;
  const counted = outcomes.filter(({ arrival }) => arrival.at >= warmupMs);
  const offered = counted.filter((outcome) => !outcome.disconnected);
  const good = counted.filter(requestRun.hasMetTargets);
  const wellBehaved = offered.filter(({ arrival }) => !arrival.isFlood);
  const bound = Math.min(offered.length / seconds, computeCaseBound(options, counted));
  const computedTokens = sum(counted.map((outcome) => outcome.computedTokens));
  const slotTimes = world.decodeRunners.map((runner) => runner.readSlotTime());
  return {
    goodput: good.length / seconds,
    bound,
    shareOfBound: good.length / seconds / bound,
    wastedPrefill: sum(counted.map((outcome) => outcome.wastedTokens)) / computedTokens,
    cancelledPrefill: sum(counted.map((outcome) => outcome.cancelledTokens)) / computedTokens,
    refusals: counted.filter((outcome) => outcome.refused).length / counted.length,
    wronglyRefused: counted.filter((outcome) => outcome.wronglyRefused).length / counted.length,
    firstTokenP95: computeP95(counted.map((outcome) => outcome.firstTokenMs)),
    betweenTokenP95: computeP95(counted.map((outcome) => outcome.gapMs)),
    slotsHeldForNobody:
      sum(slotTimes.map((time) => time.abandonedMs)) / sum(slotTimes.map((time) => time.usedMs)),
    wellBehavedGood: wellBehaved.filter(requestRun.hasMetTargets).length / wellBehaved.length,
    messagesPerRequest: router.countMessages() / outcomes.length,
    bytesPerRequest: router.countBytes() / outcomes.length,
    messagesPerNodeSecond: router.countMessages() / world.nodeCount / arrivalSeconds,
    bytesPerNodeSecond: router.countBytes() / world.nodeCount / arrivalSeconds,
  };
}

/**
 * Computes the capacity bound for the requests that arrived, less the decode slots that the fault
 * case takes away for part of the measured time. A request of a caller that disconnects counts with
 * the slot time up to then, and the bound is scaled by the share of callers that stay connected.
 */
function computeCaseBound(options: RunOptions, counted: readonly requestRun.Outcome[]): number {
  const slotTokens = counted.map(({ arrival }) => {
    const generatedMs = Math.min(
      arrival.outputTokens * scenario.RUNNER_PARAMETERS.stepMs,
      arrival.disconnectsAfterMs,
    );
    return generatedMs / scenario.RUNNER_PARAMETERS.stepMs;
  });
  const meanTokens = sum(slotTokens) / slotTokens.length;
  const preFaultFraction =
    (scenario.FAULT_START_MS - scenario.PHASE_DURATIONS.warmupMs) / options.measuredMs;
  const lostRunners = scenario.FLEET.decodeRunnerCount - options.faultCase.healthyDecodeRunnerCount;
  const meanRunners = scenario.FLEET.decodeRunnerCount - lostRunners * (1 - preFaultFraction);
  const connectedFraction =
    counted.filter((outcome) => !outcome.disconnected).length / counted.length;
  return scenario.computeBound(meanTokens, meanRunners) * connectedFraction;
}

function computeMeanTokens(): number {
  const arrivals = workload.createArrivals({
    seed: 1,
    rate: 1000,
    durationMs: 20_000,
    disconnectedFraction: 0,
    floodRate: 0,
  });
  return sum(arrivals.map((arrival) => arrival.outputTokens)) / arrivals.length;
}

function computeP95(values: readonly (number | undefined)[]): number {
  const sorted = values.filter((value) => value !== undefined).sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.95)] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
