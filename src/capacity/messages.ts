/** Peer calls of the capacity service. Times are sent as durations, since nodes' clocks differ. */
import * as zod from "zod";
import * as network from "../protocol/network.js";

/** Maximum length of each list of leases, changes or latencies in one message. */
const MAX_BATCH_ITEMS = 10_000;
/** Maximum number of prompt prefixes in a request for a prefill lease. */
const MAX_PREFIXES = 8;

const text = zod.string().max(500);
const requestId = zod.string().max(1000);
/** Whole milliseconds, which encode to fewer bytes than fractions. */
const duration = zod.int();
/** Short key of a request's lease: `computeLeaseKey` of its id. */
const key = zod.string().max(16);
const attempt = zod.int().min(1);

/** Phase of a lease: queued, in prefill or transfer, or decoding. */
export const PHASE = { queued: 0, started: 1, running: 2 } as const;

/** One of the values of `PHASE`. */
export type Phase = (typeof PHASE)[keyof typeof PHASE];

const phase = zod.union([zod.literal(0), zod.literal(1), zod.literal(2)]);

/** Reasons of an allocator to refuse a lease. */
export const REFUSAL = {
  overloaded: "overloaded",
  share: "share",
  /** The runner's mean inter-token latency exceeds the request's target. */
  slow: "slow",
  /** The runner does not answer. */
  unavailable: "unavailable",
  /** The called node does not allocate the runner according to its own view. */
  notAllocator: "not-allocator",
} as const;

/** One of the values of `REFUSAL`. */
export type RefusalReason = (typeof REFUSAL)[keyof typeof REFUSAL];

const refusal = zod.enum(["overloaded", "share", "slow", "unavailable", "not-allocator"]);

const leaseReply = zod.object({
  granted: zod.boolean(),
  /** Whether the prefill may start now; otherwise the lease is queued and the holder waits. */
  mayStart: zod.boolean(),
  /** Expected wait until the lease may start. */
  waitMs: duration,
  /** Expected duration of the prefill; 0 for decode leases. */
  workMs: duration,
  reason: refusal.optional(),
  retryAfterMs: duration,
  /** Another runner of this allocator that is expected to meet the request's targets. */
  alternativeRunner: text.optional(),
});

/** Reply to a lease request. */
export type LeaseReply = zod.infer<typeof leaseReply>;

const decodeLeaseRequest = zod.object({
  runner: text,
  id: requestId,
  attempt,
  caller: text,
  share: zod.number().positive(),
  priority: zod.int(),
  pieces: zod.number().min(0),
  /** Whether no other runner was asked for this request before. */
  isFirstCandidate: zod.boolean(),
  /** Whether the request may have crashed a runner. */
  isCrashSuspect: zod.boolean().optional(),
  /** Target for the time between two tokens. */
  betweenTokensMs: duration,
  /** Maximum time until the start that still meets the request's targets. */
  startWithinMs: duration,
  /** Expected time from the start to the end of the transfer, without any wait for the slot. */
  leadMs: duration,
});

/** Request for a decode lease. */
export type DecodeLeaseRequest = zod.infer<typeof decodeLeaseRequest>;

const prefillLeaseRequest = zod.object({
  runner: text,
  id: requestId,
  attempt,
  /** Whether the request may have crashed a runner. */
  isCrashSuspect: zod.boolean().optional(),
  tokens: zod.number().min(0),
  /** Evenly spaced prefixes of the prompt, shortest first, with the tokens that each covers. */
  prefixes: zod.array(zod.object({ hash: text, tokens: zod.number() })).max(MAX_PREFIXES),
  /** Maximum time until the end of the prefill. */
  endWithinMs: duration,
});

/** Request for a prefill lease. */
export type PrefillLeaseRequest = zod.infer<typeof prefillLeaseRequest>;

const leaseId = zod.object({ runner: text, key, attempt });

/** Identifies a lease. */
export type LeaseId = zod.infer<typeof leaseId>;

const startReply = zod.object({
  mayStart: zod.boolean(),
  known: zod.boolean(),
  shareExceeded: zod.boolean(),
});

/** Reply to a wait for a queued lease; `known` is false if the allocator no longer has the lease. */
export type StartReply = zod.infer<typeof startReply>;

const change = zod.object({
  runner: text,
  key,
  attempt,
  phase: phase.optional(),
  /** Number of prompt tokens that were computed rather than cached. */
  tokens: zod.number().optional(),
});

/** Change of a lease; without `phase` the lease is released. */
export type LeaseChange = zod.infer<typeof change>;

const leaseDetails = zod.object({
  runner: text,
  id: requestId,
  attempt,
  caller: text,
  share: zod.number().positive(),
  priority: zod.int(),
  pieces: zod.number(),
  /** Prompt tokens to compute; 0 for decode leases. */
  tokens: zod.number(),
  phase,
  /** Time since the lease was granted. */
  ageMs: duration,
});

/** A lease in full, as its holder reports it to an allocator that does not know it. */
export type LeaseDetails = zod.infer<typeof leaseDetails>;

const reportedLease = zod.object({ runner: text, key, attempt, phase });

