/** Leases of one decode runner, as its allocator keeps them. Decides who may start, and when. */
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

/** Most leases, queued ones included, for each slot of the runner. */
const MAX_LEASES_PER_SLOT = 10;
/** Output tokens assumed before any life was seen. */
const ASSUMED_TOKENS = 200;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
/** Time in which half of those refused are taken to have given up. */
const REFUSAL_HALF_LIFE_MS = 5000;
/** Time of decode after which a suspect is not taken to crash the runner by its first steps. */
const PROBATION_MS = 300;
/** Most slots leased ahead, as a part of all. */
const MAX_AHEAD = 0.5;

const TURN: messages.Turn = { turn: true, known: true, share: false };
const NO_TURN: messages.Turn = { turn: false, known: true, share: false };
const NO_SHARE: messages.Turn = { turn: false, known: true, share: true };

/** What a ledger works with. */
export interface LedgerParts {
  readonly runner: catalogs.CatalogRunner;
  readonly clock: clocks.Clock;
  readonly policy: policies.CapacityPolicy;
  readonly shares: shares.CallerShares;
  readonly occupancy: occupancy.Occupancy;
}

/** Ledger of one decode runner. */
export class DecodeLedger {
  readonly #parts: LedgerParts;
  readonly #leases = new leaseMaps.LeaseMap<decodeLeases.DecodeLease>();
  readonly #life = new estimates.Estimate(0.05);
  readonly #lead = new estimates.Estimate();
  #refusals = 0;
  #refusedAt = 0;

  constructor(parts: LedgerParts) {
    this.#parts = parts;
  }

  /** Returns the lease of a request. */
  findLease(id: string): decodeLeases.DecodeLease | undefined {
    return this.#leases.find(id);
  }

  /** Returns the lease with that key. */
  findByKey(key: string): decodeLeases.DecodeLease | undefined {
    return this.#leases.findByKey(key);
  }

