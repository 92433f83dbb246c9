/** Combines allocators' refusals of one request into the error returned to its caller. */
import type * as random from "../kernel/random.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as messages from "./messages.js";

/** Retry time if no allocator returned one. */
export const DEFAULT_RETRY_MS = 500;
/** Maximum random fraction added to a retry time, to spread the retries of refused callers. */
const RETRY_JITTER = 0.5;

/** Collects the refusals of one request and keeps the earliest retry time. */
export class Refusals {
  #retryAfterMs = Infinity;
  #isShareOnly = true;
  #count = 0;

  add(reply: messages.LeaseReply): void {
    this.#count += 1;
    this.#retryAfterMs = Math.min(this.#retryAfterMs, reply.retryAfterMs);
    if (reply.reason !== messages.REFUSAL.share) this.#isShareOnly = false;
  }

  /** Creates the error: `shareExceeded` if every refusal was for the share, else `overloaded`. */
  createError(randomSource: random.RandomSource): resultCodes.RequestError {
    const isShare = this.#count > 0 && this.#isShareOnly;
    const code = isShare
      ? resultCodes.RESULT_CODES.shareExceeded
      : resultCodes.RESULT_CODES.overloaded;
    const earliestRetryMs = Number.isFinite(this.#retryAfterMs)
      ? this.#retryAfterMs
      : DEFAULT_RETRY_MS;
    const retryAfterMs = Math.ceil(earliestRetryMs * (1 + RETRY_JITTER * randomSource.nextFloat()));
    return new resultCodes.RequestError(code, resultCodes.RAN.no, { retryAfterMs });
  }
}
