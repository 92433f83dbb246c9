/** Engine client of the simulated runners; supports only delayed load reports and cancellation. */
import type * as upstream from "../src/upstream/types.js";
import type * as scenario from "./scenario.js";

const SAMPLE_PERIOD_MS = 100;

/**
 * Samples every runner's load periodically and returns the newest sample of at least a given age,
 * or the first sample while none is that old.
 */
class LoadHistory {
  readonly #world: scenario.World;
  readonly #ageMs: number;
  readonly #samples: { readonly at: number; readonly loads: Map<string, upstream.RunnerLoad> }[] =
    [];

  constructor(world: scenario.World, ageMs: number) {
    this.#world = world;
    this.#ageMs = ageMs;
    this.#takeSample();
  }

  find(runner: string): upstream.RunnerLoad | undefined {
    const newestVisibleAt = this.#world.clock.now() - this.#ageMs;
    const visible = this.#samples.filter((sample) => sample.at <= newestVisibleAt);
    const newestVisible = visible[visible.length - 1] ?? this.#samples[0];
    return newestVisible?.loads.get(runner);
  }

  #takeSample(): void {
    const { clock, decodeRunners, prefillRunners } = this.#world;
    const at = clock.now();
    const loads = new Map<string, upstream.RunnerLoad>();
    for (const runner of decodeRunners) {
      loads.set(runner.name, this.#createLoad("decode", runner.listRunningAttempts(), 0));
    }
    for (const runner of prefillRunners) {
      loads.set(runner.name, this.#createLoad("prefill", [], runner.queuedTokens));
    }
    this.#samples.push({ at, loads });
    while ((this.#samples[1]?.at ?? Infinity) <= at - this.#ageMs) this.#samples.shift();
    clock.schedule(SAMPLE_PERIOD_MS, () => {
      this.#takeSample();
    });
  }

  #createLoad(
    role: upstream.RunnerLoad["role"],
    held: readonly upstream.AttemptId[],
    queuedPrefillTokens: number,
  ): upstream.RunnerLoad {
    return {
      slotsUsed: held.length,
      slotsTotal: 20,
      piecesUsed: held.length,
      piecesTotal: 4000,
      queuedPrefillTokens,
      model: "model",
      adapters: [],
      version: "1",
      role,
      fencing: 1,
      ageMs: this.#ageMs,
      held,
    };
  }
}

const histories = new WeakMap<scenario.World, LoadHistory>();

/**
 * Creates a client whose load reports are at least `ageMs` old, once the run is older than that,
 * and at most one sample period older. Prefill and decode run outside the client.
 */
export function createSimulatedEngineClient(
  world: scenario.World,
  ageMs: number,
): upstream.EngineClient {
  const history = histories.get(world) ?? new LoadHistory(world, ageMs);
  histories.set(world, history);
  const throwUnsupported = (): never => {
    throw new Error("the simulated engine client supports only cancel and readLoad");
  };
  return {
    prefill: throwUnsupported,
    decode: throwUnsupported,
    resume: throwUnsupported,
    sendOrder: throwUnsupported,
    cancel: (runner, attempt) => {
      world.prefillRunners.find(({ name }) => name === runner.name)?.cancel(attempt.id);
      world.decodeRunners.find(({ name }) => name === runner.name)?.cancel(attempt);
      return Promise.resolve();
    },
    readCacheEvents: () => Promise.resolve([]),
    readLoad: (runner) => {
      const runners = [...world.prefillRunners, ...world.decodeRunners];
      const isDown = runners.some(({ name, down }) => name === runner.name && down);
      const load = history.find(runner.name);
      if (isDown || load === undefined)
        return Promise.reject(new Error(`runner ${runner.name} is down`));
      return Promise.resolve(load);
    },
  };
}
