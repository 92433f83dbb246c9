/** Starts of runners that said in their answers that they leave. */
import * as lru from "lru-cache";
import type * as types from "./types.js";

/** Limit on the starts whose notices are kept. */
const MAX_STARTS = 2_000;
/**
 * Time after its last repetition for which a notice holds whose runner states no start: it may have been restarted since.
 * Processes that leave are gone by then.
 */
const UNKNOWN_START_NOTICE_MS = 30_000;

/** Identifies a start of a runner. */
export type RunnerStart = Pick<types.Runner, "id" | "bornAt">;

/** A runner's statement that it leaves. */
export interface LeavingNotice extends RunnerStart {
  /** Monotonic time of the first answer that said so. */
  readonly since: number;
  /** Monotonic time of the last one that is known. */
  readonly repeatedAt: number;
}

/** Remembers the notices by start; a start that leaves never accepts new work again. */
export class LeavingNotices {
  readonly #notices = new lru.LRUCache<string, LeavingNotice>({ max: MAX_STARTS });

  /**
   * Records a notice that was given at a monotonic time.
   *
   * @returns the notice with the earliest time that is known.
   */
  record({ id, bornAt }: RunnerStart, givenAt: number, now: number): LeavingNotice {
    const known = this.find({ id, bornAt }, now) ?? { since: givenAt, repeatedAt: givenAt };
    const since = Math.min(givenAt, known.since);
    const notice = { id, bornAt, since, repeatedAt: Math.max(givenAt, known.repeatedAt) };
    this.#notices.set(formatStart(notice), notice);
    return notice;
  }

  find(start: RunnerStart, now: number): LeavingNotice | undefined {
    const known = this.#notices.get(formatStart(start));
    return known !== undefined && isInForce(known, now) ? known : undefined;
  }

  /** Returns the notices in force that were used last. */
  list(maxCount: number, now: number): readonly LeavingNotice[] {
    return [...this.#notices.values()].filter((one) => isInForce(one, now)).slice(0, maxCount);
  }

  /** Forgets the notice of a removed runner that states no start: what is listed next may be another process. */
  removeRunner(start: RunnerStart): void {
    if (start.bornAt === 0) this.#notices.delete(formatStart(start));
  }
}

/** Formats a start as a key. */
export function formatStart({ id, bornAt }: RunnerStart): string {
  return `${id}@${bornAt}`;
}

function isInForce({ bornAt, repeatedAt }: LeavingNotice, now: number): boolean {
  return bornAt !== 0 || now - repeatedAt < UNKNOWN_START_NOTICE_MS;
}
