/** One request against the modelled runners, and what came of it. */
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
  /** Refused although a slot was free, promised to no one, and the first token would have been in time. */
  wronglyRefused: boolean;
  /** Result code and place of the refusal, to look into a run. */
  refusalReason: string;
  failed: boolean;
  disconnected: boolean;
  firstTokenMs: number | undefined;
  gapMs: number | undefined;
  ended: boolean;
  /** Tokens computed for results that were never used. */
  wastedTokens: number;
  /** The same where the caller went away before the use. */
  cancelledTokens: number;
  computedTokens: number;
}

/** Creates the outcome of an arrival that has just come. */
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

/** Whether a request met both targets. */
export function hasMetTargets(outcome: Outcome): boolean {
  return (
    outcome.ended &&
    (outcome.firstTokenMs ?? Infinity) <= scenario.TARGETS.firstTokenMs &&
    (outcome.gapMs ?? Infinity) <= scenario.TARGETS.betweenTokensMs
  );
}

/** Marks a refusal, and whether the runners' true state speaks against it. */
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

/** Runs a prefill whose result is meant for a decode runner, if that is chosen already. */
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

/** Accounts for a result that will not be used any more. */
export function recordUnusedResult(
  outcome: Outcome,
  result: modelRunners.SimulatedPrefillResult,
): void {
  if (result.used) return;
  if (outcome.disconnected) outcome.cancelledTokens += result.computedTokens;
  else outcome.wastedTokens += result.computedTokens;
}

/** Runs a decode to its end; resolves with whether it reached it. */
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
