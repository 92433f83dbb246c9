/**
 * Stronger baseline policy: chooses both runners before prefill, each as the less loaded of two
 * random candidates. A node adds its own sends since the last delayed report to that report, and
 * refuses requests that it estimates to miss the first-token target.
 */
import * as random from "../src/kernel/random.js";
import type * as modelDecode from "./model-decode.js";
import type * as modelPrefill from "./model-prefill.js";
import type * as reports from "./reports.js";
import * as requestRun from "./request-run.js";
import * as routers from "./router.js";
import * as scenario from "./scenario.js";

/** Fraction of a prefill result's lifetime that the expected wait for a decode slot may use up. */
const MAX_SLOT_WAIT_FRACTION = 0.75;

/** A request that this node sent to a runner, counted until a newer report covers it. */
interface RecentSend {
  readonly runner: string;
  readonly at: number;
  readonly tokens: number;
}

/** One node's estimate of the runners' load: the delayed reports plus its own sends since then. */
class StrongNode {
  readonly #world: scenario.World;
  readonly #reports: reports.DelayedReports;
  readonly #random: random.RandomSource;
  readonly #meanSlotHoldMs: number;
  #sends: RecentSend[] = [];

  constructor(
    world: scenario.World,
    delayedReports: reports.DelayedReports,
    seed: number,
    meanSlotHoldMs: number,
  ) {
    this.#world = world;
    this.#reports = delayedReports;
    this.#random = random.createSeededRandom(seed);
    this.#meanSlotHoldMs = meanSlotHoldMs;
  }

  choosePrefill(): modelPrefill.SimulatedPrefillRunner | undefined {
    const usable = this.#world.prefillRunners.filter(
      (runner) => !this.#reports.get(runner.name).down,
    );
    return this.#chooseBetterOfTwo(usable, (runner) => this.computePrefillWait(runner));
  }

  chooseDecode(): modelDecode.SimulatedDecodeRunner | undefined {
    const usable = this.#world.decodeRunners.filter(
      (runner) => !this.#reports.get(runner.name).down,
    );
    return this.#chooseBetterOfTwo(usable, (runner) => this.#countDecodeRequests(runner.name));
  }

  /** Returns the expected wait for a decode slot, in milliseconds. */
  computeDecodeWait(runner: modelDecode.SimulatedDecodeRunner): number {
    const { slots } = scenario.RUNNER_PARAMETERS;
    const excessRequests = this.#countDecodeRequests(runner.name) + 1 - slots;
    return Math.max(0, (excessRequests * this.#meanSlotHoldMs) / slots);
  }

  /** Returns the expected wait until the prefills already queued have been computed, in ms. */
  computePrefillWait(runner: modelPrefill.SimulatedPrefillRunner): number {
    const report = this.#reports.get(runner.name);
    const { prefillTokensPerSecond } = scenario.RUNNER_PARAMETERS;
    const sentTokens = this.#listSendsSinceReport(runner.name).reduce(
      (sum, send) => sum + send.tokens,
      0,
    );
    const reportAgeMs = Number.isFinite(report.at) ? this.#world.clock.now() - report.at : 0;
    const queuedMs = ((report.queuedTokens + sentTokens) / prefillTokensPerSecond) * 1000;
    return Math.max(0, queuedMs - reportAgeMs);
  }

  recordSend(runner: string, tokens: number): void {
    const at = this.#world.clock.now();
    this.#sends.push({ runner, at, tokens });
    this.#sends = this.#sends.filter((send) => send.at > this.#reports.get(send.runner).at);
  }

  #countDecodeRequests(runner: string): number {
    return this.#reports.get(runner).load + this.#listSendsSinceReport(runner).length;
  }

  #listSendsSinceReport(runner: string): readonly RecentSend[] {
    const { at } = this.#reports.get(runner);
    return this.#sends.filter((send) => send.runner === runner && send.at > at);
  }

  #chooseBetterOfTwo<Runner>(
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

/** Creates the strong policy; `meanSlotHoldMs` is the mean time that a request holds a slot. */
export function createStrongRouter(
  world: scenario.World,
  delayedReports: reports.DelayedReports,
  meanSlotHoldMs: number,
): routers.Router {
  const nodes = Array.from(
    { length: world.nodeCount },
    (_, index) => new StrongNode(world, delayedReports, index + 1, meanSlotHoldMs),
  );
  return {
    ...routers.NO_OP_FAULT_INJECTOR,
    start: () => Promise.resolve(),
    countMessages: () => 0,
    countBytes: () => 0,
    [Symbol.asyncDispose]: () => Promise.resolve(),
    run: async (outcome, disconnectSignal) => {
      const node = nodes[outcome.arrival.nodeSelector % nodes.length];
      if (node === undefined) return;
      for (outcome.attempt = 1; outcome.attempt <= routers.MAX_ATTEMPTS; outcome.attempt += 1) {
        const isOver = await runAttempt(world, node, outcome, disconnectSignal);
        if (
          isOver ||
          outcome.refused ||
          disconnectSignal.aborted ||
          outcome.firstTokenMs !== undefined
        ) {
          return;
        }
      }
    },
  };
}

/** Runs one attempt; returns whether it completed or its caller disconnected during prefill. */
async function runAttempt(
  world: scenario.World,
  node: StrongNode,
  outcome: requestRun.Outcome,
  disconnectSignal: AbortSignal,
): Promise<boolean> {
  const { arrival } = outcome;
  const prefillRunner = node.choosePrefill();
  const decodeRunner = node.chooseDecode();
  if (prefillRunner === undefined || decodeRunner === undefined) return false;
  const { prefillTokensPerSecond, stepMs, resultTtlMs } = scenario.RUNNER_PARAMETERS;
  const prefillMs = (arrival.promptTokens / prefillTokensPerSecond) * 1000;
  const slotWaitMs = node.computeDecodeWait(decodeRunner);
  const readyMs = node.computePrefillWait(prefillRunner) + prefillMs;
  const firstTokenAt = world.clock.now() + Math.max(readyMs, slotWaitMs) + stepMs;
  const isLate = firstTokenAt > arrival.at + scenario.TARGETS.firstTokenMs;
  if (isLate || slotWaitMs > readyMs + MAX_SLOT_WAIT_FRACTION * resultTtlMs) {
    requestRun.markRefused(outcome, world);
    return false;
  }
  node.recordSend(prefillRunner.name, arrival.promptTokens);
  node.recordSend(decodeRunner.name, 0);
  const onDisconnect = (): void => {
    prefillRunner.cancel(arrival.id);
    decodeRunner.cancel({ id: arrival.id, attempt: outcome.attempt });
  };
  disconnectSignal.addEventListener("abort", onDisconnect);
  try {
    const result = await requestRun.runPrefill(outcome, world, prefillRunner, decodeRunner);
    if (disconnectSignal.aborted) {
      requestRun.recordUnusedResult(outcome, result);
      return true;
    }
    outcome.failed = !(await requestRun.runDecode(outcome, world, decodeRunner, result));
  } catch {
    outcome.failed = true;
  } finally {
    disconnectSignal.removeEventListener("abort", onDisconnect);
  }
  return !outcome.failed;
}
