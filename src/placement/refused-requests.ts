/**
 * Remembers refused requests, so that a retry is not refused a second time in favour of new
 * requests.
 */
import type * as clocks from "../kernel/clock.js";

/**
 * Time for which a refusal is remembered. A caller retries within a third of its deadline; a later
 * request counts as new.
 */
const RETENTION_MS = 10_000;
/** Maximum number of remembered refusals, which bounds memory use; the oldest is evicted first. */
const MAX_ENTRIES = 10_000;

/** Retry keys of refused requests with the time of refusal, oldest first. */
export class RefusedRequests {
  readonly #clock: clocks.Clock;
  readonly #refusedAt = new Map<string, number>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  add(retryKey: string): void {
    this.#refusedAt.delete(retryKey);
    this.#refusedAt.set(retryKey, this.#clock.now());
    const [oldest] = this.#refusedAt.keys();
    if (this.#refusedAt.size > MAX_ENTRIES && oldest !== undefined) this.#refusedAt.delete(oldest);
  }

  /** Whether a request was refused within `RETENTION_MS`. */
  has(retryKey: string): boolean {
    const at = this.#refusedAt.get(retryKey);
    if (at === undefined) return false;
    if (this.#clock.now() - at <= RETENTION_MS) return true;
    this.#refusedAt.delete(retryKey);
    return false;
  }
}
