/** Reads a decode stream: drops frames of other attempts and adds tokens to the run by offset. */
import type * as kernels from "../kernel/container.js";
import * as upstream from "../upstream/types.js";
import type * as engineAttempts from "./engine-attempt.js";

/** Number of tokens in one decode stream after which the request's earlier crashes weigh less. */
const PROGRESS_TOKENS = 8;

/**
 * Reads a decode stream to its end event. Returns the `UpstreamError` if the stream fails, is
 * cancelled by the engine, or ends with a wrong token count or without an end event.
 */
export async function readDecodeStream(
  kernel: kernels.Kernel,
  attempt: engineAttempts.EngineAttempt,
  prefillResult: upstream.PrefillResult,
  stream: AsyncIterable<upstream.DecodeEvent>,
): Promise<upstream.UpstreamError | undefined> {
  const clock = kernel.use("clock");
  const crashes = kernel.use("crashes");
  let previousTokenAt: number | undefined;
  let tokens = 0;
  try {
    for await (const event of stream) {
      if (event.id !== attempt.attemptId.id || event.attempt !== attempt.attemptId.attempt)
        continue;
      if (event.type === "imported") {
        attempt.reservation.recordDecodeStart();
      } else if (event.type === "token") {
        const now = clock.now();
        if (previousTokenAt !== undefined)
          attempt.reservation.recordTokenGap(now - previousTokenAt);
        previousTokenAt = now;
        attempt.run.addToken(event.offset, event.text);
        tokens += 1;
        if (tokens === PROGRESS_TOKENS) crashes.recordProgress(attempt.context.fingerprint);
      } else {
        handleEndEvent(kernel, attempt, prefillResult, event);
        return undefined;
      }
    }
  } catch (error) {
    if (error instanceof upstream.UpstreamError) return error;
    throw error;
  }
  return new upstream.UpstreamError(
    upstream.UPSTREAM_FAILURE.broken,
    `decode stream ended after ${tokens} tokens without an end event`,
  );
}

function handleEndEvent(
  kernel: kernels.Kernel,
  attempt: engineAttempts.EngineAttempt,
  prefillResult: upstream.PrefillResult,
  end: upstream.DecodeEvent & { type: "end" },
): void {
  if (end.finishReason === upstream.FINISH_REASON.cancelled) {
    throw new upstream.UpstreamError(
      upstream.UPSTREAM_FAILURE.refused,
      "the engine cancelled the attempt",
    );
  }
  if (end.tokens !== attempt.run.offset) {
    const message = `end event reports ${end.tokens} tokens, but the run is at offset ${attempt.run.offset}`;
    throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, message);
  }
  kernel.use("crashes").recordSuccess(attempt.context.fingerprint);
  attempt.run.markEnd({
    type: "end",
    finishReason: end.finishReason,
    promptTokens: prefillResult.promptTokens,
    cachedTokens: prefillResult.cachedTokens,
    completionTokens: attempt.run.offset,
  });
}
