/** Reads response bodies with a size limit and an idle timeout. */
import type * as http from "node:http";
import type * as bufferBudget from "../kernel/buffer-budget.js";
import type * as clocks from "../kernel/clock.js";
import * as bulkReads from "./bulk-reads.js";
import * as endlessAnswer from "./endless-answer.js";

/** Memory and work that a chunk costs besides its bytes, in bytes, so that tiny ones are not free. */
const CHUNK_OVERHEAD_BYTES = 1_024;

/** Limits for reading one body. */
export interface ReadLimits {
  readonly maxBytes: number;
  /** Time limit for the next bytes; heartbeats count as bytes. */
  readonly idleTimeoutMs: number;
  /** Holds the bytes that are read; without it only `maxBytes` limits them. */
  readonly buffers?: Pick<bufferBudget.BufferAccount, "add" | "release">;
  /** Reads of large bodies of the same upstream; without it they are not limited. */
  readonly bulk?: BulkLimit;
}

/** Permits for large bodies, and the signal that ends the wait for one. */
export interface BulkLimit {
  readonly reads: Pick<bulkReads.BulkReads, "reserve">;
  readonly signal: AbortSignal;
}

/** Whether the end of the connection is the only end of a body, so that a broken one looks complete. */
export function isEndedByConnection({ headers }: http.IncomingMessage): boolean {
  return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}

/**
 * Destroys a response with an error if its connection is reset and its body has no other delimiter
 * than the end of the connection. Node.js reports a reset right after data as a normal end, because
 * libuv treats POLLHUP after a partial read as the end of the stream. The remote address tells the two
 * cases apart: it is undefined after a reset and still set after a regular close.
 */
export function watchForReset(response: http.IncomingMessage): void {
  const { socket } = response;
  if (!isEndedByConnection(response)) return;
  const onError = (error: Error): void => {
    response.destroy(error);
  };
  const onEnd = (): void => {
    if (socket.remoteAddress === undefined) onError(new Error("connection was reset"));
  };
  socket.once("error", onError);
  // Must run before the HTTP library's own listener, which closes the socket.
  socket.prependOnceListener("end", onEnd);
  response.once("close", () => {
    socket.off("error", onError);
    socket.off("end", onEnd);
  });
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

/** Waits for a permit, while nothing is read from the connection. */
async function reserveBulkRead(
  { socket }: http.IncomingMessage,
  { bulk }: ReadLimits,
): Promise<(() => void) | undefined> {
  if (bulk === undefined) return undefined;
  socket.pause();
  const releasePermit = await bulk.reads.reserve(bulk.signal);
  socket.resume();
  return releasePermit;
}

/**
 * Reads a complete body. The account of `limits` holds its bytes afterwards.
 *
 * @throws when the body exceeds a limit, is truncated or the idle timeout expires.
 */
export async function readBody(
  clock: clocks.Clock,
  response: http.IncomingMessage,
  limits: ReadLimits,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let releasePermit: (() => void) | undefined;
  try {
    for await (const chunk of readChunks(clock, response, limits.idleTimeoutMs)) {
      if (bytes + chunk.byteLength > limits.maxBytes)
        throw new endlessAnswer.EndlessAnswerError(`body is larger than ${limits.maxBytes} bytes`);
      limits.buffers?.add(chunk.byteLength + CHUNK_OVERHEAD_BYTES);
      bytes += chunk.byteLength;
      chunks.push(chunk);
      if (bytes > bulkReads.FREE_BYTES) releasePermit ??= await reserveBulkRead(response, limits);
    }
    return Buffer.concat(chunks);
  } catch (error) {
    limits.buffers?.release(bytes);
    if (releasePermit === undefined || limits.bulk?.signal.aborted !== true) throw error;
    throw new endlessAnswer.EndlessAnswerError(`body not complete after ${bytes} bytes`, {
      cause: error,
    });
  } finally {
    releasePermit?.();
    limits.buffers?.release(chunks.length * CHUNK_OVERHEAD_BYTES);
  }
}