  /** Returns all leases. */
  listLeases(): readonly decodeLeases.DecodeLease[] {
    return [...this.#leases.list()];
  }

  /** Decides on a request for a lease; a newer attempt takes the place of an older one. */
  grant(request: messages.LeaseRequest, holder: network.PeerIdentity): decodeLeases.Decision {
    const known = this.#leases.find(request.id);
    if (known !== undefined && known.request.attempt >= request.attempt) {
      return this.#createKnownAnswer(known, request, holder);
    }
    if (request.isFirst) this.#parts.shares.recordRequest(request.caller, request.share);
    const revoked = known === undefined ? [] : [known];
    if (known !== undefined) this.release(request.id, known.request.attempt);
    const refusal = this.#checkAdmission(request);
    if (refusal !== undefined) return { answer: refusal, revoked };
    const now = this.#parts.clock.now();
    const lease = decodeLeases.createQueuedLease(request, holder, now);
    this.#leases.set(request.id, lease);
    this.startQueued();
    return { answer: this.#createGrant(lease), revoked };
  }

  /** Adds a lease that its holder reports and this ledger does not know. */
  addReported(held: messages.HeldLease, holder: network.PeerIdentity): boolean {
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

  /** Records that a lease reached a later phase. */
  setPhase(id: string, attempt: number, phase: messages.Phase): void {
    const lease = this.#leases.find(id);
    if (lease?.request.attempt !== attempt || phase <= lease.phase) return;
    const now = this.#parts.clock.now();
    lease.phase = phase;
    lease.phaseAt = now;
  }

  /** Releases a lease of that attempt or an older one, and starts whom that makes room for. */
  release(id: string, attempt: number): void {
    const lease = this.#leases.find(id);
    if (lease === undefined || lease.request.attempt > attempt) return;
    if (lease.phase === messages.PHASE.running) {
      this.#life.add(this.#parts.clock.now() - lease.phaseAt);
    }
    this.#leases.remove(id);
    this.#parts.occupancy.recordRelease(id);
    lease.onTurn?.({ turn: false, known: false, share: false });
    this.startQueued();
  }

  /**
   * Releases leases of holders that cannot tell their end, once the engine no longer shows them.
   *
   * @param before - leases that started later may not be shown yet.
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

  /** Gives the turn to queued leases while there is room, and refuses those that are too late. */
  startQueued(): void {
    const now = this.#parts.clock.now();
    for (const lease of this.#listQueue()) {
      if (lease.startBy < now) this.#refuseQueued(lease, NO_TURN);
      else if (this.#hasRoom(lease.request)) this.#startLease(lease, now);
    }
  }

  /** Expected wait for a turn behind those queued ahead of the caller. */
  computeWait(request: turnOrder.Ranked, id?: string): number {
    const queue = this.#listQueue();
    const position = queue.findIndex((lease) => lease.request.id === id);
    const ahead =
      position >= 0
        ? position
        : turnOrder.countAhead(queue, request, (name) => this.#computeUse(name));
    const missing = ahead + 1 - this.countFree();
    return missing <= 0 ? 0 : (missing * this.#getLifeMs()) / this.#parts.runner.slots;
  }

  /** Slots that may be leased now; negative when more are expected to arrive than to be freed. */
  countFree(): number {
    const { runner, occupancy } = this.#parts;
    const occupied = this.#countPhase(messages.PHASE.running, messages.PHASE.sent);
    const foreign = occupancy.countForeign((id) => this.#leases.has(id));
    return runner.slots - occupied - foreign + this.#computeAhead();
  }

  /** Refuses every queued lease, for the runner is not available. */
  refuseQueue(): void {
    for (const lease of this.#listQueue()) this.#refuseQueued(lease, NO_TURN);
  }

  #createKnownAnswer(
    known: decodeLeases.DecodeLease,
    request: messages.LeaseRequest,
    holder: network.PeerIdentity,
  ): decodeLeases.Decision {
    const isSame = known.attempt === request.attempt && known.holder.vm === holder.vm;
    const answer = isSame
      ? this.#createGrant(known)
      : messages.createRefusal(messages.REFUSAL.overloaded, MIN_RETRY_MS);
    return { answer, revoked: [] };
  }

  #createGrant(lease: decodeLeases.DecodeLease): messages.Answer {
    const turn = lease.phase !== messages.PHASE.queued;
    const waitMs = turn ? 0 : this.computeWait(lease.request, lease.id);
    return messages.createGrant(turn, waitMs, 0);
  }

  #checkAdmission(request: messages.LeaseRequest): messages.Answer | undefined {
    const { runner, policy, shares: callerShares, occupancy } = this.#parts;
    if (!occupancy.available) {
      return messages.createRefusal(messages.REFUSAL.unavailable, occupancy.retryAfterMs);
    }
    if (this.#leases.size >= runner.slots * MAX_LEASES_PER_SLOT) {
      return messages.createRefusal(messages.REFUSAL.overloaded, this.#getLifeMs());
    }
    const waitMs = this.computeWait(request);
    const boundMs = request.startWithinMs * (waitMs > 0 ? policy.queueFraction : 1);
    if (boundMs >= 0 && waitMs <= boundMs) return undefined;
    const isOver = policy.shares && callerShares.isExceeded(request.caller);
    const reason = isOver ? messages.REFUSAL.share : messages.REFUSAL.overloaded;
    return messages.createRefusal(reason, this.#computeRetry(waitMs - Math.max(0, boundMs)));
  }

  /** Time after which the wait fits, when all that were refused lately are served before. */
  #computeRetry(excessMs: number): number {
    const now = this.#parts.clock.now();
    this.#refusals *= 2 ** ((this.#refusedAt - now) / REFUSAL_HALF_LIFE_MS);
    this.#refusedAt = now;
    const servedMs = (this.#refusals * this.#getLifeMs()) / this.#parts.runner.slots;
    this.#refusals += 1;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs + servedMs));
  }

  #startLease(lease: decodeLeases.DecodeLease, now: number): void {
    lease.phase = messages.PHASE.sent;
    lease.phaseAt = now;
    lease.sentAt = now;
    this.#lead.add(lease.request.leadMs);
    this.#parts.shares.recordGrant(lease.request.caller);
    lease.onTurn?.(TURN);
    lease.onTurn = undefined;
  }

  #refuseQueued(lease: decodeLeases.DecodeLease, turn: messages.Turn): void {
    const isOver = this.#parts.policy.shares && this.#parts.shares.isExceeded(lease.request.caller);
    this.#leases.remove(lease.request.id);
    lease.onTurn?.(isOver ? NO_SHARE : turn);
  }

  #listQueue(): readonly decodeLeases.DecodeLease[] {
    const queue = this.listLeases().filter((lease) => lease.phase === messages.PHASE.queued);
    return turnOrder.listByTurn(queue, (caller) => this.#computeUse(caller));
  }

  #computeUse(caller: string): number {
    return this.#parts.policy.shares ? this.#parts.shares.computeUse(caller) : 0;
  }

  #countPhase(...phases: readonly messages.Phase[]): number {
    let count = 0;
    for (const lease of this.#leases.list()) if (phases.includes(lease.phase)) count += 1;
    return count;
  }

  /** Whether a suspect has begun whose first steps might still crash the runner. */
  #hasSuspectOnProbation(): boolean {
    const provenBefore = this.#parts.clock.now() - PROBATION_MS;
    return this.listLeases().some(
      ({ request, phase, phaseAt }) =>
        request.isSuspect &&
        (phase === messages.PHASE.sent ||
          (phase === messages.PHASE.running && phaseAt > provenBefore)),
    );
  }

  #hasRoom(request: messages.LeaseRequest): boolean {
    if (request.isSuspect && this.#hasSuspectOnProbation()) return false;
    if (!this.#parts.occupancy.available || this.countFree() < 1) return false;
    let pieces = request.pieces + this.#parts.occupancy.countForeignPieces();
    for (const lease of this.#leases.list()) {
      if (lease.phase !== messages.PHASE.queued) pieces += lease.request.pieces;
    }
    return pieces <= this.#parts.runner.pieces;
  }

  /** Slots expected to be freed before a prefill that starts now has been transferred. */
  #computeAhead(): number {
    const life = this.#life.mean;
    const lead = this.#lead.mean;
    const { policy, runner } = this.#parts;
    if (!policy.leaseAhead || life === undefined || lead === undefined) return 0;
    const running = this.#countPhase(messages.PHASE.running);
    const released = running * (1 - Math.exp(-lead / life));
    return Math.min(runner.slots * MAX_AHEAD, released + policy.extraLeases);
  }

  #getLifeMs(): number {
    return this.#life.mean ?? this.#parts.runner.stepMs * ASSUMED_TOKENS;
  }
}
