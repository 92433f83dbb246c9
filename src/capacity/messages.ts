/** Calls between nodes about capacity. Durations are relative, for clocks of nodes differ. */
import * as zod from "zod";
import * as network from "../protocol/network.js";

const MAX_BATCH = 10_000;
const MAX_PREFIXES = 8;

const text = zod.string().max(500);
const requestId = zod.string().max(1000);
/** Whole milliseconds, which take fewer bytes than fractions. */
const duration = zod.int();
/** Short name of a request's lease: `computeLeaseKey` of its id. */
const key = zod.string().max(16);
const attempt = zod.int().min(1);

/** Phase of a lease: waiting for its turn, prefilling or transferring, generating. */
export const PHASE = { queued: 0, sent: 1, running: 2 } as const;

/** One of the values of `PHASE`. */
export type Phase = (typeof PHASE)[keyof typeof PHASE];

const phase = zod.union([zod.literal(0), zod.literal(1), zod.literal(2)]);

/** Why an allocator refused. */
export const REFUSAL = {
  overloaded: "overloaded",
  share: "share",
  /** The runner's gaps between tokens are above the request's target. */
  slow: "slow",
  /** The runner does not answer. */
  unavailable: "unavailable",
  /** The node is not the runner's allocator in its own view. */
  notAllocator: "not-allocator",
} as const;

/** One of the values of `REFUSAL`. */
export type Refusal = (typeof REFUSAL)[keyof typeof REFUSAL];

const refusal = zod.enum(["overloaded", "share", "slow", "unavailable", "not-allocator"]);

const answer = zod.object({
  granted: zod.boolean(),
  /** Whether the prefill may start now; else the holder waits for its turn. */
  turn: zod.boolean(),
  /** Expected wait for the turn. */
  waitMs: duration,
  /** Expected work time, of prefill leases. */
  workMs: duration,
  reason: refusal.optional(),
  retryAfterMs: duration,
  /** A runner of the same allocator that would have granted. */
  better: text.optional(),
});

/** Answer to a request for a lease. */
export type Answer = zod.infer<typeof answer>;

const leaseRequest = zod.object({
  runner: text,
  id: requestId,
  attempt,
  caller: text,
  share: zod.number().positive(),
  priority: zod.int(),
  pieces: zod.number().min(0),
  /** Whether no other runner was asked for this request before. */
  isFirst: zod.boolean(),
  /** Whether the request may have crashed a runner. */
  isSuspect: zod.boolean().optional(),
  /** Target for the time between two tokens. */
  betweenTokensMs: duration,
  /** Longest wait for the turn that the request can bear. */
  startWithinMs: duration,
  /** Expected time from the turn to the end of the transfer, without a wait for the slot. */
  leadMs: duration,
});

/** What a node asks of a decode runner's allocator. */
export type LeaseRequest = zod.infer<typeof leaseRequest>;

const prefillRequest = zod.object({
  runner: text,
  id: requestId,
  attempt,
  /** Whether the request may have crashed a runner. */
  isSuspect: zod.boolean().optional(),
  tokens: zod.number().min(0),
  /** Evenly spaced prefixes of the prompt, shortest first, with the tokens that each covers. */
  prefixes: zod.array(zod.object({ hash: text, tokens: zod.number() })).max(MAX_PREFIXES),
  /** Longest wait until the prefill has ended. */
  endWithinMs: duration,
});

/** What a node asks of a prefill runner's allocator. */
export type PrefillRequest = zod.infer<typeof prefillRequest>;

const leaseId = zod.object({ runner: text, key, attempt });

/** Names a lease. */
export type LeaseId = zod.infer<typeof leaseId>;

const turn = zod.object({ turn: zod.boolean(), known: zod.boolean(), share: zod.boolean() });

/** Answer to a wait for a turn; `known` is false when the allocator has no such lease. */
export type Turn = zod.infer<typeof turn>;

const change = zod.object({
  runner: text,
  key,
  attempt,
  phase: phase.optional(),
  /** Prompt tokens that were computed and not cached. */
  tokens: zod.number().optional(),
});

/** A change of a lease; without `phase` it is released. */
export type LeaseChange = zod.infer<typeof change>;

const heldLease = zod.object({
  runner: text,
  id: requestId,
  attempt,
  caller: text,
  share: zod.number().positive(),
  priority: zod.int(),
  pieces: zod.number(),
  /** Prompt tokens to compute, of prefill leases; else 0. */
  tokens: zod.number(),
  phase,
  /** Time since the grant. */
  ageMs: duration,
});

/** A lease in full, as its holder tells it to an allocator that does not know it. */
export type HeldLease = zod.infer<typeof heldLease>;

const reportedLease = zod.object({ runner: text, key, attempt, phase });

