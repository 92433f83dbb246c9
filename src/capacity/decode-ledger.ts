/** Allocator's ledger of one decode runner: grants or refuses leases and orders their starts. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as catalogs from "./runner-catalog.js";
import * as decodeLeases from "./decode-lease.js";
import * as estimates from "./estimates.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as occupancy from "./occupancy.js";
import type * as policies from "./policy.js";
import type * as shares from "./shares.js";
import * as startOrder from "./start-order.js";

/** Maximum number of leases per slot, including queued ones. */
const MAX_LEASES_PER_SLOT = 10;
/** Output tokens assumed per request until a decode duration has been observed. */
const DEFAULT_OUTPUT_TOKENS = 200;
/** Smoothing factor of the mean decode duration. */
const DECODE_TIME_SMOOTHING_FACTOR = 0.05;
/** Bounds of the retry time in a refusal. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
/** Half-life of the count of refused requests that are expected to retry. */
const REFUSAL_HALF_LIFE_MS = 5000;
/** Decode time during which no other crash suspect may start; crashes occur in the first steps. */
const SUSPECT_ISOLATION_MS = 300;
/** Maximum fraction of the slots that may be leased ahead of their release. */
const MAX_LEASED_AHEAD_FRACTION = 0.5;

const MAY_START: messages.StartReply = { mayStart: true, known: true, shareExceeded: false };
const REFUSED: messages.StartReply = { mayStart: false, known: true, shareExceeded: false };
const SHARE_EXCEEDED: messages.StartReply = { mayStart: false, known: true, shareExceeded: true };

/** Dependencies and settings of `DecodeLedger`. */
export interface DecodeLedgerOptions {
  readonly runner: catalogs.CatalogRunner;
  readonly clock: clocks.Clock;
  readonly policy: policies.CapacityPolicy;
  readonly shares: shares.CallerShares;
  readonly occupancy: occupancy.Occupancy;
}

/** Tracks the leases of one decode runner in every phase: queued, started and running. */
export class DecodeLedger {
  readonly #options: DecodeLedgerOptions;
  readonly #leases = new leaseMaps.LeaseMap<decodeLeases.DecodeLease>();
  readonly #decodeMs = new estimates.Estimate(DECODE_TIME_SMOOTHING_FACTOR);
  /** Mean expected time from the start of a request to the end of its transfer. */
  readonly #leadMs = new estimates.Estimate();
  #refusals = 0;
  #refusedAt = 0;

  constructor(options: DecodeLedgerOptions) {
    this.#options = options;
  }

  findLease(id: string): decodeLeases.DecodeLease | undefined {
    return this.#leases.find(id);
  }

  findByKey(key: string): decodeLeases.DecodeLease | undefined {
    return this.#leases.findByKey(key);
  }

