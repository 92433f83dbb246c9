/**
 * The backup's records: the one place where the owner of a request and everyone else meet. The
 * first record of an id wins.
 */
import type * as container from "../kernel/container.js";
import type * as sessions from "../caller/types.js";
import type * as network from "../protocol/network.js";
import * as records from "./expiring-records.js";
import * as messages from "./messages.js";
import * as outcomes from "./outcome.js";

/** Limits of the backup's memory: at either, new intents are refused and nothing is evicted. */
export const BACKUP_LIMITS: records.RecordLimits = {
  maxRecords: 200_000,
  maxBytes: 128 * 1024 * 1024,
};
const RECORD_BYTES = 256;

interface IntentRecord {
  readonly owner: sessions.NodeRef | undefined;
  /** Absent while only the intent is known. */
  readonly outcome: outcomes.Outcome | undefined;
}

type IntentReply = (typeof messages.INTENT_REPLY)[keyof typeof messages.INTENT_REPLY];

/** What the backup answers to a question about a request. */
export interface ResolveResult {
  readonly reply: (typeof messages.RESOLVE_REPLY)[keyof typeof messages.RESOLVE_REPLY];
  readonly outcome?: outcomes.Outcome;
}

const REPLY_BY_ADMISSION = {
  [records.ADMISSION.granted]: messages.INTENT_REPLY.accepted,
  [records.ADMISSION.expired]: messages.INTENT_REPLY.expired,
  [records.ADMISSION.full]: messages.INTENT_REPLY.full,
} as const;

/** Intents, results and tombstones of requests whose ids name this node as their backup. */
export class BackupRecords {
  readonly #records: records.ExpiringRecords<IntentRecord>;
  readonly #incarnation: number;

  constructor(kernel: container.Kernel, limits: records.RecordLimits = BACKUP_LIMITS) {
    this.#records = new records.ExpiringRecords(kernel.use("clock"), limits);
    this.#incarnation = kernel.use("membership").self.incarnation;
  }

  /** Number of records, for status. */
  get size(): number {
    return this.#records.size;
  }

  /** Records the owner's intent unless there is a record already. */
  handleIntent(ref: messages.RecordRef, owner: sessions.NodeRef): IntentReply {
    if (ref.incarnation !== this.#incarnation) return messages.INTENT_REPLY.otherIncarnation;
    const existing = this.#records.find(ref.key);
    if (existing) {
      const { tombstoned, exists } = messages.INTENT_REPLY;
      return existing.owner === undefined ? tombstoned : exists;
    }
    const admission = this.#records.checkAdmission(ref.expiresAt);
    if (admission === records.ADMISSION.granted) {
      const { vm, incarnation } = owner;
      const record = { owner: { vm, incarnation }, outcome: undefined };
      this.#records.set(ref.key, record, ref.expiresAt, RECORD_BYTES);
    }
    return REPLY_BY_ADMISSION[admission];
  }

  /** Records the outcome of a request of which `owner` recorded the intent. */
  handleResult(
    ref: messages.RecordRef,
    outcome: outcomes.Outcome,
    owner: sessions.NodeRef,
  ): boolean {
    const existing = this.#records.find(ref.key);
    const isOwner =
      existing?.owner?.vm === owner.vm && existing.owner.incarnation === owner.incarnation;
    if (!isOwner || existing.outcome !== undefined) return false;
    const kept = outcomes.createStoredOutcome(outcome, (bytes) => this.#records.hasRoom(bytes));
    const record = { owner: existing.owner, outcome: kept };
    const keptBytes = RECORD_BYTES + outcomes.estimateOutcomeBytes(kept);
    this.#records.set(ref.key, record, ref.expiresAt, keptBytes);
    return true;
  }

  /** Tells what became of a request; writes a tombstone when it has no record. */
  handleResolve(ref: messages.RecordRef): ResolveResult {
    const { result, intentOnly, tombstoned, unknown } = messages.RESOLVE_REPLY;
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

  /** Without room, or after the expiry, the refusal of any later intent stands for the tombstone. */
  #recordTombstone(ref: messages.RecordRef): void {
    if (this.#records.checkAdmission(ref.expiresAt) !== records.ADMISSION.granted) return;
    const tombstone = { owner: undefined, outcome: undefined };
    this.#records.set(ref.key, tombstone, ref.expiresAt, RECORD_BYTES);
  }
}

/**
 * Creates the backup's records and registers their peer calls.
 *
 * @example const records = createBackupRecords(kernel);
 */
export function createBackupRecords(
  kernel: container.Kernel,
  limits?: records.RecordLimits,
): BackupRecords {
  const backup = new BackupRecords(kernel, limits);
  const peers = kernel.use("network");
  peers.onCall(messages.INTENT, (ref, from: network.PeerIdentity) => ({
    reply: backup.handleIntent(ref, from),
  }));
  peers.onCall(messages.RESULT, ({ outcome, ...ref }, from: network.PeerIdentity) => ({
    recorded: backup.handleResult(ref, outcome, from),
  }));
  peers.onCall(messages.RESOLVE, (ref) => backup.handleResolve(ref));
  return backup;
}
