/** Reads response bodies within limits of size and of silence. */
import type * as http from "node:http";
import type * as clocks from "../kernel/clock.js";

/** Limits of one body. */
export interface ReadLimits {
  readonly maxBytes: number;
  /** Longest wait for the next bytes; heartbeats count. */
  readonly idleTimeoutMs: number;
}

/**
 * Yields a body's chunks; leaving the loop early closes the connection.
 *
 * @throws when the connection breaks before the body's end or stays silent for too long.
 */
export async function* readChunks(
  clock: clocks.Clock,
  response: http.IncomingMessage,
  silenceMs: number,
): AsyncGenerator<Buffer> {
  const chunks = response[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>;
  try {
    for (;;) {
      const cancelLimit = clock.schedule(silenceMs, () => {
        response.destroy(new Error(`silent for ${silenceMs} ms`));
      });
      const result = await chunks.next().finally(cancelLimit);
      if (result.done) return;
      yield result.value;
    }
  } finally {
    response.destroy();
  }
}

/**
 * Reads a whole body.
 *
 * @throws when it is larger than the limit, breaks off or falls silent.
 */
export async function readBody(
  clock: clocks.Clock,
  response: http.IncomingMessage,
  limits: ReadLimits,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of readChunks(clock, response, limits.idleTimeoutMs)) {
    bytes += chunk.byteLength;
    if (bytes > limits.maxBytes) throw new Error(`body is larger than ${limits.maxBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
