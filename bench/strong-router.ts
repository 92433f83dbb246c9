/**
 * The usual strong policy: both runners before prefill, each by two choices on late reports that a
 * node corrects by its own sends since; sheds what it estimates to be late.
 */
import * as random from "../src/kernel/random.js";
import type * as modelDecode from "./model-decode.js";
import type * as modelPrefill from "./model-prefill.js";
import type * as reports from "./reports.js";
import * as requestRun from "./request-run.js";
import * as routers from "./router.js";
import * as scenario from "./scenario.js";

/** Part of the result's life that a request may be expected to wait for a slot. */
const WAIT_PART = 0.75;

interface OwnSend {
  readonly runner: string;
  readonly at: number;
  readonly tokens: number;
}

/** One node's knowledge. */
class StrongNode {
  readonly #world: scenario.World;
  readonly #late: reports.DelayedReports;
  readonly #random: random.RandomSource;
  readonly #lifeMs: number;
  #sends: OwnSend[] = [];

  constructor(world: scenario.World, late: reports.DelayedReports, seed: number, lifeMs: number) {
    this.#world = world;
    this.#late = late;
    this.#random = random.createSeededRandom(seed);
    this.#lifeMs = lifeMs;
  }

  choosePrefill(): modelPrefill.SimulatedPrefillRunner | undefined {
    const usable = this.#world.prefillRunners.filter((runner) => !this.#late.get(runner.name).down);
    return this.#chooseOfTwo(usable, (runner) => this.computePrefillWait(runner));
  }

  chooseDecode(): modelDecode.SimulatedDecodeRunner | undefined {
    const usable = this.#world.decodeRunners.filter((runner) => !this.#late.get(runner.name).down);
    return this.#chooseOfTwo(usable, (runner) => this.#countDecode(runner.name));
  }

  /** Expected wait for a slot. */
  computeDecodeWait(runner: modelDecode.SimulatedDecodeRunner): number {
    const { slots } = scenario.RUNNER_PARAMETERS;
    const missing = this.#countDecode(runner.name) + 1 - slots;
    return Math.max(0, (missing * this.#lifeMs) / slots);
  }

  /** Expected wait for the prefills before. */
  computePrefillWait(runner: modelPrefill.SimulatedPrefillRunner): number {
    const report = this.#late.get(runner.name);
    const { prefillTokensPerSecond } = scenario.RUNNER_PARAMETERS;
    const own = this.#listSends(runner.name).reduce((sum, send) => sum + send.tokens, 0);
    const agedMs = Number.isFinite(report.at) ? this.#world.clock.now() - report.at : 0;
    const queuedMs = ((report.queuedTokens + own) / prefillTokensPerSecond) * 1000;
    return Math.max(0, queuedMs - agedMs);
  }

  recordSend(runner: string, tokens: number): void {
    const at = this.#world.clock.now();
    this.#sends.push({ runner, at, tokens });
    this.#sends = this.#sends.filter((send) => send.at > this.#late.get(send.runner).at);
  }

  #countDecode(runner: string): number {
    return this.#late.get(runner).load + this.#listSends(runner).length;
  }

  #listSends(runner: string): readonly OwnSend[] {
    const { at } = this.#late.get(runner);
    return this.#sends.filter((send) => send.runner === runner && send.at > at);
  }

  #chooseOfTwo<Runner>(
    runners: readonly Runner[],
    score: (runner: Runner) => number,
  ): Runner | undefined {
    const first = runners[this.#random.nextInteger(runners.length)];
    const others = runners.filter((runner) => runner !== first);
    const second = others[this.#random.nextInteger(others.length)];
    if (first === undefined || second === undefined) return first;
    return score(first) <= score(second) ? first : second;
  }
}

/** Creates the strong policy; `lifeMs` is the mean time that a request holds a slot. */
export function createStrongRouter(
  world: scenario.World,
  late: reports.DelayedReports,
  lifeMs: number,
): routers.Router {
  const nodes = Array.from(
    { length: world.nodes },
    (_, index) => new StrongNode(world, late, index + 1, lifeMs),
  );
  return {
    ...routers.NO_OP_FAULT_INJECTOR,
    start: () => Promise.resolve(),
    countMessages: () => 0,
    countBytes: () => 0,
    [Symbol.asyncDispose]: () => Promise.resolve(),
    run: async (outcome, left) => {
      const node = nodes[outcome.arrival.node % nodes.length];
      if (node === undefined) return;
      for (outcome.attempt = 1; outcome.attempt <= routers.MAX_ATTEMPTS; outcome.attempt += 1) {
        const hasEnded = await runAttempt(world, node, outcome, left);
        if (hasEnded || outcome.refused || left.aborted || outcome.firstTokenMs !== undefined) {
          return;
        }
      }
    },
  };
}

async function runAttempt(
  world: scenario.World,
  node: StrongNode,
  outcome: requestRun.Outcome,
  left: AbortSignal,
): Promise<boolean> {
  const { arrival } = outcome;
  const prefill = node.choosePrefill();
  const decode = node.chooseDecode();
  if (prefill === undefined || decode === undefined) return false;
  const { prefillTokensPerSecond, stepMs, resultTtlMs: resultLifeMs } = scenario.RUNNER_PARAMETERS;
  const workMs = (arrival.promptTokens / prefillTokensPerSecond) * 1000;
  const slotWaitMs = node.computeDecodeWait(decode);
  const readyMs = node.computePrefillWait(prefill) + workMs;
  const firstTokenAt = world.clock.now() + Math.max(readyMs, slotWaitMs) + stepMs;
  const isLate = firstTokenAt > arrival.at + scenario.TARGETS.firstTokenMs;
  if (isLate || slotWaitMs > readyMs + WAIT_PART * resultLifeMs) {
    requestRun.markRefused(outcome, world);
    return false;
  }
  node.recordSend(prefill.name, arrival.promptTokens);
  node.recordSend(decode.name, 0);
  const onLeft = (): void => {
    prefill.cancel(arrival.id);
    decode.cancel({ id: arrival.id, attempt: outcome.attempt });
  };
  left.addEventListener("abort", onLeft);
  try {
    const result = await requestRun.runPrefill(outcome, world, prefill, decode);
    if (left.aborted) {
      requestRun.recordUnusedResult(outcome, result);
      return true;
    }
    outcome.failed = !(await requestRun.runDecode(outcome, world, decode, result));
  } catch {
    outcome.failed = true;
  } finally {
    left.removeEventListener("abort", onLeft);
  }
  return !outcome.failed;
}
