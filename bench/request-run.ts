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
  reason: string;
  failed: boolean;
  left: boolean;
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
    reason: "",
    failed: false,
    left: false,
    firstTokenMs: undefined,
    gapMs: undefined,
    ended: false,
    wastedTokens: 0,
    cancelledTokens: 0,
    computedTokens: 0,
  };
}

/** Whether a request met both targets. */
export function isGood(outcome: Outcome): boolean {
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
  const rate = scenario.RUNNER_MODEL.prefillTokensPerSecond;
  const hasSlot = world.decodes.some(
    (runner) =>
      !runner.down &&
      runner.slowness * scenario.RUNNER_MODEL.stepMs <= scenario.TARGETS.betweenTokensMs &&
      runner.used + runner.waiting + (world.promised.get(runner.name) ?? 0) <
        scenario.RUNNER_MODEL.slots,
  );
  const queued = Math.min(...world.prefills.map((runner) => runner.queuedTokens));
  const firstTokenAt =
    world.clock.now() + ((queued + promptTokens) / rate) * 1000 + scenario.RUNNER_MODEL.stepMs;
  const targetAt = outcome.arrival.at + scenario.TARGETS.firstTokenMs;
  outcome.wronglyRefused = hasSlot && firstTokenAt < targetAt;
}

/** Runs a prefill whose result is meant for a decode runner, if that is chosen already. */
export async function runPrefill(
  outcome: Outcome,
  world: scenario.World,
  runner: modelPrefill.ModelPrefill,
  decode?: modelDecode.ModelDecode,
): Promise<modelRunners.ModelResult> {
  addPromised(world, decode, 1);
  try {
    const result = await runner.prefill(outcome.arrival);
    outcome.computedTokens += result.computedTokens;
    return result;
  } finally {
    addPromised(world, decode, -1);
  }
}

function addPromised(
  world: scenario.World,
  decode: modelDecode.ModelDecode | undefined,
  count: number,
): void {
  if (decode === undefined) return;
  world.promised.set(decode.name, (world.promised.get(decode.name) ?? 0) + count);
}

/** Accounts for a result that will not be used any more. */
export function recordWaste(outcome: Outcome, result: modelRunners.ModelResult): void {
  if (result.used) return;
  if (outcome.left) outcome.cancelledTokens += result.computedTokens;
  else outcome.wastedTokens += result.computedTokens;
}

/** Runs a decode to its end; resolves with whether it reached it. */
export function runDecode(
  outcome: Outcome,
  world: scenario.World,
  runner: modelDecode.ModelDecode,
  result: modelRunners.ModelResult,
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
        recordWaste(outcome, result);
        resolve(false);
      },
    });
  });
}
