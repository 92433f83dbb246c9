/** Framing on a byte stream: a four-byte big-endian length, followed by the payload. */

/** Size of the length that precedes each payload. */
export const FRAME_HEADER_BYTES = 4;
/** Largest payload; a larger one closes the connection. */
export const MAX_FRAME_BYTES = 1_048_576;

/** The length of a frame is outside the allowed range. */
export class FrameLengthError extends Error {
  override readonly name = "FrameLengthError";
}

/**
 * Encodes the length that precedes a payload.
 *
 * @throws FrameLengthError
 */
export function encodeFrameHeader(payloadBytes: number): Uint8Array {
  validateLength(payloadBytes);
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  header.writeUInt32BE(payloadBytes);
  return header;
}

/**
 * Splits a byte stream into payloads.
 *
 * @example for (const payload of decoder.decode(chunk)) handle(payload);
 */
export class FrameDecoder {
  readonly #chunks: Buffer[] = [];
  #pendingBytes = 0;

  /**
   * Adds a chunk and returns the payloads that are now complete.
   *
   * @throws FrameLengthError as soon as a length outside the allowed range is read.
   */
  decode(chunk: Buffer): Uint8Array[] {
    this.#chunks.push(chunk);
    this.#pendingBytes += chunk.byteLength;
    const payloads: Uint8Array[] = [];
    for (let payload = this.#shiftPayload(); payload !== undefined;) {
      payloads.push(payload);
      payload = this.#shiftPayload();
    }
    return payloads;
  }

  #shiftPayload(): Uint8Array | undefined {
    if (this.#pendingBytes < FRAME_HEADER_BYTES) return undefined;
    const length = this.#mergeChunks(FRAME_HEADER_BYTES).readUInt32BE();
    validateLength(length);
    const end = FRAME_HEADER_BYTES + length;
    if (this.#pendingBytes < end) return undefined;
    const merged = this.#mergeChunks(end);
    this.#chunks[0] = merged.subarray(end);
    this.#pendingBytes -= end;
    return merged.subarray(FRAME_HEADER_BYTES, end);
  }

  /** Merges chunks until the first has at least `size` bytes, which must have been received. */
  #mergeChunks(size: number): Buffer {
    const first = this.#chunks[0];
    if (first !== undefined && first.byteLength >= size) return first;
    const merged = Buffer.concat(this.#chunks);
    this.#chunks.length = 0;
    this.#chunks.push(merged);
    return merged;
  }
}

function validateLength(length: number): void {
  if (length >= 1 && length <= MAX_FRAME_BYTES) return;
  throw new FrameLengthError(`frame of ${length} bytes; 1 to ${MAX_FRAME_BYTES} are allowed`);
}
