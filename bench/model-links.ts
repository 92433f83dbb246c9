/** Simulated network links between availability zones. */
import type * as clocks from "../src/kernel/clock.js";
import type * as modelRunners from "./model-runners.js";

const MS_PER_SECOND = 1000;

/** Links between zones, one per direction; each carries one transfer at a time. */
export class SimulatedLinks {
  readonly #clock: clocks.Clock;
  readonly #parameters: modelRunners.RunnerParameters;
  readonly #freeAt = new Map<string, number>();
  /** Factor by which transfers on a link are slowed down, by `from\nto`. */
  readonly slowdownFactors = new Map<string, number>();

  constructor(clock: clocks.Clock, parameters: modelRunners.RunnerParameters) {
    this.#clock = clock;
    this.#parameters = parameters;
  }

  /** Queues a transfer of a prompt's KV cache and returns the time until it completes. */
  reserve(from: string, to: string, tokens: number): number {
    const key = `${from}\n${to}`;
    const now = this.#clock.now();
    const bytes = tokens * this.#parameters.kvBytesPerToken;
    const rate = this.#parameters.linkBytesPerSecond / (this.slowdownFactors.get(key) ?? 1);
    const endAt = Math.max(now, this.#freeAt.get(key) ?? 0) + (bytes / rate) * MS_PER_SECOND;
    this.#freeAt.set(key, endAt);
    return endAt - now;
  }
}
