/** Requests in a runner's load reports for which its allocator has no lease. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as upstream from "../upstream/types.js";

const MAX_RELEASED = 2000;
/** Time for which a late load report may still list a released request. */
const RELEASE_LAG_MS = 4000;
/** Consecutive failed reads after which a runner counts as unavailable. */
const MAX_FAILED_READS = 2;
/** Slots kept free while some leases of the runner may be unknown. */
const MARGIN_SLOTS = 2;

/** Availability and reported occupancy of one runner. */
export class Occupancy {
  readonly #clock: clocks.Clock;
  readonly #released = new lru.LRUCache<string, number>({ max: MAX_RELEASED });
  readonly #firstSeen = new Map<string, number>();
  readonly #periodMs: number;
  #load: upstream.RunnerLoad | undefined;
  #failedReads = 0;
  #unleased: readonly upstream.AttemptId[] = [];
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
    this.#unleased = load.held.filter((held) => !isKnown(held.id) && !this.#isReleased(held.id));
    const seen = new Set(this.#unleased.map((held) => held.id));
    for (const id of this.#firstSeen.keys()) if (!seen.has(id)) this.#firstSeen.delete(id);
    for (const id of seen) if (!this.#firstSeen.has(id)) this.#firstSeen.set(id, now);
  }

  /** Records a failed read of the load or the cache events. */
  recordFailure(): void {
    this.#failedReads += 1;
  }

  /** Records a release, so that late load reports of the request are ignored. */
  recordRelease(id: string): void {
    this.#released.set(id, this.#clock.now());
  }

  /** Slots used by requests without a lease, plus a margin while some leases may be unknown. */
  countUnleased(isKnown: (id: string) => boolean): number {
    const held = this.#unleased.filter((attempt) => !isKnown(attempt.id)).length;
    return held + (this.hasUnknownLeases ? MARGIN_SLOTS : 0);
  }

  /** Pieces used by requests without a lease, estimated from the mean of all requests. */
  countUnleasedPieces(): number {
    const load = this.#load;
    if (load === undefined || load.held.length === 0) return 0;
    return (load.piecesUsed * this.#unleased.length) / load.held.length;
  }

  /** Returns the attempts that have run without a lease for at least `graceMs`. */
  listOrphans(graceMs: number, isKnown: (id: string) => boolean): readonly upstream.AttemptId[] {
    const before = this.#clock.now() - graceMs;
    return this.#unleased.filter(
      (held) => !isKnown(held.id) && (this.#firstSeen.get(held.id) ?? Infinity) <= before,
    );
  }

  #isReleased(id: string): boolean {
    const releasedAt = this.#released.get(id);
    return releasedAt !== undefined && this.#clock.now() - releasedAt < RELEASE_LAG_MS;
  }
}
