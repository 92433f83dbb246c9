/** Standard output that never holds the process up: what its reader does not take in time is left out. */
import * as fs from "node:fs";
import * as stream from "node:stream";

/** Bytes that may wait for the reader: some thousand lines. */
const MAX_WAITING_BYTES = 1_048_576;

/** Returns the line that tells how many were left out. */
export type SuppressionFormatter = (count: number) => string;

/** Passes lines on while the target keeps up, and counts those that it leaves out. */
export class BoundedOutput extends stream.Writable {
  readonly #target: stream.Writable;
  readonly #formatSuppressed: SuppressionFormatter;
  #suppressed = 0;

  constructor(target: stream.Writable, formatSuppressed: SuppressionFormatter) {
    super({ decodeStrings: false });
    this.#target = target;
    this.#formatSuppressed = formatSuppressed;
    // A reader that is gone must not end the process.
    target.on("error", () => undefined);
  }

  override _write(line: string | Buffer, _encoding: string, done: () => void): void {
    if (this.#target.writableLength > MAX_WAITING_BYTES) {
      this.#suppressed += 1;
    } else {
      if (this.#suppressed > 0) this.#target.write(this.#formatSuppressed(this.#suppressed));
      this.#suppressed = 0;
      this.#target.write(line);
    }
    done();
  }

  override _final(done: () => void): void {
    this.#target.end(done);
  }
}

/**
 * Creates a stream to a file descriptor. Node.js writes to standard output synchronously when it is a
 * pipe; a file stream writes from a thread of its own.
 */
export function createFileOutput(descriptor: number): stream.Writable {
  return fs.createWriteStream("", { fd: descriptor, autoClose: false });
}
