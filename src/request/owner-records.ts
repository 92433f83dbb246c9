/**
 * Records of the requests that this node owns. Each id runs at most once; duplicates wait for that
 * run or receive its recorded outcome.
 */
import type * as kernels from "../kernel/container.js";
import type * as callerTypes from "../caller/types.js";
import * as records from "./expiring-records.js";
import * as outcomes from "./outcome.js";

/**
 * Memory limits of the owner. While one of them is reached, new requests are refused. A record is
 * evicted only after its id has expired.
 */
export const OWNER_LIMITS: records.RecordLimits = {
  maxRecords: 200_000,
  maxBytes: 128 * 1024 * 1024,
};
/** Estimated memory use of a record without its outcome. */
const RECORD_OVERHEAD_BYTES = 256;

/** Returns the key of a request's record, which is unique in the fleet. */
export function createRecordKey(id: callerTypes.RequestId): string {
  return `${id.session.nonce}.${id.sequence}`;
}

/** The run of each request by id, as a promise of its outcome. */
export class OwnerRecords {
  readonly #records: records.ExpiringRecords<Promise<outcomes.Outcome>>;

  constructor(kernel: kernels.Kernel, limits: records.RecordLimits = OWNER_LIMITS) {
    this.#records = new records.ExpiringRecords(kernel.use("clock"), limits);
  }

  /** Number of records. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Returns the outcome of the request's run, which may be in progress; `undefined` without a run.
   */
  find(id: callerTypes.RequestId): Promise<outcomes.Outcome> | undefined {
    return this.#records.find(createRecordKey(id));
  }

  /** Whether the id is past its expiry. */
  isExpired(id: callerTypes.RequestId): boolean {
    return this.#records.isExpired(id.session.expiresAt);
  }

  /** Whether a record of the id may have been evicted. */
  isPastRetention(id: callerTypes.RequestId): boolean {
    return this.#records.isPastRetention(id.session.expiresAt);
  }

  /**
   * Checks whether a run may be added. A refusal is permanent; `full` also refuses, from now on,
   * every new id that expires no later than this one.
   */
  checkAdmission(id: callerTypes.RequestId): records.Admission {
    return this.#records.checkAdmission(id.session.expiresAt);
  }

  /**
   * Adds the only run of a request. When it ends, its outcome is stored, if that fits.
   *
   * @param outcomePromise - must not reject, because nothing would handle the rejection.
   */
  add(id: callerTypes.RequestId, outcomePromise: Promise<outcomes.Outcome>): void {
    const key = createRecordKey(id);
    const { expiresAt } = id.session;
    this.#records.set(key, outcomePromise, expiresAt, RECORD_OVERHEAD_BYTES);
    void outcomePromise.then((outcome) => {
      const storedOutcome = outcomes.createStoredOutcome(outcome, (bytes) =>
        this.#records.hasRoom(bytes),
      );
      const storedBytes = RECORD_OVERHEAD_BYTES + outcomes.estimateOutcomeBytes(storedOutcome);
      this.#records.set(key, Promise.resolve(storedOutcome), expiresAt, storedBytes);
    });
  }
}
