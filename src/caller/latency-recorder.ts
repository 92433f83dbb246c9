/** Records the latencies of a response and whether it met its latency targets. */
import type * as kernels from "../kernel/container.js";
import type * as types from "./types.js";

/** Minimum fraction of the gaps between tokens that must be within the target. */
const MIN_ON_TIME_GAP_FRACTION = 0.95;

/**
 * Records the time to first token and the gaps between tokens of one response and, at its end
 * event, whether it met the targets. A response without an end event is counted neither as met nor
 * missed.
 */
export class LatencyRecorder {
  readonly #kernel: kernels.Kernel;
  readonly #call: types.ModelCall;
  readonly #startedAt: number;
  #lastTokenAt: number | undefined;
  #firstTokenMs = Number.POSITIVE_INFINITY;
  #gapCount = 0;
  #lateGapCount = 0;

  constructor(kernel: kernels.Kernel, call: types.ModelCall) {
    this.#kernel = kernel;
    this.#call = call;
    this.#startedAt = kernel.use("clock").now();
  }

  /** Yields the events unchanged and records their latencies. */
  async *recordResponse(events: AsyncIterable<types.ModelEvent>): AsyncGenerator<types.ModelEvent> {
    for await (const event of events) {
      if (event.type === "token") this.#recordToken();
      else this.#recordEnd();
      yield event;
    }
  }

  #recordToken(): void {
    const now = this.#kernel.use("clock").now();
    const metrics = this.#kernel.use("metrics");
    if (this.#lastTokenAt === undefined) {
      this.#firstTokenMs = now - this.#startedAt;
      metrics.recordDuration("first_token", this.#firstTokenMs);
    } else {
      const gap = now - this.#lastTokenAt;
      this.#gapCount += 1;
      if (gap > this.#call.betweenTokensMs) this.#lateGapCount += 1;
      metrics.recordDuration("between_tokens", gap);
    }
    this.#lastTokenAt = now;
  }

  #recordEnd(): void {
    const targetsMet =
      this.#firstTokenMs <= this.#call.firstTokenMs &&
      this.#lateGapCount <= this.#gapCount * (1 - MIN_ON_TIME_GAP_FRACTION);
    this.#kernel.use("metrics").count("answers", { targets: targetsMet ? "met" : "missed" });
  }
}
