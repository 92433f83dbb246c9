/** Reads a decode stream: drops frames of other attempts and adds tokens to the run by offset. */
import type * as kernels from "../kernel/container.js";
import * as upstream from "../upstream/types.js";
import type * as engineAttempts from "./engine-attempt.js";

/** Tokens after which a request that was in flight at a crash counts as having progressed. */
const PROGRESS_TOKENS = 8;

/** Reads a decode stream to its end event. Returns the error if the stream ends without one. */
export async function readDecodeStream(
  kernel: kernels.Kernel,
  attempt: engineAttempts.EngineAttempt,
  prefilled: upstream.PrefillResult,
  stream: AsyncIterable<upstream.DecodeEvent>,
): Promise<upstream.UpstreamError | undefined> {
  const timeSource = kernel.use("clock");
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
        const now = timeSource.now();
        if (previousTokenAt !== undefined)
          attempt.reservation.recordTokenGap(now - previousTokenAt);
        previousTokenAt = now;
        attempt.run.addToken(event.offset, event.text);
        tokens += 1;
        if (tokens === PROGRESS_TOKENS) crashes.recordProgress(attempt.context.fingerprint);
      } else {
        markEnd(kernel, attempt, prefilled, event);
        return undefined;
      }
    }
  } catch (error) {
    if (error instanceof upstream.UpstreamError) return error;
    throw error;
  }
  return new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, "stream has no end mark");
}

function markEnd(
  kernel: kernels.Kernel,
  attempt: engineAttempts.EngineAttempt,
  prefilled: upstream.PrefillResult,
  end: upstream.DecodeEvent & { type: "end" },
): void {
  if (end.finishReason === upstream.FINISH_REASON.cancelled) {
    throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.refused, "cancelled at the engine");
  }
  if (end.tokens !== attempt.run.offset) {
    const message = `end mark after ${end.tokens} tokens, of which ${attempt.run.offset} arrived`;
    throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, message);
  }
  kernel.use("crashes").recordSuccess(attempt.context.fingerprint);
  attempt.run.markEnd({
    type: "end",
    finishReason: end.finishReason,
    promptTokens: prefilled.promptTokens,
    cachedTokens: prefilled.cachedTokens,
    completionTokens: attempt.run.offset,
  });
}
