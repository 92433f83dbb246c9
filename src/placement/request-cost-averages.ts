/** Moving averages of the cost of a pool's requests. */
import type * as stagePlan from "./stage-plan.js";

/** Minimum weight of the newest request; averages over about the last 67 requests. */
const SMOOTHING_FACTOR = 0.015;
/** Minimum number of requests before `compute` returns mean costs. */
const MIN_REQUESTS = 8;

/** Moving averages over the recent requests of one pool. */
export class RequestCostAverages {
  #count = 0;
  #promptTokens = 0;
  #memoryTokenMs = 0;
  #decodeMs = 0;

  /** Records a submitted request with its expected output. */
  record(promptTokens: number, outputTokens: number, msPerToken: number): void {
    this.#count += 1;
    const weight = Math.max(SMOOTHING_FACTOR, 1 / this.#count);
    const decodeMs = outputTokens * msPerToken;
    const memoryTokenMs = (promptTokens + outputTokens / 2) * decodeMs;
    this.#promptTokens += weight * (promptTokens - this.#promptTokens);
    this.#memoryTokenMs += weight * (memoryTokenMs - this.#memoryTokenMs);
    this.#decodeMs += weight * (decodeMs - this.#decodeMs);
  }

  /** Returns a request's use of memory over time, relative to the average request. */
  computeRelativeCost(promptTokens: number, outputTokens: number, msPerToken: number): number {
    if (this.#memoryTokenMs === 0) return 1;
    const memoryTokenMs = (promptTokens + outputTokens / 2) * outputTokens * msPerToken;
    return memoryTokenMs / this.#memoryTokenMs;
  }

  /**
   * Returns the mean cost of a request.
   *
   * @param tokensPerMs - prefill speed of a runner.
   * @param memoryTokens - capacity of a decode runner's KV cache.
   * @param slots - number of requests that a decode runner processes concurrently.
   * @returns `undefined` until enough requests were recorded.
   */
  compute(
    tokensPerMs: number,
    memoryTokens: number,
    slots: number,
  ): stagePlan.RequestCosts | undefined {
    if (this.#count < MIN_REQUESTS) return undefined;
    const byMemory = this.#memoryTokenMs / memoryTokens;
    const bySlots = this.#decodeMs / slots;
    return {
      prefillMs: this.#promptTokens / tokensPerMs,
      decodeMs: Math.max(byMemory, bySlots),
    };
  }
}
