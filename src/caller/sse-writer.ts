/** Writes server-sent events to a caller, no faster than the caller reads. */
import type * as stream from "node:stream";
import * as clocks from "../kernel/clock.js";

/** A caller that takes nothing for this long is taken as gone. */
const STALLED_READER_MS = 10_000;

/** The caller stopped reading. */
export class StalledReaderError extends Error {
  override readonly name = "StalledReaderError";
}

/** Writes events to one response stream. */
export class SseWriter {
  readonly #output: stream.Writable;
  readonly #clock: clocks.Clock;

  constructor(output: stream.Writable, timeSource: clocks.Clock) {
    this.#output = output;
    this.#clock = timeSource;
  }

  /**
   * Writes one event and waits while the caller's buffer is full.
   *
   * @throws StalledReaderError when the caller reads nothing for ten seconds.
   */
  async writeEvent(data: string, signal: AbortSignal): Promise<void> {
    if (this.#output.write(`data: ${data}\n\n`)) return;
    using limit = clocks.createTimeLimit(this.#clock, STALLED_READER_MS, signal);
    await new Promise<void>((resolve, reject) => {
      this.#output.once("drain", resolve);
      limit.signal.addEventListener("abort", () => {
        reject(new StalledReaderError("caller stopped reading"));
      });
    });
  }

  close(): void {
    this.#output.end();
  }
}
