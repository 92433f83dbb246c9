/** Writes server-sent events to a caller with backpressure. */
import type * as stream from "node:stream";
import * as clocks from "../kernel/clock.js";

/** Time after which a caller whose full output buffer does not drain counts as disconnected. */
const STALLED_READER_TIMEOUT_MS = 10_000;

/** The output buffer did not drain in time, or the request was aborted meanwhile. */
export class StalledReaderError extends Error {
  override readonly name = "StalledReaderError";
}

/** Writes events to one response stream. */
export class SseWriter {
  readonly #output: stream.Writable;
  readonly #clock: clocks.Clock;

  constructor(output: stream.Writable, clock: clocks.Clock) {
    this.#output = output;
    this.#clock = clock;
  }

  /**
   * Writes one event. If the output buffer is full, waits until it has drained.
   *
   * @throws StalledReaderError when the buffer does not drain within ten seconds, or when `signal`
   * aborts first.
   */
  async writeEvent(data: string, signal: AbortSignal): Promise<void> {
    if (this.#output.write(`data: ${data}\n\n`)) return;
    using timeLimit = clocks.createTimeLimit(this.#clock, STALLED_READER_TIMEOUT_MS, signal);
    await new Promise<void>((resolve, reject) => {
      this.#output.once("drain", resolve);
      timeLimit.signal.addEventListener("abort", () => {
        reject(new StalledReaderError("caller stopped reading"));
      });
    });
  }

  close(): void {
    this.#output.end();
  }
}
