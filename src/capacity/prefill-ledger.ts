/** Queue time of one prefill runner, as its allocator keeps it. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as catalogs from "./catalog.js";
import * as estimates from "./estimates.js";
import * as messages from "./messages.js";
import type * as occupancy from "./occupancy.js";

const MAX_LEASES = 1000;
const MIN_RETRY_MS = 100;
/** Bounds of the learned ratio of real to nominal prefill time. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 20;
/** Time that an overdue prefill is expected to need yet, as a part of its time so far. */
const OVERDUE_PART = 0.2;

/** A lease of queue time. */
export interface PrefillLease {
  readonly id: string;
  readonly attempt: number;
  readonly holder: network.PeerIdentity;
  readonly tokens: number;
  readonly grantedAt: number;
  /** Expected start, by the queue at the grant. */
  startAt: number;
  endAt: number;
  confirmedAt: number;
}

/** Ledger of one prefill runner, which computes one prompt after the other. */
export class PrefillLedger {
  readonly #runner: catalogs.CatalogRunner;
  readonly #clock: clocks.Clock;
  readonly #occupancy: occupancy.Occupancy;
  readonly #leases = new Map<string, PrefillLease>();
  readonly #slowness = new estimates.Estimate();

  constructor(
    runner: catalogs.CatalogRunner,
    clock: clocks.Clock,
    runnerOccupancy: occupancy.Occupancy,
  ) {
    this.#runner = runner;
    this.#clock = clock;
    this.#occupancy = runnerOccupancy;
  }

  /** Returns all leases. */
  listLeases(): readonly PrefillLease[] {
    return [...this.#leases.values()];
  }

  /** Returns the lease of a request. */
  findLease(id: string): PrefillLease | undefined {
    return this.#leases.get(id);
  }

  /** Expected wait before a new prefill starts. */
  computeWait(): number {
    const now = this.#clock.now();
    let freeAt = now;
    for (const lease of this.#leases.values()) {
      const overdueMs = lease.endAt < now ? OVERDUE_PART * (now - lease.startAt) : 0;
      freeAt = Math.max(freeAt, lease.endAt, now + overdueMs);
    }
    return freeAt - now;
  }

  /** Decides on a request for `tokens` of work, cached ones already taken off. */
  grant(
    request: messages.PrefillRequest,
    tokens: number,
    holder: network.PeerIdentity,
  ): messages.Answer {
    if (!this.#occupancy.available) {
      return messages.createRefusal(messages.REFUSAL.unavailable, this.#occupancy.retryAfterMs);
    }
    const known = this.#leases.get(request.id);
    if (known !== undefined && known.attempt > request.attempt) {
      return messages.createRefusal(messages.REFUSAL.overloaded, MIN_RETRY_MS);
    }
    this.#leases.delete(request.id);
    const waitMs = this.computeWait();
    const workMs = this.#computeWork(tokens);
    const lateMs = waitMs + workMs - request.endWithinMs;
    if (lateMs > 0 || this.#leases.size >= MAX_LEASES) {
      return messages.createRefusal(messages.REFUSAL.overloaded, Math.max(MIN_RETRY_MS, lateMs));
    }
    const now = this.#clock.now();
    this.#leases.set(request.id, {
      id: request.id,
      attempt: request.attempt,
      holder,
      tokens,
      grantedAt: now,
      startAt: now + waitMs,
      endAt: now + waitMs + workMs,
      confirmedAt: now,
    });
    return { granted: true, turn: true, waitMs, workMs, retryAfterMs: 0 };
  }

  /** Adds a lease that its holder reports and this ledger does not know. */
  addReported(held: messages.HeldLease, holder: network.PeerIdentity): boolean {
    const now = this.#clock.now();
    const known = this.#leases.get(held.id);
    if (known !== undefined && known.attempt > held.attempt) return false;
    if (known?.attempt === held.attempt) {
      known.confirmedAt = now;
      return true;
    }
    const startAt = now + this.computeWait();
    this.#leases.set(held.id, {
      id: held.id,
      attempt: held.attempt,
      holder,
      tokens: held.tokens,
      grantedAt: now - held.ageMs,
      startAt,
      endAt: startAt + this.#computeWork(held.tokens),
      confirmedAt: now,
    });
    return true;
  }

  /** Ends a lease whose prefill ended now, learns from its time, and moves those behind it. */
  recordEnd(id: string, attempt: number): void {
    const lease = this.#leases.get(id);
    if (lease?.attempt !== attempt) return;
    const now = this.#clock.now();
    const nominalMs = (lease.tokens / this.#runner.prefillTokensPerSecond) * 1000;
    if (nominalMs > 0 && now > lease.startAt) this.#slowness.add((now - lease.startAt) / nominalMs);
    this.release(id, attempt);
  }

  /** Releases a lease of that attempt or an older one. */
  release(id: string, attempt: number): void {
    const lease = this.#leases.get(id);
    if (lease === undefined || lease.attempt > attempt) return;
    this.#leases.delete(id);
    this.#updateTimes();
  }

  #updateTimes(): void {
    const now = this.#clock.now();
    let freeAt = now;
    for (const lease of this.#leases.values()) {
      const workMs = lease.endAt - lease.startAt;
      if (lease.startAt > now) lease.startAt = Math.min(lease.startAt, freeAt);
      lease.endAt = lease.startAt + workMs;
      freeAt = Math.max(freeAt, lease.endAt);
    }
  }

  #computeWork(tokens: number): number {
    const ratio = this.#slowness.mean ?? 1;
    const slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    return (tokens / this.#runner.prefillTokensPerSecond) * 1000 * slowness;
  }
}
