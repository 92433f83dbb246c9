/** Reads a decode stream: drops frames of other attempts and adds tokens to the run by offset. */
import type * as kernels from "../kernel/container.js";
import * as upstream from "../upstream/types.js";
import type * as engineAttempts from "./engine-attempt.js";

/** Tokens of one decode stream after which a request counts as having progressed since a crash. */
const PROGRESS_TOKENS = 8;

/** Reads a decode stream to its end event. Returns the error if the stream ends without one. */
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
        markEnd(kernel, attempt, prefillResult, event);
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

function markEnd(
  kernel: kernels.Kernel,
  attempt: engineAttempts.EngineAttempt,
  prefillResult: upstream.PrefillResult,
  end: upstream.DecodeEvent & { type: "end" },
): void {
  if (end.finishReason === upstream.FINISH_REASON.cancelled) {
    throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.refused, "cancelled at the engine");
  }
  if (end.tokens !== attempt.run.offset) {
    const message = `end event counts ${end.tokens} tokens, but ${attempt.run.offset} arrived`;
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
