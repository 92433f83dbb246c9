/** What a runner's load reports show beyond the leases that its allocator knows. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as upstream from "../upstream/types.js";

const MAX_RELEASED = 2000;
/** How long a released lease may still stand in a late report. */
const RELEASE_LAG_MS = 4000;
/** Failed reads after which a runner counts as not available. */
const MAX_FAILED_READS = 2;
/** Slots kept free while leases of others may be unknown. */
const MARGIN_SLOTS = 2;

/** Reported occupancy of one runner. */
export class Occupancy {
  readonly #clock: clocks.Clock;
  readonly #released = new lru.LRUCache<string, number>({ max: MAX_RELEASED });
  readonly #firstSeen = new Map<string, number>();
  readonly #periodMs: number;
  #load: upstream.RunnerLoad | undefined;
  #failedReads = 0;
  #foreign: readonly upstream.AttemptId[] = [];
  /** Whether leases of other allocators or holders may be unknown. */
  guarded = false;

  constructor(clock: clocks.Clock, periodMs: number) {
    this.#clock = clock;
    this.#periodMs = periodMs;
  }

  /** Whether the runner answers. */
  get available(): boolean {
    return this.#failedReads < MAX_FAILED_READS;
  }

  /** When to ask again for a runner that is not available. */
  get retryAfterMs(): number {
    return 2 * this.#periodMs;
  }

  /** The last report. */
  get load(): upstream.RunnerLoad | undefined {
    return this.#load;
  }

  /** Takes a report in; `isKnown` tells which requests have a lease. */
  recordLoad(load: upstream.RunnerLoad, isKnown: (id: string) => boolean): void {
    const now = this.#clock.now();
    this.#failedReads = 0;
    this.#load = load;
    this.#foreign = load.held.filter((held) => !isKnown(held.id) && !this.#isReleased(held.id));
    const seen = new Set(this.#foreign.map((held) => held.id));
    for (const id of this.#firstSeen.keys()) if (!seen.has(id)) this.#firstSeen.delete(id);
    for (const id of seen) if (!this.#firstSeen.has(id)) this.#firstSeen.set(id, now);
  }

  /** Records that the runner did not answer, or failed a request. */
  recordFailure(): void {
    this.#failedReads += 1;
  }

  /** Records a release, so that a late report of it does not count. */
  recordRelease(id: string): void {
    this.#released.set(id, this.#clock.now());
  }

  /** Slots held by requests without a lease, and the margin while some may be unseen. */
  countForeign(isKnown: (id: string) => boolean): number {
    const held = this.#foreign.filter((attempt) => !isKnown(attempt.id)).length;
    return held + (this.guarded ? MARGIN_SLOTS : 0);
  }

  /** Pieces held by requests without a lease, by the mean of what is held. */
  countForeignPieces(): number {
    const load = this.#load;
    if (load === undefined || load.held.length === 0) return 0;
    return (load.piecesUsed * this.#foreign.length) / load.held.length;
  }

  /** Returns what was held without a lease for at least `graceMs`. */
  listUnclaimed(graceMs: number, isKnown: (id: string) => boolean): readonly upstream.AttemptId[] {
    const before = this.#clock.now() - graceMs;
    return this.#foreign.filter(
      (held) => !isKnown(held.id) && (this.#firstSeen.get(held.id) ?? Infinity) <= before,
    );
  }

  #isReleased(id: string): boolean {
    const releasedAt = this.#released.get(id);
    return releasedAt !== undefined && this.#clock.now() - releasedAt < RELEASE_LAG_MS;
  }
}
