/** Allocator's ledger of one decode runner: grants or refuses leases and orders their starts. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as catalogs from "./catalog.js";
import * as decodeLeases from "./decode-lease.js";
import * as estimates from "./estimates.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as occupancy from "./occupancy.js";
import type * as policies from "./policy.js";
import type * as shares from "./shares.js";
import * as turnOrder from "./turn-order.js";

/** Maximum number of leases per slot, including queued ones. */
const MAX_LEASES_PER_SLOT = 10;
/** Output tokens assumed per request until a decode duration has been observed. */
const DEFAULT_OUTPUT_TOKENS = 200;
/** Smoothing factor of the mean decode duration. */
const DECODE_TIME_GAIN = 0.05;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
/** Half-life of the count of refused requests that are expected to retry. */
const REFUSAL_HALF_LIFE_MS = 5000;
/** Decode time after which a crash suspect counts as safe, as crashes occur in the first steps. */
const SUSPECT_PROBATION_MS = 300;
/** Maximum fraction of the slots that may be leased before they are released. */
const MAX_LEASED_AHEAD_FRACTION = 0.5;

const MAY_START: messages.TurnReply = { mayStart: true, known: true, shareExceeded: false };
const REFUSED: messages.TurnReply = { mayStart: false, known: true, shareExceeded: false };
const SHARE_EXCEEDED: messages.TurnReply = { mayStart: false, known: true, shareExceeded: true };

/** Dependencies of a ledger. */
export interface LedgerParts {
  readonly runner: catalogs.CatalogRunner;
  readonly clock: clocks.Clock;
  readonly policy: policies.CapacityPolicy;
  readonly shares: shares.CallerShares;
  readonly occupancy: occupancy.Occupancy;
}

/** Tracks the leases of one decode runner, running and queued. */
export class DecodeLedger {
  readonly #parts: LedgerParts;
  readonly #leases = new leaseMaps.LeaseMap<decodeLeases.DecodeLease>();
  readonly #decodeMs = new estimates.Estimate(DECODE_TIME_GAIN);
  readonly #leadMs = new estimates.Estimate();
  #refusals = 0;
  #refusedAt = 0;

