/** Availability of a runner, and the requests in its load reports that have no lease. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as upstream from "../upstream/types.js";

/** Maximum number of released requests whose time of release is kept. */
const MAX_RELEASE_TIMES = 2000;
/** Time for which a late load report may still list a released request. */
const RELEASE_LAG_MS = 4000;
/** Consecutive failed reads after which a runner counts as unavailable. */
const MAX_FAILED_READS = 2;
/** Slots kept free while the allocator may not know all leases of the runner. */
const UNKNOWN_LEASE_MARGIN_SLOTS = 2;

/** Availability and reported occupancy of one runner. */
export class Occupancy {
  readonly #clock: clocks.Clock;
  readonly #releaseTimes = new lru.LRUCache<string, number>({ max: MAX_RELEASE_TIMES });
  readonly #firstSeenTimes = new Map<string, number>();
  readonly #periodMs: number;
  #load: upstream.RunnerLoad | undefined;
  #failedReads = 0;
  #unleasedAttempts: readonly upstream.AttemptId[] = [];
  /** Whether this allocator may not know all leases of the runner yet. */
  hasUnknownLeases = false;

  constructor(clock: clocks.Clock, periodMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
  }

  /** Whether the runner answers its load reads. */
  get available(): boolean {
    return this.#failedReads < MAX_FAILED_READS;
  }

  /** Retry time for requests refused because the runner is unavailable. */
  get retryAfterMs(): number {
    return 2 * this.#periodMs;
  }

  /** The last load report. */
  get load(): upstream.RunnerLoad | undefined {
    return this.#load;
  }

  /** Records a load report; `isKnown` returns whether a request has a lease. */
  recordLoad(load: upstream.RunnerLoad, isKnown: (id: string) => boolean): void {
    const now = this.#clock.now();
    this.#failedReads = 0;
    this.#load = load;
    this.#unleasedAttempts = load.held.filter(
      (held) => !isKnown(held.id) && !this.#isReleased(held.id),
    );
    const seen = new Set(this.#unleasedAttempts.map((held) => held.id));
    for (const id of this.#firstSeenTimes.keys())
      if (!seen.has(id)) this.#firstSeenTimes.delete(id);
    for (const id of seen) if (!this.#firstSeenTimes.has(id)) this.#firstSeenTimes.set(id, now);
  }

  /** Records a failed read of the load or the cache events. */
  recordFailure(): void {
    this.#failedReads += 1;
  }

  /** Records a release, so that late load reports of the request are ignored. */
  recordRelease(id: string): void {
    this.#releaseTimes.set(id, this.#clock.now());
  }

  /** Slots used by requests without a lease, plus a margin while some leases may be unknown. */
  countUnleased(isKnown: (id: string) => boolean): number {
    const held = this.#unleasedAttempts.filter((attempt) => !isKnown(attempt.id)).length;
    return held + (this.hasUnknownLeases ? UNKNOWN_LEASE_MARGIN_SLOTS : 0);
  }

  /** Pieces used by requests without a lease, estimated from the mean of all requests. */
  countUnleasedPieces(): number {
    const load = this.#load;
    if (load === undefined || load.held.length === 0) return 0;
    return (load.piecesUsed * this.#unleasedAttempts.length) / load.held.length;
  }

  /** Returns the attempts that have run without a lease for at least `graceMs`. */
  listOrphans(graceMs: number, isKnown: (id: string) => boolean): readonly upstream.AttemptId[] {
    const before = this.#clock.now() - graceMs;
    return this.#unleasedAttempts.filter(
      (held) => !isKnown(held.id) && (this.#firstSeenTimes.get(held.id) ?? Infinity) <= before,
    );
  }

  #isReleased(id: string): boolean {
    const releasedAt = this.#releaseTimes.get(id);
    return releasedAt !== undefined && this.#clock.now() - releasedAt < RELEASE_LAG_MS;
  }
}
