/** Queue time of one prefill runner, as its allocator keeps it. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as catalogs from "./catalog.js";
import * as estimates from "./estimates.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as occupancy from "./occupancy.js";

const MAX_LEASES = 1000;
const MIN_RETRY_MS = 100;
/** Bounds of the learned ratio of real to nominal prefill time. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 20;
/** Prefills shorter than this tell more of messages than of the runner. */
const MIN_LEARNED_MS = 20;
/** Time that an overdue prefill is expected to need yet, as a part of its time so far. */
const OVERDUE_PART = 0.2;

/** Prefills sent to the runner at once, so that it never waits for the next. */
const MAX_SENT = 2;

/** A lease of queue time. */
export interface PrefillLease {
  readonly id: string;
  readonly attempt: number;
  /** Whether the request may have crashed a runner. */
  readonly isSuspect: boolean;
  readonly holder: network.PeerIdentity;
  readonly tokens: number;
  readonly grantedAt: number;
  readonly workMs: number;
  /** When the prefill was let go to the runner. */
  sentAt: number | undefined;
  /** Called once when the turn comes or the lease is released. */
  onTurn: ((turn: messages.Turn) => void) | undefined;
}

/** Ledger of one prefill runner, which computes one prompt after the other. */
export class PrefillLedger {
  readonly #runner: catalogs.CatalogRunner;
  readonly #clock: clocks.Clock;
  readonly #occupancy: occupancy.Occupancy;
  readonly #leases = new leaseMaps.LeaseMap<PrefillLease>();
  #lastEndAt = 0;
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

  /** Learned ratio of real to nominal prefill time. */
  get slowness(): number {
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, this.#slowness.mean ?? 1));
  }

  /** Returns the lease with that key. */
  findByKey(key: string): PrefillLease | undefined {
    return this.#leases.findByKey(key);
  }

  /** Returns all leases. */
  listLeases(): readonly PrefillLease[] {
    return [...this.#leases.list()];
  }

  /** Returns the lease of a request. */
  findLease(id: string): PrefillLease | undefined {
    return this.#leases.find(id);
  }

  /** Expected wait before a new prefill starts. */
  computeWait(): number {
    const now = this.#clock.now();
    let waitMs = 0;
    let isFirst = true;
    for (const lease of this.#leases.list()) {
      waitMs += isFirst ? this.#computeRemaining(lease, now) : lease.workMs;
      isFirst = false;
    }
    return waitMs;
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
    const known = this.#leases.find(request.id);
    if (known !== undefined && known.attempt > request.attempt) {
      return messages.createRefusal(messages.REFUSAL.overloaded, MIN_RETRY_MS);
    }
    this.#leases.remove(request.id);
    const waitMs = this.computeWait();
    const workMs = this.#computeWork(tokens);
    const lateMs = waitMs + workMs - request.endWithinMs;
    if (lateMs > 0 || this.#leases.size >= MAX_LEASES) {
      return messages.createRefusal(messages.REFUSAL.overloaded, Math.max(MIN_RETRY_MS, lateMs));
    }
    const lease = this.#addLease(request, tokens, holder);
    this.#startQueued();
    const turn = lease.sentAt !== undefined;
    return messages.createGrant(turn, waitMs, workMs);
  }

  /** Adds a lease that its holder reports and this ledger does not know. */
  addReported(held: messages.HeldLease, holder: network.PeerIdentity): boolean {
    const known = this.#leases.find(held.id);
    if (known !== undefined && known.attempt > held.attempt) return false;
    if (known?.attempt === held.attempt) return true;
    this.#addLease(held, held.tokens, holder).sentAt = this.#clock.now();
    return true;
  }

  /** Ends a lease whose prefill ended now, and learns from its time. */
  recordEnd(id: string, attempt: number, tokens?: number): void {
    const lease = this.#leases.find(id);
    if (lease?.attempt !== attempt) return;
    const now = this.#clock.now();
    const nominalMs = ((tokens ?? lease.tokens) / this.#runner.prefillTokensPerSecond) * 1000;
    if (nominalMs >= MIN_LEARNED_MS && lease.sentAt !== undefined) {
      const startedAt = Math.max(lease.sentAt, this.#lastEndAt);
      this.#slowness.add((now - startedAt) / nominalMs);
    }
    this.#lastEndAt = now;
    this.release(id, attempt);
  }

  /** Releases a lease of that attempt or an older one. */
  release(id: string, attempt: number): void {
    const lease = this.#leases.find(id);
    if (lease === undefined || lease.attempt > attempt) return;
    this.#leases.remove(id);
    lease.onTurn?.({ turn: false, known: false, share: false });
    this.#startQueued();
  }

  #addLease(
    request: {
      readonly id: string;
      readonly attempt: number;
      readonly isSuspect?: boolean | undefined;
    },
    tokens: number,
    holder: network.PeerIdentity,
  ): PrefillLease {
    const lease: PrefillLease = {
      id: request.id,
      attempt: request.attempt,
      isSuspect: request.isSuspect === true,
      holder,
      tokens,
      grantedAt: this.#clock.now(),
      workMs: this.#computeWork(tokens),
      sentAt: undefined,
      onTurn: undefined,
    };
    this.#leases.set(request.id, lease);
    return lease;
  }

  /** Lets the next prefills go, in the order of their grants but one suspect at a time. */
  #startQueued(): void {
    let sent = 0;
    let hasSuspect = this.listLeases().some((lease) => lease.isSuspect && isSent(lease));
    for (const lease of this.#leases.list()) {
      if (sent >= MAX_SENT) return;
      if (lease.isSuspect && hasSuspect && !isSent(lease)) continue;
      sent += 1;
      if (isSent(lease)) continue;
      hasSuspect ||= lease.isSuspect;
      lease.sentAt = this.#clock.now();
      lease.onTurn?.({ turn: true, known: true, share: false });
      lease.onTurn = undefined;
    }
  }

  #computeRemaining(lease: PrefillLease, now: number): number {
    const startedAt = Math.max(lease.sentAt ?? now, this.#lastEndAt);
    const elapsedMs = now - startedAt;
    return Math.max(lease.workMs - elapsedMs, elapsedMs * OVERDUE_PART);
  }

  #computeWork(tokens: number): number {
    return (tokens / this.#runner.prefillTokensPerSecond) * 1000 * this.slowness;
  }
}

function isSent(lease: PrefillLease): boolean {
  return lease.sentAt !== undefined;
}
