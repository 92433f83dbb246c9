/** Table of the records of all known nodes, with the rules for merging received records. */
import type * as clocks from "../kernel/clock.js";
import * as records from "./member-record.js";
import type * as types from "./types.js";
import * as updateQueue from "./update-queue.js";

/** Size at which a new member replaces a dead one; if there is none, the new member is ignored. */
export const MAX_MEMBERS = 4096;
/** How long a dead member is retained; until then, nodes occasionally try a full sync with it. */
const DEAD_RETENTION_MS = 900_000;

interface Entry {
  readonly record: records.MemberRecord;
  /** Monotonic time of the last change of liveness or restart of the suspicion timeout. */
  readonly livenessSince: number;
}

/** Result of merging a record received from a peer. */
export const MERGE_RESULT = {
  applied: "applied",
  /** The record holds nothing new, or was ignored. */
  known: "known",
  /** It reports an alive member as suspect or dead, which a local probe has to verify. */
  accusation: "accusation",
} as const;

/** One of the values of `MERGE_RESULT`. */
export type MergeResult = (typeof MERGE_RESULT)[keyof typeof MERGE_RESULT];

/** Holds the records, the queue of updates to disseminate, and the change listeners. */
export class MemberTable {
  readonly #clock: clocks.Clock;
  readonly #localVm: string;
  readonly #entries = new Map<string, Entry>();
  readonly #queue = new updateQueue.UpdateQueue();
  readonly #listeners = new Set<(member: types.Member) => void>();
  #digest = 0;
  #changeCount = 0;

  constructor(local: records.MemberRecord, clock: clocks.Clock) {
    this.#clock = clock;
    this.#localVm = local.vm;
    this.#set(local);
  }

  get localRecord(): records.MemberRecord {
    return this.get(this.#localVm);
  }

  /** Hash of all records of members that are not dead; equal on nodes with equal views. */
  get digest(): number {
    return this.#digest;
  }

  /** Number of changes of any record so far. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** Whether every update was sent as often as the fleet size requires. */
  get isFullyDisseminated(): boolean {
    return this.#queue.empty;
  }

  get size(): number {
    return this.#entries.size;
  }

  find(vm: string): records.MemberRecord | undefined {
    return this.#entries.get(vm)?.record;
  }

  /** @throws when the VM is unknown. */
  get(vm: string): records.MemberRecord {
    const record = this.find(vm);
    if (record === undefined) throw new Error(`unknown member ${vm}`);
    return record;
  }

  list(): readonly records.MemberRecord[] {
    return [...this.#entries.values()].map((entry) => entry.record);
  }

  /** Returns all members other than the local node that are not dead. */
  listOthers(): readonly records.MemberRecord[] {
    return this.list().filter(
      (record) => record.vm !== this.#localVm && record.liveness !== records.LIVENESS.dead,
    );
  }

  listDead(): readonly records.MemberRecord[] {
    return this.list().filter((record) => record.liveness === records.LIVENESS.dead);
  }

  onChange(listener: (member: types.Member) => void): Disposable {
    this.#listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.#listeners.delete(listener);
      },
    };
  }

  /** Returns the updates to send next. */
  shiftUpdates(): records.MemberRecord[] {
    return this.#queue.shift().flatMap((vm) => this.find(vm) ?? []);
  }

