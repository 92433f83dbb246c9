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
export interface LeavingNotice {
  /** Monotonic time of the first answer that said so. */
  readonly since: number;
  /** Monotonic time of the last one. */
  readonly repeatedAt: number;
}

/** Remembers the notices by start; a start that leaves never accepts new work again. */
export class LeavingNotices {
  readonly #notices = new lru.LRUCache<string, LeavingNotice>({ max: MAX_STARTS });

  /**
   * Records a notice.
   *
   * @param since - monotonic time at which the start was first known to leave.
   * @returns the notice with the earliest time that is known.
   */
  record(start: RunnerStart, since: number, now: number): LeavingNotice {
    const known = this.find(start, now);
    const notice = { since: Math.min(since, known?.since ?? since), repeatedAt: now };
    this.#notices.set(formatStart(start), notice);
    return notice;
  }

  find(start: RunnerStart, now: number): LeavingNotice | undefined {
    const known = this.#notices.get(formatStart(start));
    if (known === undefined || start.bornAt !== 0) return known;
    return now - known.repeatedAt < UNKNOWN_START_NOTICE_MS ? known : undefined;
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
