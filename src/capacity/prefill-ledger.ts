/** Allocator's ledger of one prefill runner: its queue of prefills and their expected duration. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as catalogs from "./runner-catalog.js";
import * as estimates from "./estimates.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as occupancy from "./occupancy.js";

const MAX_LEASES = 1000;
/** Minimum retry time in a refusal. */
const MIN_RETRY_MS = 100;
/** Bounds of the learned ratio of observed to nominal prefill time. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 20;
/** Minimum nominal prefill time from which the ratio is learned; message latency dominates less. */
const MIN_SAMPLE_MS = 20;
/** Expected remaining time of an overdue prefill, as a fraction of its elapsed time. */
const OVERDUE_FRACTION = 0.2;
/** Maximum started prefills at the runner: one computes, one waits, so that the runner never idles. */
const MAX_CONCURRENT_PREFILLS = 2;

/** A lease of prefill time. */
export interface PrefillLease {
  readonly id: string;
  readonly attempt: number;
  /** Whether the request may have crashed a runner. */
  readonly isCrashSuspect: boolean;
  readonly holder: network.PeerIdentity;
  readonly tokens: number;
  readonly grantedAt: number;
  readonly workMs: number;
  /** Time at which the prefill was allowed to start. */
  startedAt: number | undefined;
  /** Called once, when the lease may start or is released. */
  onStartReply: ((reply: messages.StartReply) => void) | undefined;
}

/** Tracks the leases of one prefill runner, which computes its prompts one after another. */
export class PrefillLedger {
  readonly #runner: catalogs.CatalogRunner;
  readonly #clock: clocks.Clock;
  readonly #occupancy: occupancy.Occupancy;
  readonly #leases = new leaseMaps.LeaseMap<PrefillLease>();
  #lastPrefillEndAt = 0;
  readonly #slowdown = new estimates.Estimate();

  constructor(
    runner: catalogs.CatalogRunner,
    clock: clocks.Clock,
    runnerOccupancy: occupancy.Occupancy,
  ) {
    this.#runner = runner;
    this.#clock = clock;
    this.#occupancy = runnerOccupancy;
  }

  /** Learned ratio of observed to nominal prefill time. */
  get slowdown(): number {
    return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, this.#slowdown.mean ?? 1));
  }

  findByKey(key: string): PrefillLease | undefined {
    return this.#leases.findByKey(key);
  }

  listLeases(): readonly PrefillLease[] {
    return [...this.#leases.list()];
  }

  findLease(id: string): PrefillLease | undefined {
    return this.#leases.find(id);
  }

  /** Expected wait before a new prefill starts. */
  computeWaitMs(): number {
    const now = this.#clock.now();
    let waitMs = 0;
    let isFirst = true;
    for (const lease of this.#leases.list()) {
      waitMs += isFirst ? this.#computeRemainingMs(lease, now) : lease.workMs;
      isFirst = false;
    }
    return waitMs;
  }

  /** Grants or refuses a lease for the computation of `tokens`, which excludes cached ones. */
  grant(
    request: messages.PrefillLeaseRequest,
    tokens: number,
    holder: network.PeerIdentity,
  ): messages.LeaseReply {
    if (!this.#occupancy.available) {
      return messages.createRefusal(messages.REFUSAL.unavailable, this.#occupancy.retryAfterMs);
    }
    const known = this.#leases.find(request.id);
    if (known !== undefined && known.attempt > request.attempt) {
      return messages.createRefusal(messages.REFUSAL.overloaded, MIN_RETRY_MS);
    }
    this.#leases.remove(request.id);
    const waitMs = this.computeWaitMs();
    const workMs = this.#computeWorkMs(tokens);
    const lateMs = waitMs + workMs - request.endWithinMs;
    if (lateMs > 0 || this.#leases.size >= MAX_LEASES) {
      return messages.createRefusal(messages.REFUSAL.overloaded, Math.max(MIN_RETRY_MS, lateMs));
    }
    const lease = this.#addLease(request, tokens, holder);
    this.#startQueued();
    const mayStart = lease.startedAt !== undefined;
    return messages.createGrant(mayStart, waitMs, workMs);
  }

  /** Adds a lease reported by its holder. Returns false if a newer attempt has replaced it. */
  addReported(reported: messages.LeaseDetails, holder: network.PeerIdentity): boolean {
    const known = this.#leases.find(reported.id);
    if (known !== undefined && known.attempt > reported.attempt) return false;
    if (known?.attempt === reported.attempt) return true;
    this.#addLease(reported, reported.tokens, holder).startedAt = this.#clock.now();
    return true;
  }

  /** Releases a lease whose prefill has just ended and learns from its duration. */
  recordEnd(id: string, attempt: number, tokens?: number): void {
    const lease = this.#leases.find(id);
    if (lease?.attempt !== attempt) return;
    const now = this.#clock.now();
    const nominalMs = ((tokens ?? lease.tokens) / this.#runner.prefillTokensPerSecond) * 1000;
    if (nominalMs >= MIN_SAMPLE_MS && lease.startedAt !== undefined) {
      const startedAt = Math.max(lease.startedAt, this.#lastPrefillEndAt);
      this.#slowdown.add((now - startedAt) / nominalMs);
    }
    this.#lastPrefillEndAt = now;
    this.release(id, attempt);
  }

  /** Releases a lease of this or an older attempt and starts queued prefills that now may start. */
  release(id: string, attempt: number): void {
    const lease = this.#leases.find(id);
    if (lease === undefined || lease.attempt > attempt) return;
    this.#leases.remove(id);
    lease.onStartReply?.({ mayStart: false, known: false, shareExceeded: false });
    this.#startQueued();
  }

  #addLease(
    request: {
      readonly id: string;
      readonly attempt: number;
      readonly isCrashSuspect?: boolean | undefined;
    },
    tokens: number,
    holder: network.PeerIdentity,
  ): PrefillLease {
    const lease: PrefillLease = {
      id: request.id,
      attempt: request.attempt,
      isCrashSuspect: request.isCrashSuspect === true,
      holder,
      tokens,
      grantedAt: this.#clock.now(),
      workMs: this.#computeWorkMs(tokens),
      startedAt: undefined,
      onStartReply: undefined,
    };
    this.#leases.set(request.id, lease);
    return lease;
  }

  /** Starts queued prefills in the order of their grants, but only one crash suspect at a time. */
  #startQueued(): void {
    let started = 0;
    let hasSuspect = this.listLeases().some((lease) => lease.isCrashSuspect && isStarted(lease));
    for (const lease of this.#leases.list()) {
      if (started >= MAX_CONCURRENT_PREFILLS) return;
      if (lease.isCrashSuspect && hasSuspect && !isStarted(lease)) continue;
      started += 1;
      if (isStarted(lease)) continue;
      hasSuspect ||= lease.isCrashSuspect;
      lease.startedAt = this.#clock.now();
      lease.onStartReply?.({ mayStart: true, known: true, shareExceeded: false });
      lease.onStartReply = undefined;
    }
  }

  #computeRemainingMs(lease: PrefillLease, now: number): number {
    const startedAt = Math.max(lease.startedAt ?? now, this.#lastPrefillEndAt);
    const elapsedMs = now - startedAt;
    return Math.max(lease.workMs - elapsedMs, elapsedMs * OVERDUE_FRACTION);
  }

  #computeWorkMs(tokens: number): number {
    return (tokens / this.#runner.prefillTokensPerSecond) * 1000 * this.slowdown;
  }
}

function isStarted(lease: PrefillLease): boolean {
  return lease.startedAt !== undefined;
}
