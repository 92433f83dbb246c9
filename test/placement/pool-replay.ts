/** Replays load patterns on a pool scheduler with models of the engines. */
import * as random from "../../src/kernel/random.js";
import * as poolScheduler from "../../src/placement/pool-scheduler.js";
import type * as types from "../../src/placement/types.js";
import * as runners from "../../src/runners/types.js";
import * as routing from "../../src/routing/types.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as fixture from "../routing/routing-fixture.js";
import * as engines from "./engine-model.js";

const TARGET_MS = 900;
const MAX_WAIT_MS = 3_060;
const DEADLINE_MS = 14_000;
const STEP_MS = 20;
/** Fraction of its weight that a late response earns. */
const LATE_CREDIT = 0.2;
const MAX_OUTPUT_TOKENS = 7_930;
const MAX_PROMPT_TOKENS = 11_000;
const SHARED_TOKENS = 200;
const MEAN_PROMPT_TOKENS = 5_000;
const MEAN_OUTPUT_TOKENS = 4_270;
/** Standard deviation of the logarithms of prompts, outputs and estimates. */
const LOG_STANDARD_DEVIATION = 0.5;

/** A pool and its load. */
export interface ReplayOptions {
  readonly prefill: number;
  readonly decode: number;
  readonly seed: number;
  /** Requests per second, for each second. */
  readonly arrivals: readonly number[];
  readonly engine?: routing.EngineSpec;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly submitted: number;
  readonly onTime: number;
  readonly late: number;
  /** Requests that were neither on time nor late. */
  readonly refused: number;
  /** Requests that were refused again after the retry. */
  readonly refusedAgain: number;
  /** Number of preemptions. */
  readonly preempted: number;
  /** Tokens that were prefilled again after a preemption. */
  readonly recomputedTokens: number;
  /** Earned weight over total weight; a request weighs by its size. */
  readonly credit: number;
  /** Served fraction of the largest tenth of requests over the served fraction of all. */
  readonly largestServedRatio: number;
}

interface Caller {
  readonly key: string;
  readonly retryKey: string;
  readonly arrivedAt: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly estimatedOutputTokens: number;
  readonly weight: number;
  attempts: number;
  outcome: "waiting" | "onTime" | "late" | "refused";
}

/**
 * Draws from a log-normal distribution, as the prompts and outputs of the deployments have
 * (Box-Muller transform).
 */
function drawLogNormal(source: random.RandomSource, mean: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - source.nextFloat()));
  const normal = radius * Math.cos(2 * Math.PI * source.nextFloat());
  return (
    mean *
    Math.exp(
      LOG_STANDARD_DEVIATION * normal - (LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION) / 2,
    )
  );
}

function createCaller(source: random.RandomSource, number: number, now: number): Caller {
  const draw = (mean: number, max: number): number =>
    Math.min(max, Math.round(drawLogNormal(source, mean)));
  const outputTokens = draw(MEAN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS);
  const promptTokens = draw(MEAN_PROMPT_TOKENS, MAX_PROMPT_TOKENS) + SHARED_TOKENS;
  const meanSize = MEAN_PROMPT_TOKENS + SHARED_TOKENS + 10 * MEAN_OUTPUT_TOKENS;
  return {
    key: `request-${number}`,
    retryKey: `subject-${number}`,
    arrivedAt: now,
    promptTokens,
    outputTokens,
    // Estimates are right at the median, not at the mean.
    estimatedOutputTokens: draw(
      outputTokens * Math.exp((LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION) / 2),
      MAX_OUTPUT_TOKENS,
    ),
    weight: 0.3 + 0.7 * ((promptTokens + 10 * outputTokens) / meanSize),
    attempts: 0,
    outcome: "waiting",
  };
}

/** A load pattern and the pool that serves it. */
class Replay {
  readonly #clock = fakeClock.createFakeClock();
  readonly #options: ReplayOptions;
  readonly #source: random.RandomSource;
  readonly #scheduler: poolScheduler.PoolScheduler;
  readonly #decode: ReadonlyMap<string, engines.DecodeModel>;
  readonly #prefill: ReadonlyMap<string, engines.PrefillModel>;
  readonly #callers: Caller[] = [];
  #refusedAgain = 0;

