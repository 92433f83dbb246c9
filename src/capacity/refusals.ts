/** Refusals of allocators, and the error that a request gets from them. */
import type * as random from "../kernel/random.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as messages from "./messages.js";

/** When to come back if no allocator told a time. */
export const DEFAULT_RETRY_MS = 500;
/** Part of a told retry time that is added at random, so that refused callers spread. */
const RETRY_JITTER = 0.5;

/** Collects the refusals of one request, to answer with the soonest time to come back. */
export class Refusals {
  #retryAfterMs = Infinity;
  #shareOnly = true;
  #count = 0;

  /** Adds one refusal. */
  add(answer: messages.Answer): void {
    this.#count += 1;
    this.#retryAfterMs = Math.min(this.#retryAfterMs, answer.retryAfterMs);
    if (answer.reason !== messages.REFUSAL.share) this.#shareOnly = false;
  }

  /** Creates the error; a share is named only if every refusal did. */
  createError(draw: random.RandomSource): resultCodes.RequestError {
    const isShare = this.#count > 0 && this.#shareOnly;
    const code = isShare
      ? resultCodes.RESULT_CODES.shareExceeded
      : resultCodes.RESULT_CODES.overloaded;
    const soonestMs = Number.isFinite(this.#retryAfterMs) ? this.#retryAfterMs : DEFAULT_RETRY_MS;
    const retryAfterMs = Math.ceil(soonestMs * (1 + RETRY_JITTER * draw.nextFloat()));
    return new resultCodes.RequestError(code, resultCodes.RAN.no, { retryAfterMs });
  }
}
