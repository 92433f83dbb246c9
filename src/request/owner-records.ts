/** Records of the requests that this node owns: one run per id, which duplicates join or replay. */
import type * as container from "../kernel/container.js";
import type * as sessions from "../caller/types.js";
import * as records from "./expiring-records.js";
import * as outcomes from "./outcome.js";

/** Memory limits of the owner. At either, new requests are refused; nothing is evicted. */
export const OWNER_LIMITS: records.RecordLimits = {
  maxRecords: 200_000,
  maxBytes: 128 * 1024 * 1024,
};
const RECORD_OVERHEAD_BYTES = 256;

/** Returns the key of a request's record, which is unique in the fleet. */
export function createRecordKey(id: sessions.RequestId): string {
  return `${id.session.nonce}.${id.sequence}`;
}

/** Runs and their outcomes by request. */
export class OwnerRecords {
  readonly #records: records.ExpiringRecords<Promise<outcomes.Outcome>>;

  constructor(kernel: container.Kernel, limits: records.RecordLimits = OWNER_LIMITS) {
    this.#records = new records.ExpiringRecords(kernel.use("clock"), limits);
  }

  /** Number of records, for status. */
  get size(): number {
    return this.#records.size;
  }

  /** Returns the outcome of a request's run, finished or in progress. */
  find(id: sessions.RequestId): Promise<outcomes.Outcome> | undefined {
    return this.#records.find(createRecordKey(id));
  }

  /** Whether the id is past its expiry. */
  isExpired(id: sessions.RequestId): boolean {
    return this.#records.isExpired(id.session.expiresAt);
  }

  /** Whether a record of the id may have been evicted. */
  isPastRetention(id: sessions.RequestId): boolean {
    return this.#records.isPastRetention(id.session.expiresAt);
  }

  /** Checks whether a run may be added. A refusal is permanent. */
  checkAdmission(id: sessions.RequestId): records.Admission {
    return this.#records.checkAdmission(id.session.expiresAt);
  }

  /** Adds the only run of a request. `running` must never reject. */
  add(id: sessions.RequestId, running: Promise<outcomes.Outcome>): void {
    const key = createRecordKey(id);
    const { expiresAt } = id.session;
    this.#records.set(key, running, expiresAt, RECORD_OVERHEAD_BYTES);
    void running.then((outcome) => {
      const storedOutcome = outcomes.createStoredOutcome(outcome, (bytes) =>
        this.#records.hasRoom(bytes),
      );
      const storedBytes = RECORD_OVERHEAD_BYTES + outcomes.estimateOutcomeBytes(storedOutcome);
      this.#records.set(key, Promise.resolve(storedOutcome), expiresAt, storedBytes);
    });
  }
}
