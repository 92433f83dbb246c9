/** The records of all known nodes, and how new ones change them. */
import type * as clocks from "../kernel/clock.js";
import * as records from "./member-record.js";
import type * as types from "./types.js";
import * as updateQueue from "./update-queue.js";

/** Known members; at the limit a dead one is forgotten for a new one, else the new one refused. */
export const MAX_MEMBERS = 4096;
/** How long a dead member is remembered, and probed now and then. */
const DEAD_MEMORY_MS = 900_000;

interface Entry {
  readonly record: records.MemberRecord;
  /** Monotonic time at which the liveness took its value. */
  readonly since: number;
}

/** What became of a record that a peer told. */
export const MERGE_RESULT = {
  applied: "applied",
  /** Nothing new. */
  known: "known",
  /** It accuses a member held alive; to be checked by an own probe. */
  accusation: "accusation",
} as const;

/** One of the values of `MERGE_RESULT`. */
export type MergeResult = (typeof MERGE_RESULT)[keyof typeof MERGE_RESULT];

/** Keeps records, the queue of changes to tell, and the listeners. */
export class MemberTable {
  readonly #clock: clocks.Clock;
  readonly #ownVm: string;
  readonly #entries = new Map<string, Entry>();
  readonly #queue = new updateQueue.UpdateQueue();
  readonly #listeners = new Set<(member: types.Member) => void>();
  #digest = 0;

  constructor(own: records.MemberRecord, clock: clocks.Clock) {
    this.#clock = clock;
    this.#ownVm = own.vm;
    this.#set(own);
  }

  get own(): records.MemberRecord {
    return this.get(this.#ownVm);
  }

  /** Hash of all records of members that are not dead; equal in nodes that know the same. */
  get digest(): number {
    return this.#digest;
  }

  /** Whether all changes were told as often as is due. */
  get settled(): boolean {
    return this.#queue.empty;
  }

  get size(): number {
    return this.#entries.size;
  }

  find(vm: string): records.MemberRecord | undefined {
    return this.#entries.get(vm)?.record;
  }

  /** @throws when the VM is not known. */
  get(vm: string): records.MemberRecord {
    const record = this.find(vm);
    if (record === undefined) throw new Error(`no member ${vm}`);
    return record;
  }

  list(): readonly records.MemberRecord[] {
    return [...this.#entries.values()].map((entry) => entry.record);
  }

  /** Returns the others whose liveness is not dead. */
  listOthers(): readonly records.MemberRecord[] {
    return this.list().filter(
      (record) => record.vm !== this.#ownVm && record.liveness !== records.LIVENESS.dead,
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

  /** Returns the changes to tell next. */
  shiftUpdates(): records.MemberRecord[] {
    return this.#queue.shift().flatMap((vm) => this.find(vm) ?? []);
  }

  /**
   * Merges a record that a peer told; accusations of members held alive are left to be checked.
   *
   * @param isNews - whether a member not known before is to be told on; not so for those in a list
   *   of all, which others have too.
   */
  merge(told: records.MemberRecord, isNews = true): MergeResult {
    if (told.vm === this.#ownVm) return this.#mergeOwn(told);
    const known = this.find(told.vm);
    if (known === undefined) return this.#addNew(told, isNews);
    const merged = records.mergeRecords(known, told);
    if (records.isSameRecord(merged, known)) return MERGE_RESULT.known;
    const isHeldAlive = known.liveness === records.LIVENESS.alive;
    if (isHeldAlive && merged.liveness !== records.LIVENESS.alive) return MERGE_RESULT.accusation;
    this.#apply(merged);
    return MERGE_RESULT.applied;
  }

  /** Applies an own finding, unless a newer record came since `seen` was read. */
  markLiveness(seen: records.MemberRecord, liveness: records.MemberRecord["liveness"]): boolean {
    const known = this.find(seen.vm);
    const isOutdated = known === undefined || records.compareRecords(known, seen) > 0;
    if (isOutdated || known.liveness >= liveness) return false;
    this.#apply({ ...known, liveness });
    return true;
  }

  /** Marks a node as leaving; returns whether that is news. */
  markLeaving(vm: string): boolean {
    const known = this.find(vm);
    if (known === undefined || known.leaving) return false;
    const version = vm === this.#ownVm ? known.version + 1 : known.version;
    this.#apply({ ...known, version, leaving: true });
    return true;
  }

  /** Marks suspects of longer than `limitMs` as dead and forgets those long dead. */
  expire(limitMs: number): void {
    const now = this.#clock.now();
    for (const { record, since } of [...this.#entries.values()]) {
      const ageMs = now - since;
      const isSuspect = record.liveness === records.LIVENESS.suspect;
      if (isSuspect && ageMs >= limitMs) this.markLiveness(record, records.LIVENESS.dead);
      const isDead = record.liveness === records.LIVENESS.dead;
      if (isDead && ageMs >= DEAD_MEMORY_MS) this.#remove(record);
    }
  }

  /** Lets the time of all suspects begin anew. */
  renewSuspicions(): void {
    const since = this.#clock.now();
    for (const [vm, entry] of this.#entries) {
      const isSuspect = entry.record.liveness === records.LIVENESS.suspect;
      if (isSuspect) this.#entries.set(vm, { ...entry, since });
    }
  }

  /** The own node alone says how alive it is; it refutes what differs. */
  #mergeOwn(told: records.MemberRecord): MergeResult {
    const own = this.own;
    if (told.incarnation !== own.incarnation) return MERGE_RESULT.known;
    const isAccused = told.liveness !== records.LIVENESS.alive || told.version > own.version;
    const leaving = own.leaving || told.leaving;
    const isNews = leaving !== own.leaving || (isAccused && told.version >= own.version);
    if (!isNews) return MERGE_RESULT.known;
    this.#apply({ ...own, leaving, version: Math.max(own.version, told.version) + 1 });
    return MERGE_RESULT.applied;
  }

  #addNew(told: records.MemberRecord, isNews: boolean): MergeResult {
    if (told.liveness === records.LIVENESS.dead) return MERGE_RESULT.known;
    if (this.#entries.size >= MAX_MEMBERS) {
      const forgotten = this.listDead()[0];
      if (forgotten === undefined) return MERGE_RESULT.known;
      this.#remove(forgotten);
    }
    this.#apply(told);
    if (!isNews) this.#queue.remove(told.vm);
    return MERGE_RESULT.applied;
  }

  #apply(record: records.MemberRecord): void {
    const before = this.find(record.vm);
    this.#set(record);
    this.#queue.push(record.vm, this.#entries.size);
    const isVisible =
      before?.incarnation !== record.incarnation ||
      records.computeState(before) !== records.computeState(record);
    if (!isVisible) return;
    const member = records.createMember(record);
    for (const listener of [...this.#listeners]) listener(member);
  }

  #set(record: records.MemberRecord): void {
    const before = this.#entries.get(record.vm);
    const isUnchanged = before?.record.liveness === record.liveness;
    const since = isUnchanged ? before.since : this.#clock.now();
    if (before !== undefined) this.#digest ^= records.computeRecordHash(before.record);
    this.#digest = (this.#digest ^ records.computeRecordHash(record)) >>> 0;
    this.#entries.set(record.vm, { record, since });
  }

  #remove(record: records.MemberRecord): void {
    this.#digest = (this.#digest ^ records.computeRecordHash(record)) >>> 0;
    this.#entries.delete(record.vm);
    this.#queue.remove(record.vm);
  }
}