  constructor(options: ReplayOptions) {
    this.#options = options;
    this.#source = random.createSeededRandom(options.seed);
    const engine = options.engine ?? fixture.ENGINE;
    const listed = createRunners(options, engine);
    this.#scheduler = new poolScheduler.PoolScheduler({
      clock: this.#clock,
      log: { write: () => undefined },
      listCandidates: () => listed.map((runner) => ({ runner, inBackoff: false })),
      findEngine: () => engine,
    });
    const prefillRunners = listed.filter((runner) => runner.stage === runners.STAGE.prefill);
    const decodeRunners = listed.filter((runner) => runner.stage === runners.STAGE.decode);
    this.#prefill = new Map(prefillRunners.map(({ id }) => [id, new engines.PrefillModel()]));
    this.#decode = new Map(
      decodeRunners.map(({ id }) => [id, new engines.DecodeModel(engine.kvCapacityTokens)]),
    );
  }

  /** Replays the whole load in steps of 20 ms. */
  async run(): Promise<ReplayResult> {
    const { arrivals } = this.#options;
    const endsAt = arrivals.length * 1_000 + DEADLINE_MS;
    while (this.#clock.now() < endsAt) {
      const rate = arrivals[Math.floor(this.#clock.now() / 1_000)] ?? 0;
      if (this.#source.nextFloat() < (rate * STEP_MS) / 1_000) this.#addCaller();
      await this.#clock.advance(STEP_MS);
      for (const model of this.#decode.values()) this.#stepDecode(model);
    }
    this.#scheduler.close();
    return this.#createResult();
  }

  #addCaller(): void {
    const caller = createCaller(this.#source, this.#callers.length + 1, this.#clock.now());
    this.#callers.push(caller);
    this.#submit(caller);
  }

  #submit(caller: Caller): void {
    const key = `${caller.key}-${caller.attempts}/0`;
    caller.attempts += 1;
    this.#scheduler.submit(createRequest(caller, key), (answer) => {
      if (answer.granted) this.#startPrefill(caller, key, answer.place);
      else this.#handleRefusal(caller, answer.retryAfterMs);
    });
  }

  /** Retries once, after the retry time of the refusal. */
  #handleRefusal(caller: Caller, retryAfterMs: number): void {
    if (caller.attempts > 1) {
      caller.outcome = "refused";
      this.#refusedAgain += 1;
      return;
    }
    this.#clock.schedule(retryAfterMs, () => {
      this.#submit(caller);
    });
  }

  #startPrefill(caller: Caller, key: string, place: types.Placement): void {
    const prefill = this.#prefill.get(place.prefillRunner ?? "");
    const decode = this.#decode.get(place.decodeRunner);
    if (prefill === undefined) {
      decode?.addForPrefill(this.#createRun(caller, key));
      return;
    }
    const prefillMs = prefill.add(caller.promptTokens, this.#clock.now());
    this.#clock.schedule(prefillMs, () => {
      this.#scheduler.recordProgress({ key, prefillMs });
      decode?.add(this.#createRun(caller, key));
    });
  }

  #createRun(caller: Caller, key: string): engines.ModelRun {
    const { promptTokens, outputTokens, arrivedAt } = caller;
    const startsAt = this.#clock.now();
    return new engines.ModelRun(key, promptTokens, outputTokens, startsAt, {
      onFirstEvent: () => {
        const isOnTime = this.#clock.now() - arrivedAt <= TARGET_MS;
        caller.outcome = isOnTime ? "onTime" : "late";
      },
      onPause: () => {
        caller.outcome = "late";
      },
    });
  }

  #stepDecode(model: engines.DecodeModel): void {
    const now = this.#clock.now();
    for (const run of model.step(STEP_MS)) {
      const { key, outputTokens, startsAt } = run;
      const decodeMs = now - startsAt;
      this.#scheduler.recordProgress({
        key,
        ended: true,
        complete: true,
        outputTokens,
        decodeMs,
      });
    }
  }

  #createResult(): ReplayResult {
    const all = this.#callers;
    const count = (outcome: Caller["outcome"]): number =>
      all.filter((caller) => caller.outcome === outcome).length;
    const sorted = [...all].sort((first, second) => second.weight - first.weight);
    const largest = sorted.slice(0, Math.ceil(all.length / 10));
    const models = [...this.#decode.values()];
    return {
      submitted: all.length,
      onTime: count("onTime"),
      late: count("late"),
      refused: all.length - count("onTime") - count("late"),
      refusedAgain: this.#refusedAgain,
      preempted: models.reduce((sum, model) => sum + model.preempted, 0),
      recomputedTokens: models.reduce((sum, model) => sum + model.recomputedTokens, 0),
      credit: computeCredit(all),
      largestServedRatio: computeServed(largest) / computeServed(all),
    };
  }
}

function computeCredit(callers: readonly Caller[]): number {
  const totalWeight = callers.reduce((sum, caller) => sum + caller.weight, 0);
  const credits = { onTime: 1, late: LATE_CREDIT, refused: 0, waiting: 0 } as const;
  const earned = callers.reduce((sum, { weight, outcome }) => sum + weight * credits[outcome], 0);
  return earned / totalWeight;
}

function computeServed(callers: readonly Caller[]): number {
  const served = callers.filter(({ outcome }) => outcome === "onTime" || outcome === "late");
  return served.length / callers.length;
}

/** Replays one load pattern. */
export function runReplay(options: ReplayOptions): Promise<ReplayResult> {
  return new Replay(options).run();
}

function createRequest(caller: Caller, key: string): types.PlacementRequest {
  return {
    key,
    service: "model",
    retryKey: caller.retryKey,
    promptTokens: caller.promptTokens,
    estimatedOutputTokens: caller.estimatedOutputTokens,
    generatedTokens: 0,
    maxOutputTokens: MAX_OUTPUT_TOKENS,
    targetMs: TARGET_MS,
    maxWaitMs: MAX_WAIT_MS,
    zone: "a",
    excluded: [],
  };
}

function createRunners(
  options: ReplayOptions,
  engine: routing.EngineSpec,
): readonly runners.Runner[] {
  const create = (id: string, stage: runners.Stage): runners.Runner => ({
    id,
    service: "model",
    host: "127.0.0.1",
    port: 1,
    zone: "a",
    slots: engine.slots,
    leaving: false,
    stage,
    bornAt: 1,
    softwareVersion: "v1",
    models: [],
  });
  const { prefill, decode } = options;
  return [
    ...Array.from({ length: prefill }, (_, index) =>
      create(`prefill-${index}`, runners.STAGE.prefill),
    ),
    ...Array.from({ length: decode }, (_, index) =>
      create(`decode-${index}`, runners.STAGE.decode),
    ),
  ];
}