/** A lease as its holder reports it each period. */
export type ReportedLease = zod.infer<typeof reportedLease>;

const runnerView = zod.object({
  runner: text,
  /** Expected wait of a new request. */
  waitMs: duration,
  /** Free slots; 0 for prefill runners. */
  freeSlots: zod.number(),
  /** Ratio of observed to nominal prefill time; 1 for decode runners. */
  slowdown: zod.number(),
  available: zod.boolean(),
  /** Mean inter-token latency of a decode runner. */
  gapMs: duration,
  /** Whether the allocator would grant a probe request although the runner is slow. */
  probeDue: zod.boolean(),
});

/** State of a runner as its allocator reports it to holders. */
export type RunnerView = zod.infer<typeof runnerView>;

const runnerGap = zod.object({ runner: text, gapMs: duration });

/** Mean inter-token latency of a runner, as a holder observed it since its last report. */
export type RunnerGap = zod.infer<typeof runnerGap>;

const leaseReport = zod.object({
  leases: zod.array(reportedLease).max(MAX_BATCH_ITEMS),
  gaps: zod.array(runnerGap).max(MAX_BATCH_ITEMS),
});

/** Report of a holder to an allocator, sent each period. */
export type LeaseReport = zod.infer<typeof leaseReport>;

const reportReply = zod.object({
  views: zod.array(runnerView),
  revoked: zod.array(leaseId),
  /** Leases that the holder should send in full. */
  unknown: zod.array(leaseId),
});

/** Allocator's reply to a report. */
export type ReportReply = zod.infer<typeof reportReply>;

/** Requests a decode slot and pieces. */
export const LEASE_DECODE = network.createPeerCall(
  60,
  "leaseDecode",
  decodeLeaseRequest,
  leaseReply,
);
/** Waits until a queued decode or prefill lease may start, is refused or is released. */
export const WAIT_FOR_START = network.createPeerCall(61, "waitTurn", leaseId, startReply);
/** Requests prefill time. */
export const LEASE_PREFILL = network.createPeerCall(
  62,
  "leasePrefill",
  prefillLeaseRequest,
  leaseReply,
);
/** Notifies an allocator of changes of leases. */
export const CHANGE_LEASES = network.createPeerCall(
  63,
  "changeLeases",
  zod.object({ changes: zod.array(change).max(MAX_BATCH_ITEMS) }),
  zod.object({}),
);
/** Reports all leases that the sender holds; the reply has runner states and revoked leases. */
export const REPORT_LEASES = network.createPeerCall(64, "reportLeases", leaseReport, reportReply);
/** Sends leases in full to an allocator that does not know them; the reply lists replaced ones. */
export const ADD_LEASES = network.createPeerCall(
  67,
  "addLeases",
  zod.object({ leases: zod.array(leaseDetails).max(MAX_BATCH_ITEMS) }),
  zod.object({ revoked: zod.array(leaseId) }),
);
/** Revokes leases from their holder. */
export const REVOKE_LEASES = network.createPeerCall(
  65,
  "revokeLeases",
  zod.object({ leases: zod.array(leaseId).max(MAX_BATCH_ITEMS) }),
  zod.object({}),
);
/** Announces a newer attempt of a request, which replaces the older ones. */
export const SUPERSEDE = network.createPeerCall(
  66,
  "supersede",
  zod.object({ id: requestId, attempt }),
  zod.object({}),
);

/** Expects any reply; a refused connection or another incarnation proves that the process ended. */
export const CHECK_PROCESS = network.createPeerCall(
  68,
  "check-process",
  zod.object({}),
  zod.object({}),
);

/** Creates the reply that grants a lease. */
export function createGrant(mayStart: boolean, waitMs: number, workMs: number): LeaseReply {
  return {
    granted: true,
    mayStart,
    waitMs: Math.ceil(waitMs),
    workMs: Math.ceil(workMs),
    retryAfterMs: 0,
  };
}

/** Creates the reply that refuses a lease. */
export function createRefusal(reason: RefusalReason, retryAfterMs: number): LeaseReply {
  const retry = Math.ceil(retryAfterMs);
  return { granted: false, mayStart: false, waitMs: 0, workMs: 0, reason, retryAfterMs: retry };
}

/** Chooses at most `MAX_PREFIXES` prefixes whose block counts are multiples of a power of two. */
export function choosePrefixes(
  prefixes: readonly string[],
  promptTokens: number,
): PrefillLeaseRequest["prefixes"] {
  const blockTokens = Math.floor(promptTokens / Math.max(1, prefixes.length));
  const chosen: PrefillLeaseRequest["prefixes"] = [];
  const step = computePrefixStep(prefixes.length);
  for (let end = step; end <= prefixes.length; end += step) {
    const hash = prefixes[end - 1];
    if (hash !== undefined) chosen.push({ hash, tokens: end * blockTokens });
  }
  return chosen;
}

/** Returns the smallest power of two that, as the step, chooses at most `MAX_PREFIXES` of `count`. */
function computePrefixStep(count: number): number {
  let step = 1;
  while (count / step > MAX_PREFIXES) step *= 2;
  return step;
}
