/** Reads request bodies. */
import type * as bufferBudget from "../kernel/buffer-budget.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as bufferRefusals from "./buffer-refusals.js";

/**
 * Reads a whole request body.
 *
 * @throws RequestError `bodyTooLarge` when it exceeds `maxBytes`, `overloaded` when the process holds too many bytes, or the
 * connection's error when the body ends early.
 */
export async function readRequestBody(
  request: AsyncIterable<Buffer>,
  maxBytes: number,
  buffers: bufferBudget.BufferAccount,
): Promise<Buffer> {
  const parts = new BodyParts();
  let bytes = 0;
  for await (const chunk of request) {
    bytes += chunk.byteLength;
    if (bytes > maxBytes) {
      const { RESULT_CODES, RAN } = resultCodes;
      throw new resultCodes.RequestError(RESULT_CODES.bodyTooLarge, RAN.no);
    }
    bufferRefusals.reserveBytes(buffers, chunk.byteLength);
    parts.add(chunk);
  }
  return parts.createBody();
}

/** Chunks smaller than this are copied; an object for each would take many times the memory of its bytes. */
const SMALL_CHUNK_BYTES = 1_024;
const BLOCK_BYTES = 16_384;

/** The parts of a body, of which there are few however small its chunks are. */
class BodyParts {
  readonly #parts: Buffer[] = [];
  /** Block that small chunks are copied to. */
  #block: Buffer | undefined;
  #blockLength = 0;

  add(chunk: Buffer): void {
    const isFirst = this.#parts.length === 0 && this.#block === undefined;
    if (isFirst || chunk.byteLength >= SMALL_CHUNK_BYTES) {
      this.#closeBlock();
      this.#parts.push(chunk);
      return;
    }
    if (this.#blockLength + chunk.byteLength > BLOCK_BYTES) this.#closeBlock();
    this.#block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(this.#block, this.#blockLength);
    this.#blockLength += chunk.byteLength;
  }

  createBody(): Buffer {
    this.#closeBlock();
    const [first] = this.#parts;
    return this.#parts.length === 1 && first !== undefined ? first : Buffer.concat(this.#parts);
  }

  #closeBlock(): void {
    if (this.#block === undefined) return;
    this.#parts.push(this.#block.subarray(0, this.#blockLength));
    this.#block = undefined;
    this.#blockLength = 0;
  }
}
