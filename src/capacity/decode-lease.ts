/** A lease of a decode slot and pieces, as the runner's allocator keeps it. */
import type * as network from "../protocol/network.js";
import * as messages from "./messages.js";

/** A lease in the ledger. */
export interface DecodeLease {
  readonly id: string;
  readonly request: messages.LeaseRequest;
  readonly attempt: number;
  readonly holder: network.PeerIdentity;
  readonly grantedAt: number;
  /** Time after which the turn is of no use. */
  readonly startBy: number;
  phase: messages.Phase;
  phaseAt: number;
  /** When its turn came. */
  sentAt: number | undefined;
  /** Called once when the turn comes or the lease is refused. */
  onTurn: ((turn: messages.Turn) => void) | undefined;
}

/** Outcome of a request for a lease. */
export interface Decision {
  readonly answer: messages.Answer;
  /** Leases of older attempts, or displaced ones, to take back from their holders. */
  readonly revoked: readonly DecodeLease[];
}

/** Creates a lease that waits for its turn. */
export function createQueuedLease(
  request: messages.LeaseRequest,
  holder: network.PeerIdentity,
  now: number,
): DecodeLease {
  return {
    id: request.id,
    request,
    attempt: request.attempt,
    holder,
    grantedAt: now,
    startBy: now + request.startWithinMs,
    phase: messages.PHASE.queued,
    phaseAt: now,
    sentAt: undefined,
    onTurn: undefined,
  };
}

/** Creates a lease that its holder reports; it has had its turn, for its work may be under way. */
export function createReportedLease(
  held: messages.HeldLease,
  holder: network.PeerIdentity,
  now: number,
): DecodeLease {
  const request = {
    ...held,
    isFirst: false,
    betweenTokensMs: Number.MAX_SAFE_INTEGER,
    startWithinMs: 0,
    leadMs: 0,
  };
  return {
    id: held.id,
    request,
    attempt: held.attempt,
    holder,
    grantedAt: now - held.ageMs,
    startBy: now,
    phase: held.phase === messages.PHASE.queued ? messages.PHASE.sent : held.phase,
    phaseAt: now,
    sentAt: now,
    onTurn: undefined,
  };
}