  listLeases(): readonly decodeLeases.DecodeLease[] {
    return [...this.#leases.list()];
  }

  /**
   * Grants or refuses a lease. A newer attempt releases the lease of an older one, even if it is
   * refused itself. An older attempt, or the same one for another holder, is refused.
   */
  grant(
    request: messages.DecodeLeaseRequest,
    holder: network.PeerIdentity,
  ): decodeLeases.GrantDecision {
    const known = this.#leases.find(request.id);
    if (known !== undefined && known.request.attempt >= request.attempt) {
      return this.#createRepeatedDecision(known, request, holder);
    }
    if (request.isFirstCandidate) this.#options.shares.recordRequest(request.caller, request.share);
    const revoked = known === undefined ? [] : [known];
    if (known !== undefined) this.release(request.id, known.request.attempt);
    const refusal = this.#checkAdmission(request);
    if (refusal !== undefined) return { reply: refusal, revoked };
    const now = this.#options.clock.now();
    const lease = decodeLeases.createQueuedLease(request, holder, now);
    this.#leases.set(request.id, lease);
    this.startQueued();
    return { reply: this.#createGrantReply(lease), revoked };
  }

  /** Adds a lease reported by its holder. Returns false if a newer attempt has replaced it. */
  addReported(reported: messages.LeaseDetails, holder: network.PeerIdentity): boolean {
    const now = this.#options.clock.now();
    const known = this.#leases.find(reported.id);
    if (known !== undefined && known.request.attempt > reported.attempt) return false;
    if (known?.request.attempt === reported.attempt && known.holder.vm === holder.vm) {
      if (reported.phase > known.phase)
        this.setPhase(reported.id, reported.attempt, reported.phase);
      return true;
    }
    this.#leases.set(reported.id, decodeLeases.createReportedLease(reported, holder, now));
    return true;
  }

  /** Moves a lease to a later phase; earlier phases are ignored. */
  setPhase(id: string, attempt: number, phase: messages.Phase): void {
    const lease = this.#leases.find(id);
    if (lease?.request.attempt !== attempt || phase <= lease.phase) return;
    const now = this.#options.clock.now();
    lease.phase = phase;
    lease.phaseAt = now;
  }

  /** Releases a lease of this or an older attempt and starts queued leases that now fit. */
  release(id: string, attempt: number): void {
    const lease = this.#leases.find(id);
    if (lease === undefined || lease.request.attempt > attempt) return;
    if (lease.phase === messages.PHASE.running) {
      this.#decodeMs.add(this.#options.clock.now() - lease.phaseAt);
    }
    this.#leases.remove(id);
    this.#options.occupancy.recordRelease(id);
    lease.onStartReply?.({ mayStart: false, known: false, shareExceeded: false });
    this.startQueued();
  }

  /**
   * Releases the leases of lost holders, which cannot do so themselves, once the engine no longer
   * reports their requests.
   *
   * @param reportedIds - ids of the requests in the engine's load report.
   * @param unchangedSince - leases whose phase changed later are kept, as they may not be reported
   *   yet.
   */
  releaseEnded(
    isLost: (holder: network.PeerIdentity) => boolean,
    reportedIds: ReadonlySet<string>,
    unchangedSince: number,
  ): void {
    for (const { request, holder, phaseAt } of this.listLeases()) {
      if (phaseAt > unchangedSince || reportedIds.has(request.id) || !isLost(holder)) continue;
      this.release(request.id, request.attempt);
    }
  }

  /** Starts queued leases while there is room and refuses those past their latest start time. */
  startQueued(): void {
    const now = this.#options.clock.now();
    for (const lease of this.#listQueue()) {
      if (lease.startBy < now) this.#refuseLease(lease, REFUSED);
      else if (this.#hasRoom(lease.request)) this.#startLease(lease, now);
    }
  }

  /**
   * Expected wait of a request behind the leases queued ahead of it.
   *
   * @param id - id of the request whose queued lease gives its position; without one, the request
   *   is ranked as a new one.
   */
  computeWaitMs(request: startOrder.RankInput, id?: string): number {
    const queue = this.#listQueue();
    const position = queue.findIndex((lease) => lease.request.id === id);
    const ahead =
      position >= 0
        ? position
        : startOrder.countAhead(queue, request, (name) => this.#computeUsage(name));
    const missingSlots = ahead + 1 - this.countFreeSlots();
    return missingSlots <= 0
      ? 0
      : (missingSlots * this.#getDecodeMs()) / this.#options.runner.slots;
  }

  /**
   * Number of slots that may be leased now: all slots and those that may be leased ahead of their
   * release, minus those granted or occupied; may be negative.
   */
  countFreeSlots(): number {
    const { runner, occupancy } = this.#options;
    const occupied = this.#countPhase(messages.PHASE.running, messages.PHASE.started);
    const unleased = occupancy.countUnleased((id) => this.#leases.has(id));
    return runner.slots - occupied - unleased + this.#computeLeasesAhead();
  }

  /** Refuses all queued leases, for use when the runner has become unavailable. */
  refuseQueued(): void {
    for (const lease of this.#listQueue()) this.#refuseLease(lease, REFUSED);
  }

  /** Decides on a request whose lease is known: grants it again to its holder, else refuses it. */
  #createRepeatedDecision(
    known: decodeLeases.DecodeLease,
    request: messages.DecodeLeaseRequest,
    holder: network.PeerIdentity,
  ): decodeLeases.GrantDecision {
    const isSame = known.attempt === request.attempt && known.holder.vm === holder.vm;
    const reply = isSame
      ? this.#createGrantReply(known)
      : messages.createRefusal(messages.REFUSAL.overloaded, MIN_RETRY_MS);
    return { reply, revoked: [] };
  }

  #createGrantReply(lease: decodeLeases.DecodeLease): messages.LeaseReply {
    const mayStart = lease.phase !== messages.PHASE.queued;
    const waitMs = mayStart ? 0 : this.computeWaitMs(lease.request, lease.id);
    return messages.createGrant(mayStart, waitMs, 0);
  }

  #checkAdmission(request: messages.DecodeLeaseRequest): messages.LeaseReply | undefined {
    const { runner, policy, shares: callerShares, occupancy } = this.#options;
    if (!occupancy.available) {
      return messages.createRefusal(messages.REFUSAL.unavailable, occupancy.retryAfterMs);
    }
    if (this.#leases.size >= runner.slots * MAX_LEASES_PER_SLOT) {
      return messages.createRefusal(messages.REFUSAL.overloaded, this.#getDecodeMs());
    }
    const waitMs = this.computeWaitMs(request);
    const maxWaitMs = request.startWithinMs * (waitMs > 0 ? policy.queueFraction : 1);
    if (maxWaitMs >= 0 && waitMs <= maxWaitMs) return undefined;
    const isShareExceeded = policy.shares && callerShares.isShareExceeded(request.caller);
    const reason = isShareExceeded ? messages.REFUSAL.share : messages.REFUSAL.overloaded;
    return messages.createRefusal(reason, this.#computeRetryMs(waitMs - Math.max(0, maxWaitMs)));
  }

  /**
   * Returns when to retry, and counts this refusal: the excess wait plus the time to serve the
   * recently refused requests, which are assumed to retry first.
   */
  #computeRetryMs(excessMs: number): number {
    const now = this.#options.clock.now();
    this.#refusals *= 2 ** ((this.#refusedAt - now) / REFUSAL_HALF_LIFE_MS);
    this.#refusedAt = now;
    const retriesMs = (this.#refusals * this.#getDecodeMs()) / this.#options.runner.slots;
    this.#refusals += 1;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs + retriesMs));
  }

  #startLease(lease: decodeLeases.DecodeLease, now: number): void {
    lease.phase = messages.PHASE.started;
    lease.phaseAt = now;
    lease.startedAt = now;
    this.#leadMs.add(lease.request.leadMs);
    this.#options.shares.recordGrant(lease.request.caller);
    lease.onStartReply?.(MAY_START);
    lease.onStartReply = undefined;
  }

  #refuseLease(lease: decodeLeases.DecodeLease, reply: messages.StartReply): void {
    const isShareExceeded =
      this.#options.policy.shares && this.#options.shares.isShareExceeded(lease.request.caller);
    this.#leases.remove(lease.request.id);
    lease.onStartReply?.(isShareExceeded ? SHARE_EXCEEDED : reply);
  }

  #listQueue(): readonly decodeLeases.DecodeLease[] {
    const queue = this.listLeases().filter((lease) => lease.phase === messages.PHASE.queued);
    return startOrder.listInStartOrder(queue, (caller) => this.#computeUsage(caller));
  }

  #computeUsage(caller: string): number {
    return this.#options.policy.shares ? this.#options.shares.computeUsage(caller) : 0;
  }

  #countPhase(...phases: readonly messages.Phase[]): number {
    let count = 0;
    for (const lease of this.#leases.list()) if (phases.includes(lease.phase)) count += 1;
    return count;
  }

  /** Whether a crash suspect has started and may still crash the runner in its first steps. */
  #hasIsolatedSuspect(): boolean {
    const isolationStart = this.#options.clock.now() - SUSPECT_ISOLATION_MS;
    return this.listLeases().some(
      ({ request, phase, phaseAt }) =>
        request.isCrashSuspect &&
        (phase === messages.PHASE.started ||
          (phase === messages.PHASE.running && phaseAt > isolationStart)),
    );
  }

  #hasRoom(request: messages.DecodeLeaseRequest): boolean {
    if (request.isCrashSuspect && this.#hasIsolatedSuspect()) return false;
    if (!this.#options.occupancy.available || this.countFreeSlots() < 1) return false;
    let pieces = request.pieces + this.#options.occupancy.countUnleasedPieces();
    for (const lease of this.#leases.list()) {
      if (lease.phase !== messages.PHASE.queued) pieces += lease.request.pieces;
    }
    return pieces <= this.#options.runner.pieces;
  }

  /**
   * Number of slots that may be leased ahead of their release: those expected to be released by the
   * time a prefill that starts now has been transferred, plus `policy.extraLeases`, up to a limit.
   */
  #computeLeasesAhead(): number {
    const decodeMs = this.#decodeMs.mean;
    const leadMs = this.#leadMs.mean;
    const { policy, runner } = this.#options;
    if (!policy.leaseAhead || decodeMs === undefined || leadMs === undefined) return 0;
    const running = this.#countPhase(messages.PHASE.running);
    const expectedReleases = running * (1 - Math.exp(-leadMs / decodeMs));
    return Math.min(
      runner.slots * MAX_LEASED_AHEAD_FRACTION,
      expectedReleases + policy.extraLeases,
    );
  }

  #getDecodeMs(): number {
    return this.#decodeMs.mean ?? this.#options.runner.stepMs * DEFAULT_OUTPUT_TOKENS;
  }
}
