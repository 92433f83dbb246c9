/** Lease of a decode slot and of KV cache pieces, as recorded by the runner's allocator. */
import type * as network from "../protocol/network.js";
import * as messages from "./messages.js";

/** A lease in a decode ledger. */
export interface DecodeLease {
  readonly id: string;
  readonly request: messages.DecodeLeaseRequest;
  readonly attempt: number;
  readonly holder: network.PeerIdentity;
  readonly grantedAt: number;
  /** Latest start time that still meets the request's targets. */
  readonly startBy: number;
  phase: messages.Phase;
  phaseAt: number;
  /** Time at which the lease was allowed to start. */
  startedAt: number | undefined;
  /** Called once, when the lease may start, is refused or is released. */
  onStartReply: ((reply: messages.StartReply) => void) | undefined;
}

/** Result of a lease request. */
export interface GrantDecision {
  readonly reply: messages.LeaseReply;
  /** Leases of older attempts, to be revoked from their holders. */
  readonly revoked: readonly DecodeLease[];
}

/** Creates a lease that waits in the queue. */
export function createQueuedLease(
  request: messages.DecodeLeaseRequest,
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
    startedAt: undefined,
    onStartReply: undefined,
  };
}

/** Creates a lease reported by its holder; it counts as started, as its work may be in progress. */
export function createReportedLease(
  reported: messages.LeaseDetails,
  holder: network.PeerIdentity,
  now: number,
): DecodeLease {
  const request = {
    ...reported,
    isFirstCandidate: false,
    betweenTokensMs: Number.MAX_SAFE_INTEGER,
    startWithinMs: 0,
    leadMs: 0,
  };
  return {
    id: reported.id,
    request,
    attempt: reported.attempt,
    holder,
    grantedAt: now - reported.ageMs,
    startBy: now,
    phase: reported.phase === messages.PHASE.queued ? messages.PHASE.started : reported.phase,
    phaseAt: now,
    startedAt: now,
    onStartReply: undefined,
  };
}
