/** Calls to the backup node that a request id names: intents, results and outcome queries. */
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import type * as callerTypes from "../caller/types.js";
import * as network from "../protocol/network.js";
import * as codes from "../protocol/result-codes.js";
import * as plainMessages from "./plain-messages.js";
import * as outcomes from "./outcome.js";
import * as ownerRecords from "./owner-records.js";

const INTENT_TIMEOUT_MS = 1000;
const RESULT_TIMEOUT_MS = 1000;
const RESULT_RETRY_DELAY_MS = 1000;
const MAX_RESULT_ATTEMPTS = 3;
const RESOLVE_TIMEOUT_MS = 1000;
const RETRY_AFTER_MS = 1000;

const { accepted, exists, expired, full, otherIncarnation, tombstoned } =
  plainMessages.INTENT_REPLY;
const { RAN, RESULT_CODES } = codes;
const UNKNOWN = outcomes.createRefusal(RESULT_CODES.outcomeUnknown, RAN.unknown);
const REFUSED_BY_RECORD = outcomes.createRefusal(RESULT_CODES.refusedByRecord, RAN.no);

/** Refusal of the request for each reply of the backup other than `accepted`. */
const REFUSAL_BY_REPLY = {
  [tombstoned]: REFUSED_BY_RECORD,
  [exists]: UNKNOWN,
  [full]: outcomes.createRefusal(RESULT_CODES.recordsFull, RAN.no, {
    retryAfterMs: RETRY_AFTER_MS,
  }),
  [expired]: outcomes.createRefusal(RESULT_CODES.sessionExpired, RAN.no),
  [otherIncarnation]: outcomes.createRefusal(RESULT_CODES.backupUnreachable, RAN.no),
} as const;

/** Calls to the backups of requests. */
export class BackupClient {
  readonly #clock: clocks.Clock;
  readonly #peers: network.PeerNetwork;

  constructor(kernel: kernels.Kernel) {
    this.#clock = kernel.use("clock");
    this.#peers = kernel.use("network");
  }

  /**
   * Asks the backup for permission to run a request. Only the owner may ask, once for each id.
   *
   * @returns `undefined` when permission was granted, else the refusal of the request. A fleet of
   * one node has no backup and needs no permission.
   */
  async sendIntent(
    id: callerTypes.RequestId,
    remainingMs: number,
  ): Promise<outcomes.Outcome | undefined> {
    const { backup } = id.session;
    if (!backup) return undefined;
    const options = {
      timeoutMs: Math.min(INTENT_TIMEOUT_MS, remainingMs),
      incarnation: backup.incarnation,
    };
    try {
      const ref = createRecordRef(id, backup);
      const { reply } = await this.#peers.call(backup.vm, plainMessages.INTENT, ref, options);
      return reply === accepted ? undefined : REFUSAL_BY_REPLY[reply];
    } catch {
      // An unreachable backup is handled like one that has restarted.
      return REFUSAL_BY_REPLY[otherIncarnation];
    }
  }

  /**
   * Stores the outcome at the backup, in up to three attempts. If all fail, other nodes answer
   * `unknown`, which is still a correct answer.
   */
  async sendResult(id: callerTypes.RequestId, outcome: outcomes.Outcome): Promise<void> {
    const { backup } = id.session;
    if (!backup) return;
    const storedOutcome = outcomes.createStoredOutcome(outcome, () => true);
    const request = { ...createRecordRef(id, backup), outcome: storedOutcome };
    const options = { timeoutMs: RESULT_TIMEOUT_MS, incarnation: backup.incarnation };
    for (let attempts = 0; attempts < MAX_RESULT_ATTEMPTS; attempts += 1) {
      try {
        await this.#peers.call(backup.vm, plainMessages.RESULT, request, options);
        return;
      } catch (error) {
        if (isBackupGone(error)) return;
        await clocks.sleep(this.#clock, RESULT_RETRY_DELAY_MS);
      }
    }
  }

  /**
   * Returns the outcome of a request whose owner cannot be reached. A request without an intent is
   * given a tombstone, so that it never runs.
   */
  async readOutcome(id: callerTypes.RequestId): Promise<outcomes.Outcome> {
    const { backup } = id.session;
    if (!backup) return UNKNOWN;
    const options = { timeoutMs: RESOLVE_TIMEOUT_MS, incarnation: backup.incarnation };
    try {
      const ref = createRecordRef(id, backup);
      const { reply, outcome } = await this.#peers.call(
        backup.vm,
        plainMessages.RESOLVE,
        ref,
        options,
      );
      if (reply === plainMessages.RESOLVE_REPLY.tombstoned) return REFUSED_BY_RECORD;
      return outcome ?? UNKNOWN;
    } catch {
      return UNKNOWN;
    }
  }
}

function createRecordRef(
  id: callerTypes.RequestId,
  backup: callerTypes.NodeRef,
): plainMessages.RecordRef {
  return {
    key: ownerRecords.createRecordKey(id),
    expiresAt: id.session.expiresAt,
    incarnation: backup.incarnation,
  };
}

function isBackupGone(error: unknown): boolean {
  return error instanceof network.PeerCallError && error.failure === network.CALL_FAILURE.gone;
}
