/**
 * Records of requests whose ids name this node as their backup. The owner of a request and all
 * other nodes consult the same records; the first record of an id wins.
 */
import type * as kernels from "../kernel/container.js";
import type * as callerTypes from "../caller/types.js";
import type * as network from "../protocol/network.js";
import * as records from "./expiring-records.js";
import * as plainMessages from "./plain-messages.js";
import * as outcomes from "./outcome.js";

/**
 * Memory limits of the backup. While one of them is reached, new intents are refused. A record is
 * evicted only after its id has expired.
 */
export const BACKUP_LIMITS: records.RecordLimits = {
  maxRecords: 200_000,
  maxBytes: 128 * 1024 * 1024,
};
/** Estimated memory use of a record without its outcome. */
const RECORD_OVERHEAD_BYTES = 256;

/** Intent, result or tombstone of a request. */
interface BackupRecord {
  /** `undefined` in a tombstone. */
  readonly owner: callerTypes.NodeRef | undefined;
  /** `undefined` in a tombstone, and while only the intent is recorded. */
  readonly outcome: outcomes.Outcome | undefined;
}

type IntentReply = (typeof plainMessages.INTENT_REPLY)[keyof typeof plainMessages.INTENT_REPLY];

/** The backup's reply to an outcome query. */
export interface ResolveResult {
  readonly reply: (typeof plainMessages.RESOLVE_REPLY)[keyof typeof plainMessages.RESOLVE_REPLY];
  readonly outcome?: outcomes.Outcome;
}

const REPLY_BY_ADMISSION = {
  [records.ADMISSION.granted]: plainMessages.INTENT_REPLY.accepted,
  [records.ADMISSION.expired]: plainMessages.INTENT_REPLY.expired,
  [records.ADMISSION.full]: plainMessages.INTENT_REPLY.full,
} as const;

/** Intents, results and tombstones of requests whose ids name this node as their backup. */
export class BackupRecords {
  readonly #records: records.ExpiringRecords<BackupRecord>;
  readonly #incarnation: number;

  constructor(kernel: kernels.Kernel, limits: records.RecordLimits = BACKUP_LIMITS) {
    this.#records = new records.ExpiringRecords(kernel.use("clock"), limits);
    this.#incarnation = kernel.use("membership").self.incarnation;
  }

  /** Number of records. */
  get size(): number {
    return this.#records.size;
  }

  /** Records the owner's intent unless the id already has a record. */
  handleIntent(ref: plainMessages.RecordRef, owner: callerTypes.NodeRef): IntentReply {
    if (ref.incarnation !== this.#incarnation) return plainMessages.INTENT_REPLY.otherIncarnation;
    const existing = this.#records.find(ref.key);
    if (existing) {
      const { tombstoned, exists } = plainMessages.INTENT_REPLY;
      return existing.owner === undefined ? tombstoned : exists;
    }
    const admission = this.#records.checkAdmission(ref.expiresAt);
    if (admission === records.ADMISSION.granted) {
      const { vm, incarnation } = owner;
      const record = { owner: { vm, incarnation }, outcome: undefined };
      this.#records.set(ref.key, record, ref.expiresAt, RECORD_OVERHEAD_BYTES);
    }
    return REPLY_BY_ADMISSION[admission];
  }

  /**
   * Records the outcome of a request, if `owner` recorded its intent and it has no outcome yet.
   *
   * @returns whether the outcome was recorded.
   */
  handleResult(
    ref: plainMessages.RecordRef,
    outcome: outcomes.Outcome,
    owner: callerTypes.NodeRef,
  ): boolean {
    const existing = this.#records.find(ref.key);
    const isOwner =
      existing?.owner?.vm === owner.vm && existing.owner.incarnation === owner.incarnation;
    if (!isOwner || existing.outcome !== undefined) return false;
    const storedOutcome = outcomes.createStoredOutcome(outcome, (bytes) =>
      this.#records.hasRoom(bytes),
    );
    const record = { owner: existing.owner, outcome: storedOutcome };
    const storedBytes = RECORD_OVERHEAD_BYTES + outcomes.estimateOutcomeBytes(storedOutcome);
    this.#records.set(ref.key, record, ref.expiresAt, storedBytes);
    return true;
  }

  /** Returns what is recorded of a request; records a tombstone when nothing is. */
  handleResolve(ref: plainMessages.RecordRef): ResolveResult {
    const { result, intentOnly, tombstoned, unknown } = plainMessages.RESOLVE_REPLY;
    if (ref.incarnation !== this.#incarnation) return { reply: unknown };
    const existing = this.#records.find(ref.key);
    if (existing) {
      if (existing.owner === undefined) return { reply: tombstoned };
      if (existing.outcome === undefined) return { reply: intentOnly };
      return { reply: result, outcome: existing.outcome };
    }
    if (this.#records.isPastRetention(ref.expiresAt)) return { reply: unknown };
    this.#recordTombstone(ref);
    return { reply: tombstoned };
  }

  /** Without room or after expiry no tombstone is needed: a later intent is refused anyway. */
  #recordTombstone(ref: plainMessages.RecordRef): void {
    if (this.#records.checkAdmission(ref.expiresAt) !== records.ADMISSION.granted) return;
    const tombstone = { owner: undefined, outcome: undefined };
    this.#records.set(ref.key, tombstone, ref.expiresAt, RECORD_OVERHEAD_BYTES);
  }
}

/**
 * Creates the backup's records and registers their peer calls.
 *
 * @example const records = createBackupRecords(kernel);
 */
export function createBackupRecords(
  kernel: kernels.Kernel,
  limits?: records.RecordLimits,
): BackupRecords {
  const backup = new BackupRecords(kernel, limits);
  const peers = kernel.use("network");
  peers.onCall(plainMessages.INTENT, (ref, from: network.PeerIdentity) => ({
    reply: backup.handleIntent(ref, from),
  }));
  peers.onCall(plainMessages.RESULT, ({ outcome, ...ref }, from: network.PeerIdentity) => ({
    recorded: backup.handleResult(ref, outcome, from),
  }));
  peers.onCall(plainMessages.RESOLVE, (ref) => backup.handleResolve(ref));
  return backup;
}
