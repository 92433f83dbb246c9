/** A bounded map of records by request id. No record is evicted before its id expires. */
import type * as clocks from "../kernel/clock.js";

/** How long a record outlasts the expiry of its id, to allow for clock skew between nodes. */
export const CLOCK_SKEW_MARGIN_MS = 60_000;
/** Minimum time between two scans for records to evict. */
const SWEEP_INTERVAL_MS = 1000;

/** Whether a new record may be added. */
export const ADMISSION = {
  granted: "granted",
  /** The id is past its expiry, permanently. */
  expired: "expired",
  /** No room. Ids that expire no later stay refused, so that a refused id never runs. */
  full: "full",
} as const;

/** One of the values of `ADMISSION`. */
export type Admission = (typeof ADMISSION)[keyof typeof ADMISSION];

/** Limits of a map of records. */
export interface RecordLimits {
  readonly maxRecords: number;
  readonly maxBytes: number;
}

interface Entry<Value> {
  value: Value;
  bytes: number;
  readonly expiresAt: number;
}

/** Records by key, bounded in number and bytes, until some time after the expiry of their ids. */
export class ExpiringRecords<Value> {
  readonly #clock: clocks.Clock;
  readonly #limits: RecordLimits;
  readonly #entries = new Map<string, Entry<Value>>();
  #bytes = 0;
  #latestWallTime = 0;
  #maxRefusedExpiry = 0;
  #nextSweepAt = 0;

  constructor(clock: clocks.Clock, limits: RecordLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Number of records. */
  get size(): number {
    return this.#entries.size;
  }

  /** Returns the record of a key. */
  find(key: string): Value | undefined {
    return this.#entries.get(key)?.value;
  }

  /** Whether an id is past its expiry, by a clock that never goes back. */
  isExpired(expiresAt: number): boolean {
    return this.#getMonotonicWallTime() >= expiresAt;
  }

  /** Whether records of an id may have been evicted, so that a missing record proves nothing. */
  isPastRetention(expiresAt: number): boolean {
    return this.isExpired(expiresAt + CLOCK_SKEW_MARGIN_MS);
  }

  /**
   * Checks whether a record of an id with this expiry may be added. A refusal is permanent; `full`
   * also refuses, from now on, ids that expire no later.
   */
  checkAdmission(expiresAt: number): Admission {
    if (this.isExpired(expiresAt)) return ADMISSION.expired;
    if (expiresAt <= this.#maxRefusedExpiry) return ADMISSION.full;
    if (this.#isFull()) {
      this.refuseExpiringBy(expiresAt);
      return ADMISSION.full;
    }
    return ADMISSION.granted;
  }

  /** Refuses, permanently, records of ids that expire at `expiresAt` or earlier. */
  refuseExpiringBy(expiresAt: number): void {
    this.#maxRefusedExpiry = Math.max(this.#maxRefusedExpiry, expiresAt);
  }

  /** Adds a record, or replaces one and keeps its expiry. */
  set(key: string, value: Value, expiresAt: number, bytes: number): void {
    const previous = this.#entries.get(key);
    this.#bytes += bytes - (previous?.bytes ?? 0);
    this.#entries.set(key, { value, bytes, expiresAt: previous?.expiresAt ?? expiresAt });
  }

  /** Whether `bytes` more fit into the memory limit. */
  hasRoom(bytes: number): boolean {
    return this.#bytes + bytes <= this.#limits.maxBytes;
  }

  #isFull(): boolean {
    this.#removeExpired();
    return this.#entries.size >= this.#limits.maxRecords || this.#bytes >= this.#limits.maxBytes;
  }

  #removeExpired(): void {
    const now = this.#clock.now();
    if (now < this.#nextSweepAt) return;
    this.#nextSweepAt = now + SWEEP_INTERVAL_MS;
    for (const [key, entry] of this.#entries) {
      if (!this.isPastRetention(entry.expiresAt)) continue;
      this.#entries.delete(key);
      this.#bytes -= entry.bytes;
    }
  }

  /** The highest reading so far: an expired id stays expired when the clock is set back. */
  #getMonotonicWallTime(): number {
    this.#latestWallTime = Math.max(this.#latestWallTime, this.#clock.wallTime());
    return this.#latestWallTime;
  }
}