  constructor(parts: LedgerParts) {
    this.#parts = parts;
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

  /** Grants or refuses a lease; a newer attempt of a request replaces an older one. */
  grant(
    request: messages.DecodeLeaseRequest,
    holder: network.PeerIdentity,
  ): decodeLeases.GrantDecision {
    const known = this.#leases.find(request.id);
    if (known !== undefined && known.request.attempt >= request.attempt) {
      return this.#createRepeatedDecision(known, request, holder);
    }
    if (request.isFirstCandidate) this.#parts.shares.recordRequest(request.caller, request.share);
    const revoked = known === undefined ? [] : [known];
    if (known !== undefined) this.release(request.id, known.request.attempt);
    const refusal = this.#checkAdmission(request);
    if (refusal !== undefined) return { reply: refusal, revoked };
    const now = this.#parts.clock.now();
    const lease = decodeLeases.createQueuedLease(request, holder, now);
    this.#leases.set(request.id, lease);
    this.startQueued();
    return { reply: this.#createGrantReply(lease), revoked };
  }

  /** Adds a lease reported by its holder. Returns false if a newer attempt has replaced it. */
  addReported(held: messages.LeaseDetails, holder: network.PeerIdentity): boolean {
    const now = this.#parts.clock.now();
    const known = this.#leases.find(held.id);
    if (known !== undefined && known.request.attempt > held.attempt) return false;
    if (known?.request.attempt === held.attempt && known.holder.vm === holder.vm) {
      if (held.phase > known.phase) this.setPhase(held.id, held.attempt, held.phase);
      return true;
    }
    this.#leases.set(held.id, decodeLeases.createReportedLease(held, holder, now));
    return true;
  }

  /** Moves a lease to a later phase; earlier phases are ignored. */
  setPhase(id: string, attempt: number, phase: messages.Phase): void {
    const lease = this.#leases.find(id);
    if (lease?.request.attempt !== attempt || phase <= lease.phase) return;
    const now = this.#parts.clock.now();
    lease.phase = phase;
    lease.phaseAt = now;
  }

  /** Releases a lease of this or an older attempt and starts queued leases that now fit. */
  release(id: string, attempt: number): void {
    const lease = this.#leases.find(id);
    if (lease === undefined || lease.request.attempt > attempt) return;
    if (lease.phase === messages.PHASE.running) {
      this.#decodeMs.add(this.#parts.clock.now() - lease.phaseAt);
    }
    this.#leases.remove(id);
    this.#parts.occupancy.recordRelease(id);
    lease.onTurnReply?.({ mayStart: false, known: false, shareExceeded: false });
    this.startQueued();
  }

  /**
   * Releases leases of lost holders, which cannot do so, once the engine no longer reports them.
   *
   * @param before - leases whose phase changed later are kept, as they may not be reported yet.
   */
  releaseEnded(
    isLost: (holder: network.PeerIdentity) => boolean,
    held: ReadonlySet<string>,
    before: number,
  ): void {
    for (const { request, holder, phaseAt } of this.listLeases()) {
      if (phaseAt > before || held.has(request.id) || !isLost(holder)) continue;
      this.release(request.id, request.attempt);
    }
  }

  /** Starts queued leases while there is room and refuses those past their latest start time. */
  startQueued(): void {
    const now = this.#parts.clock.now();
    for (const lease of this.#listQueue()) {
      if (lease.startBy < now) this.#refuseLease(lease, REFUSED);
      else if (this.#hasRoom(lease.request)) this.#startLease(lease, now);
    }
  }

  /** Expected wait of a request behind the leases queued ahead of it. */
  computeWaitMs(request: turnOrder.Ranked, id?: string): number {
    const queue = this.#listQueue();
    const position = queue.findIndex((lease) => lease.request.id === id);
    const ahead =
      position >= 0
        ? position
        : turnOrder.countAhead(queue, request, (name) => this.#computeUsage(name));
    const missing = ahead + 1 - this.countFreeSlots();
    return missing <= 0 ? 0 : (missing * this.#getDecodeMs()) / this.#parts.runner.slots;
  }

  /** Slots that may be leased now; negative if more are taken than are expected to be released. */
  countFreeSlots(): number {
    const { runner, occupancy } = this.#parts;
    const occupied = this.#countPhase(messages.PHASE.running, messages.PHASE.started);
    const foreign = occupancy.countUnleased((id) => this.#leases.has(id));
    return runner.slots - occupied - foreign + this.#computeExpectedReleases();
  }

  /** Refuses all queued leases, for use when the runner has become unavailable. */
  refuseQueued(): void {
    for (const lease of this.#listQueue()) this.#refuseLease(lease, REFUSED);
  }

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
    const { runner, policy, shares: callerShares, occupancy } = this.#parts;
    if (!occupancy.available) {
      return messages.createRefusal(messages.REFUSAL.unavailable, occupancy.retryAfterMs);
    }
    if (this.#leases.size >= runner.slots * MAX_LEASES_PER_SLOT) {
      return messages.createRefusal(messages.REFUSAL.overloaded, this.#getDecodeMs());
    }
    const waitMs = this.computeWaitMs(request);
    const boundMs = request.startWithinMs * (waitMs > 0 ? policy.queueFraction : 1);
    if (boundMs >= 0 && waitMs <= boundMs) return undefined;
    const isShareExceeded = policy.shares && callerShares.isExceeded(request.caller);
    const reason = isShareExceeded ? messages.REFUSAL.share : messages.REFUSAL.overloaded;
    return messages.createRefusal(reason, this.#computeRetryMs(waitMs - Math.max(0, boundMs)));
  }

  /** Time until the wait fits the targets if all recently refused requests retry and go first. */
  #computeRetryMs(excessMs: number): number {
    const now = this.#parts.clock.now();
    this.#refusals *= 2 ** ((this.#refusedAt - now) / REFUSAL_HALF_LIFE_MS);
    this.#refusedAt = now;
    const servedMs = (this.#refusals * this.#getDecodeMs()) / this.#parts.runner.slots;
    this.#refusals += 1;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs + servedMs));
  }

  #startLease(lease: decodeLeases.DecodeLease, now: number): void {
    lease.phase = messages.PHASE.started;
    lease.phaseAt = now;
    lease.startedAt = now;
    this.#leadMs.add(lease.request.leadMs);
    this.#parts.shares.recordGrant(lease.request.caller);
    lease.onTurnReply?.(MAY_START);
    lease.onTurnReply = undefined;
  }

  #refuseLease(lease: decodeLeases.DecodeLease, reply: messages.TurnReply): void {
    const isShareExceeded =
      this.#parts.policy.shares && this.#parts.shares.isExceeded(lease.request.caller);
    this.#leases.remove(lease.request.id);
    lease.onTurnReply?.(isShareExceeded ? SHARE_EXCEEDED : reply);
  }

  #listQueue(): readonly decodeLeases.DecodeLease[] {
    const queue = this.listLeases().filter((lease) => lease.phase === messages.PHASE.queued);
    return turnOrder.listByRank(queue, (caller) => this.#computeUsage(caller));
  }

  #computeUsage(caller: string): number {
    return this.#parts.policy.shares ? this.#parts.shares.computeUsage(caller) : 0;
  }

  #countPhase(...phases: readonly messages.Phase[]): number {
    let count = 0;
    for (const lease of this.#leases.list()) if (phases.includes(lease.phase)) count += 1;
    return count;
  }

  /** Whether a crash suspect has started and may still crash the runner in its first steps. */
  #hasSuspectOnProbation(): boolean {
    const provenBefore = this.#parts.clock.now() - SUSPECT_PROBATION_MS;
    return this.listLeases().some(
      ({ request, phase, phaseAt }) =>
        request.isCrashSuspect &&
        (phase === messages.PHASE.started ||
          (phase === messages.PHASE.running && phaseAt > provenBefore)),
    );
  }

  #hasRoom(request: messages.DecodeLeaseRequest): boolean {
    if (request.isCrashSuspect && this.#hasSuspectOnProbation()) return false;
    if (!this.#parts.occupancy.available || this.countFreeSlots() < 1) return false;
    let pieces = request.pieces + this.#parts.occupancy.countUnleasedPieces();
    for (const lease of this.#leases.list()) {
      if (lease.phase !== messages.PHASE.queued) pieces += lease.request.pieces;
    }
    return pieces <= this.#parts.runner.pieces;
  }

  /** Slots expected to be released by the time a prefill that starts now has been transferred. */
  #computeExpectedReleases(): number {
    const decodeMs = this.#decodeMs.mean;
    const leadMs = this.#leadMs.mean;
    const { policy, runner } = this.#parts;
    if (!policy.leaseAhead || decodeMs === undefined || leadMs === undefined) return 0;
    const running = this.#countPhase(messages.PHASE.running);
    const released = running * (1 - Math.exp(-leadMs / decodeMs));
    return Math.min(runner.slots * MAX_LEASED_AHEAD_FRACTION, released + policy.extraLeases);
  }

  #getDecodeMs(): number {
    return this.#decodeMs.mean ?? this.#parts.runner.stepMs * DEFAULT_OUTPUT_TOKENS;
  }
}
