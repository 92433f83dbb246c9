/** Reads request bodies. */
import * as bufferBudget from "../kernel/buffer-budget.js";
import * as resultCodes from "../protocol/result-codes.js";

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
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += chunk.byteLength;
    if (bytes > maxBytes) {
      const { RESULT_CODES, RAN } = resultCodes;
      throw new resultCodes.RequestError(RESULT_CODES.bodyTooLarge, RAN.no);
    }
    reserveBytes(buffers, chunk.byteLength);
    chunks.push(chunk);
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
}

/** Time in which other calls usually release their bytes. */
const FULL_RETRY_AFTER_MS = 500;

/** @throws RequestError `overloaded`, caused by a `BufferLimitError`, when the process holds too many bytes. */
export function reserveBytes(buffers: bufferBudget.BufferAccount, bytes: number): void {
  try {
    buffers.add(bytes);
  } catch (error) {
    if (!(error instanceof bufferBudget.BufferLimitError)) throw error;
    const { RESULT_CODES, RAN } = resultCodes;
    const options = { retryAfterMs: FULL_RETRY_AFTER_MS, detail: error.message, cause: error };
    throw new resultCodes.RequestError(RESULT_CODES.overloaded, RAN.no, options);
  }
}
