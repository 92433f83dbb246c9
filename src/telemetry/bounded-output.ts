/** Non-blocking log output that drops lines while its reader is too slow. */
import * as fs from "node:fs";
import * as stream from "node:stream";

/** Size of the target's buffer above which lines are dropped; it holds several thousand lines. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Formats the line that reports the number of dropped lines. */
export type SuppressionFormatter = (count: number) => string;

/** Forwards lines to the target, and drops and counts them while the target's buffer is full. */
export class BoundedOutput extends stream.Writable {
  readonly #target: stream.Writable;
  readonly #formatSuppressed: SuppressionFormatter;
  #suppressedCount = 0;

  constructor(target: stream.Writable, formatSuppressed: SuppressionFormatter) {
    super({ decodeStrings: false });
    this.#target = target;
    this.#formatSuppressed = formatSuppressed;
    // Without a handler, the error of a closed pipe would terminate the process.
    target.on("error", () => undefined);
  }

  override _write(line: string | Buffer, _encoding: string, done: () => void): void {
    if (this.#target.writableLength > MAX_BUFFERED_BYTES) {
      this.#suppressedCount += 1;
    } else {
      if (this.#suppressedCount > 0)
        this.#target.write(this.#formatSuppressed(this.#suppressedCount));
      this.#suppressedCount = 0;
      this.#target.write(line);
    }
    done();
  }

  override _final(done: () => void): void {
    this.#target.end(done);
  }
}

/**
 * Creates a stream that writes to a file descriptor without blocking. Node.js writes to standard
 * output synchronously if it is a pipe; a file stream writes on the thread pool.
 */
export function createFileOutput(descriptor: number): stream.Writable {
  return fs.createWriteStream("", { fd: descriptor, autoClose: false });
}
