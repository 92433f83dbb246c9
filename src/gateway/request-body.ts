/** Reads request bodies. */
import type * as http from "node:http";
import * as resultCodes from "../protocol/result-codes.js";

/**
 * Reads a whole request body.
 *
 * @throws RequestError `bodyTooLarge` when it exceeds `maxBytes`, or the connection's error when
 * the body ends early.
 */
export async function readRequestBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes > maxBytes) {
      const { RESULT_CODES, RAN } = resultCodes;
      throw new resultCodes.RequestError(RESULT_CODES.bodyTooLarge, RAN.no);
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
}