/** A lease as its holder reports it each period. */
export type ReportedLease = zod.infer<typeof reportedLease>;

const runnerView = zod.object({
  runner: text,
  /** Expected wait for a turn. */
  waitMs: duration,
  /** Free slots, of decode runners. */
  free: zod.number(),
  /** Ratio of real to nominal prefill time, of prefill runners. */
  slowness: zod.number(),
  available: zod.boolean(),
  /** Mean gap between tokens, of decode runners. */
  gapMs: duration,
  /** Whether the allocator would let a request through although the runner is slow. */
  probeDue: zod.boolean(),
});

/** A runner's state as its allocator tells it to holders. */
export type RunnerView = zod.infer<typeof runnerView>;

const runnerGap = zod.object({ runner: text, gapMs: duration });

/** Mean gap between tokens at a runner, as a holder observed it since its last report. */
export type RunnerGap = zod.infer<typeof runnerGap>;

const leaseReport = zod.object({
  leases: zod.array(reportedLease).max(MAX_BATCH),
  gaps: zod.array(runnerGap).max(MAX_BATCH),
});

/** What a holder tells an allocator each period. */
export type LeaseReport = zod.infer<typeof leaseReport>;

const reportAnswer = zod.object({
  views: zod.array(runnerView),
  revoked: zod.array(leaseId),
  /** Leases to be told in full. */
  unknown: zod.array(leaseId),
});

/** What an allocator answers. */
export type ReportAnswer = zod.infer<typeof reportAnswer>;

/** Asks for a decode slot and pieces. */
export const LEASE_DECODE = network.createPeerCall(60, "leaseDecode", leaseRequest, answer);
/** Waits until a queued decode lease may start its prefill. */
export const WAIT_TURN = network.createPeerCall(61, "waitTurn", leaseId, turn);
/** Asks for prefill queue time. */
export const LEASE_PREFILL = network.createPeerCall(62, "leasePrefill", prefillRequest, answer);
/** Tells changes of leases. */
export const CHANGE_LEASES = network.createPeerCall(
  63,
  "changeLeases",
  zod.object({ changes: zod.array(change).max(MAX_BATCH) }),
  zod.object({}),
);
/** Tells everything that the sender holds of the receiver; answers with views and lost leases. */
export const REPORT_LEASES = network.createPeerCall(64, "reportLeases", leaseReport, reportAnswer);
/** Tells leases in full to an allocator that does not know them; answers with those it refuses. */
export const ADD_LEASES = network.createPeerCall(
  67,
  "addLeases",
  zod.object({ leases: zod.array(heldLease).max(MAX_BATCH) }),
  zod.object({ revoked: zod.array(leaseId) }),
);
/** Takes leases back from their holder. */
export const REVOKE_LEASES = network.createPeerCall(
  65,
  "revokeLeases",
  zod.object({ leases: zod.array(leaseId).max(MAX_BATCH) }),
  zod.object({}),
);
/** Tells that a newer attempt of a request exists. */
export const SUPERSEDE = network.createPeerCall(
  66,
  "supersede",
  zod.object({ id: requestId, attempt }),
  zod.object({}),
);

/** Asks for any answer: a refused connection proves that the peer's process has ended. */
export const CHECK_PROCESS = network.createPeerCall(
  68,
  "check-process",
  zod.object({}),
  zod.object({}),
);

/** Creates a grant. */
export function createGrant(turn: boolean, waitMs: number, workMs: number): Answer {
  return {
    granted: true,
    turn,
    waitMs: Math.ceil(waitMs),
    workMs: Math.ceil(workMs),
    retryAfterMs: 0,
  };
}

/** Creates a refusal. */
export function createRefusal(reason: Refusal, retryAfterMs: number): Answer {
  const retry = Math.ceil(retryAfterMs);
  return { granted: false, turn: false, waitMs: 0, workMs: 0, reason, retryAfterMs: retry };
}

/** Picks at most `MAX_PREFIXES` prefixes, whose lengths are multiples of a power of two. */
export function choosePrefixes(
  prefixes: readonly string[],
  promptTokens: number,
): PrefillRequest["prefixes"] {
  const blockTokens = Math.floor(promptTokens / Math.max(1, prefixes.length));
  const chosen: PrefillRequest["prefixes"] = [];
  const step = computeStep(prefixes.length);
  for (let end = step; end <= prefixes.length; end += step) {
    const hash = prefixes[end - 1];
    if (hash !== undefined) chosen.push({ hash, tokens: end * blockTokens });
  }
  return chosen;
}

/** Least power of two by which at most `MAX_PREFIXES` of `count` are chosen. */
function computeStep(count: number): number {
  let step = 1;
  while (count / step > MAX_PREFIXES) step *= 2;
  return step;
}
