/** Runs one request against the simulated runners and records its outcome. */
import type * as modelDecode from "./model-decode.js";
import type * as modelPrefill from "./model-prefill.js";
import * as modelRunners from "./model-runners.js";
import * as scenario from "./scenario.js";
import type * as workload from "./workload.js";

/** Outcome of one arrival. */
export interface Outcome {
  readonly arrival: workload.Arrival;
  attempt: number;
  refused: boolean;
  /**
   * Refused although a decode slot was free and not reserved by a prefill in flight, and the first
   * token would have met its target.
   */
  wronglyRefused: boolean;
  /**
   * Stage at which the request was refused, and the message of the refusal; for debugging a run.
   */
  refusalReason: string;
  failed: boolean;
  /** Whether the caller disconnected before the request completed or was refused. */
  disconnected: boolean;
  firstTokenMs: number | undefined;
  gapMs: number | undefined;
  ended: boolean;
  /** Prefill tokens computed for results that no decode runner imported. */
  wastedTokens: number;
  /**
   * The same for requests whose caller had disconnected by then; not included in `wastedTokens`.
   */
  cancelledTokens: number;
  computedTokens: number;
}

/** Creates the initial outcome of an arrival. */
export function createOutcome(arrival: workload.Arrival): Outcome {
  return {
    arrival,
    attempt: 1,
    refused: false,
    wronglyRefused: false,
    refusalReason: "",
    failed: false,
    disconnected: false,
    firstTokenMs: undefined,
    gapMs: undefined,
    ended: false,
    wastedTokens: 0,
    cancelledTokens: 0,
    computedTokens: 0,
  };
}

/** Returns whether a request completed and met both latency targets. */
export function hasMetTargets(outcome: Outcome): boolean {
  return (
    outcome.ended &&
    (outcome.firstTokenMs ?? Infinity) <= scenario.TARGETS.firstTokenMs &&
    (outcome.gapMs ?? Infinity) <= scenario.TARGETS.betweenTokensMs
  );
}

/**
 * Marks a request as refused, and as wrongly refused when the actual state of the runners allowed
 * it.
 */
export function markRefused(outcome: Outcome, world: scenario.World): void {
  outcome.refused = true;
  const { promptTokens } = outcome.arrival;
  const tokensPerSecond = scenario.RUNNER_PARAMETERS.prefillTokensPerSecond;
  const hasFreeSlot = world.decodeRunners.some(
    (runner) =>
      !runner.down &&
      runner.slowdownFactor * scenario.RUNNER_PARAMETERS.stepMs <=
        scenario.TARGETS.betweenTokensMs &&
      runner.usedSlots + runner.waitingRequests + (world.prefillsInFlight.get(runner.name) ?? 0) <
        scenario.RUNNER_PARAMETERS.slots,
  );
  const minQueuedTokens = Math.min(...world.prefillRunners.map((runner) => runner.queuedTokens));
  const firstTokenAt =
    world.clock.now() +
    ((minQueuedTokens + promptTokens) / tokensPerSecond) * 1000 +
    scenario.RUNNER_PARAMETERS.stepMs;
  const targetAt = outcome.arrival.at + scenario.TARGETS.firstTokenMs;
  outcome.wronglyRefused = hasFreeSlot && firstTokenAt < targetAt;
}

/**
 * Runs a prefill. While it runs, counts it in `prefillsInFlight` of its decode runner, when that is
 * already chosen.
 *
 * @throws UpstreamError when the prefill fails or is cancelled.
 */
export async function runPrefill(
  outcome: Outcome,
  world: scenario.World,
  runner: modelPrefill.SimulatedPrefillRunner,
  decodeRunner?: modelDecode.SimulatedDecodeRunner,
): Promise<modelRunners.SimulatedPrefillResult> {
  addPrefillsInFlight(world, decodeRunner, 1);
  try {
    const result = await runner.prefill(outcome.arrival);
    outcome.computedTokens += result.computedTokens;
    return result;
  } finally {
    addPrefillsInFlight(world, decodeRunner, -1);
  }
}

function addPrefillsInFlight(
  world: scenario.World,
  decodeRunner: modelDecode.SimulatedDecodeRunner | undefined,
  count: number,
): void {
  if (decodeRunner === undefined) return;
  world.prefillsInFlight.set(
    decodeRunner.name,
    (world.prefillsInFlight.get(decodeRunner.name) ?? 0) + count,
  );
}

/** Counts the tokens of a result that no decode runner has started to import, nor will. */
export function recordUnusedResult(
  outcome: Outcome,
  result: modelRunners.SimulatedPrefillResult,
): void {
  if (result.used) return;
  if (outcome.disconnected) outcome.cancelledTokens += result.computedTokens;
  else outcome.wastedTokens += result.computedTokens;
}

/** Runs a decode and records its outcome; resolves with whether it completed, and never rejects. */
export function runDecode(
  outcome: Outcome,
  world: scenario.World,
  runner: modelDecode.SimulatedDecodeRunner,
  result: modelRunners.SimulatedPrefillResult,
  onImported: () => void = () => undefined,
  onGap: (gapMs: number) => void = () => undefined,
): Promise<boolean> {
  const { arrival } = outcome;
  const request = { ...arrival, attempt: outcome.attempt };
  return new Promise((resolve) => {
    runner.decode(request, result, {
      onImported,
      onFirstToken: (gapMs) => {
        outcome.firstTokenMs = world.clock.now() - arrival.at;
        onGap(gapMs);
      },
      onEnd: (gapMs) => {
        outcome.gapMs = gapMs;
        outcome.ended = true;
        resolve(true);
      },
      onFailed: () => {
        recordUnusedResult(outcome, result);
        resolve(false);
      },
    });
  });
}