  /**
   * Merges a record received from a peer. An accusation of an alive member is not applied: the
   * caller has to verify it.
   *
   * @param shouldDisseminate - whether to pass on the record of a member that was unknown; false
   *   for records from a full sync, which the other nodes have as well.
   */
  merge(received: records.MemberRecord, shouldDisseminate = true): MergeResult {
    if (received.vm === this.#localVm) return this.#mergeLocal(received);
    const known = this.find(received.vm);
    if (known === undefined) return this.#addNew(received, shouldDisseminate);
    const merged = records.mergeRecords(known, received);
    if (records.isSameRecord(merged, known)) return MERGE_RESULT.known;
    const isKnownAlive = known.liveness === records.LIVENESS.alive;
    if (isKnownAlive && merged.liveness !== records.LIVENESS.alive) return MERGE_RESULT.accusation;
    this.#apply(merged);
    return MERGE_RESULT.applied;
  }

  /** Applies the result of a local probe, unless a record newer than `seen` has arrived since. */
  markLiveness(seen: records.MemberRecord, liveness: records.MemberRecord["liveness"]): boolean {
    const known = this.find(seen.vm);
    const isOutdated = known === undefined || records.compareRecords(known, seen) > 0;
    if (isOutdated || known.liveness >= liveness) return false;
    this.#apply({ ...known, liveness });
    return true;
  }

  /** Marks a node as leaving; returns whether that changed its record. */
  markLeaving(vm: string): boolean {
    const known = this.find(vm);
    if (known === undefined || known.leaving) return false;
    const version = vm === this.#localVm ? known.version + 1 : known.version;
    this.#apply({ ...known, version, leaving: true });
    return true;
  }

  /** Marks members suspect for `suspicionTimeoutMs` as dead and removes long-dead members. */
  expire(suspicionTimeoutMs: number): void {
    const now = this.#clock.now();
    for (const { record, livenessSince: since } of [...this.#entries.values()]) {
      const ageMs = now - since;
      const isSuspect = record.liveness === records.LIVENESS.suspect;
      if (isSuspect && ageMs >= suspicionTimeoutMs)
        this.markLiveness(record, records.LIVENESS.dead);
      const isDead = record.liveness === records.LIVENESS.dead;
      if (isDead && ageMs >= DEAD_RETENTION_MS) this.#remove(record);
    }
  }

  /** Restarts the suspicion timeout of every suspect. */
  resetSuspicionTimers(): void {
    const since = this.#clock.now();
    for (const [vm, entry] of this.#entries) {
      const isSuspect = entry.record.liveness === records.LIVENESS.suspect;
      if (isSuspect) this.#entries.set(vm, { ...entry, livenessSince: since });
    }
  }

  /** Merges a record of the local node, which alone decides on its liveness and refutes others. */
  #mergeLocal(received: records.MemberRecord): MergeResult {
    const local = this.localRecord;
    if (received.incarnation !== local.incarnation) return MERGE_RESULT.known;
    const isAccused =
      received.liveness !== records.LIVENESS.alive || received.version > local.version;
    const leaving = local.leaving || received.leaving;
    const isChanged = leaving !== local.leaving || (isAccused && received.version >= local.version);
    if (!isChanged) return MERGE_RESULT.known;
    this.#apply({ ...local, leaving, version: Math.max(local.version, received.version) + 1 });
    return MERGE_RESULT.applied;
  }

  #addNew(received: records.MemberRecord, shouldDisseminate: boolean): MergeResult {
    if (received.liveness === records.LIVENESS.dead) return MERGE_RESULT.known;
    if (this.#entries.size >= MAX_MEMBERS) {
      const replaced = this.listDead()[0];
      if (replaced === undefined) return MERGE_RESULT.known;
      this.#remove(replaced);
    }
    this.#apply(received);
    if (!shouldDisseminate) this.#queue.remove(received.vm);
    return MERGE_RESULT.applied;
  }

  #apply(record: records.MemberRecord): void {
    const before = this.find(record.vm);
    this.#set(record);
    this.#queue.push(record.vm, this.#entries.size);
    const isVisible =
      before?.incarnation !== record.incarnation ||
      before.cores !== record.cores ||
      records.computeState(before) !== records.computeState(record);
    if (!isVisible) return;
    const member = records.createMember(record);
    for (const listener of [...this.#listeners]) listener(member);
  }

  #set(record: records.MemberRecord): void {
    this.#changeCount += 1;
    const before = this.#entries.get(record.vm);
    const isSameLiveness = before?.record.liveness === record.liveness;
    const since = isSameLiveness ? before.livenessSince : this.#clock.now();
    if (before !== undefined) this.#digest ^= records.computeRecordHash(before.record);
    this.#digest = (this.#digest ^ records.computeRecordHash(record)) >>> 0;
    this.#entries.set(record.vm, { record, livenessSince: since });
  }

  #remove(record: records.MemberRecord): void {
    this.#changeCount += 1;
    this.#digest = (this.#digest ^ records.computeRecordHash(record)) >>> 0;
    this.#entries.delete(record.vm);
    this.#queue.remove(record.vm);
  }
}
