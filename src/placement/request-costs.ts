/** Learns what the requests of a pool cost. */
import type * as stagePlan from "./stage-plan.js";

/** Weight of the newest request: about the last sixty count. */
const WEIGHT = 0.015;
/** Requests before the averages mean anything. */
const FEWEST_REQUESTS = 8;

/** Averages over the latest requests of one service. */
export class RequestCosts {
  #count = 0;
  #promptTokens = 0;
  #memoryTokenMs = 0;
  #decodeMs = 0;

  /** Records a request that was placed, with the answer it is expected to give. */
  record(promptTokens: number, outputTokens: number, msPerToken: number): void {
    this.#count += 1;
    const weight = Math.max(WEIGHT, 1 / this.#count);
    const decodeMs = outputTokens * msPerToken;
    const memoryTokenMs = (promptTokens + outputTokens / 2) * decodeMs;
    this.#promptTokens += weight * (promptTokens - this.#promptTokens);
    this.#memoryTokenMs += weight * (memoryTokenMs - this.#memoryTokenMs);
    this.#decodeMs += weight * (decodeMs - this.#decodeMs);
  }

  /** Returns what a request uses of the pool's memory against an average one. */
  computeSize(promptTokens: number, outputTokens: number, msPerToken: number): number {
    if (this.#memoryTokenMs === 0) return 1;
    const memoryTokenMs = (promptTokens + outputTokens / 2) * outputTokens * msPerToken;
    return memoryTokenMs / this.#memoryTokenMs;
  }

  /**
   * Returns the average cost of a request.
   *
   * @param tokensPerMs - how fast a runner reads prompts.
   * @returns `undefined` while too few requests were seen.
   */
  compute(
    tokensPerMs: number,
    memoryTokens: number,
    slots: number,
  ): stagePlan.RequestCosts | undefined {
    if (this.#count < FEWEST_REQUESTS) return undefined;
    const byMemory = this.#memoryTokenMs / memoryTokens;
    const bySlots = this.#decodeMs / slots;
    return {
      prefillMs: this.#promptTokens / tokensPerMs,
      decodeMs: Math.max(byMemory, bySlots),
    };
  }
}
