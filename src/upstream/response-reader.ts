/** Reads response bodies with a size limit and an idle timeout. */
import type * as http from "node:http";
import type * as clocks from "../kernel/clock.js";

/** Limits for reading one body. */
export interface ReadLimits {
  readonly maxBytes: number;
  /** Time limit for the next bytes; heartbeats count as bytes. */
  readonly idleTimeoutMs: number;
}

/** Whether the end of the connection is the only end of a body, so that a broken one looks complete. */
export function isEndedByConnection({ headers }: http.IncomingMessage): boolean {
  return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}

/**
 * Yields the chunks of a body; destroys the response when the iteration ends, also early.
 *
 * @throws when the connection is lost before the end of the body or the idle timeout expires.
 */
export async function* readChunks(
  clock: clocks.Clock,
  response: http.IncomingMessage,
  idleTimeoutMs: number,
): AsyncGenerator<Buffer> {
  const chunks = response[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>;
  try {
    for (;;) {
      const cancelTimeout = clock.schedule(idleTimeoutMs, () => {
        response.destroy(new Error(`silent for ${idleTimeoutMs} ms`));
      });
      const result = await chunks.next().finally(cancelTimeout);
      if (result.done) return;
      yield result.value;
    }
  } finally {
    response.destroy();
  }
}

/**
 * Reads a complete body.
 *
 * @throws when the body exceeds the size limit, is truncated or the idle timeout expires.
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
