/** Records cancelled attempts, so that a command that arrives after its cancel is refused. */
import * as lru from "lru-cache";
import type * as upstream from "../../src/upstream/types.js";

const MAX_IDS = 20_000;

/** The highest cancelled attempt of each request id; keeps the `MAX_IDS` most recently used ids. */
export class CancelledIds {
  readonly #attempts = new lru.LRUCache<string, number>({ max: MAX_IDS });

  /** Marks all attempts of the id up to this one as cancelled. */
  add(attempt: upstream.AttemptId): void {
    const highestAttempt = this.#attempts.get(attempt.id) ?? 0;
    this.#attempts.set(attempt.id, Math.max(highestAttempt, attempt.attempt));
  }

  /** Returns whether the attempt, or a later one of its id, was cancelled. */
  has(attempt: upstream.AttemptId): boolean {
    return attempt.attempt <= (this.#attempts.get(attempt.id) ?? -1);
  }
}

/** Returns whether cancelling `cancelled` also cancels `attempt`. */
export function isCancelledBy(attempt: upstream.AttemptId, cancelled: upstream.AttemptId): boolean {
  return attempt.id === cancelled.id && attempt.attempt <= cancelled.attempt;
}
