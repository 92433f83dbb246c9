/**
 * Local copy of the items of one registry. Only newer revisions change it, and revisions of a newer epoch are newer than all of
 * an older one.
 */
import * as util from "node:util";
import type * as clocks from "../kernel/clock.js";
import * as rendezvous from "../membership/rendezvous.js";
import * as epochs from "./epochs.js";
import * as types from "./types.js";

/**
 * Time for which missing keys are kept after an outage: the platform guarantees that entries which
 * expired during the outage are rewritten within this time.
 */
export const EXPIRY_GRACE_MS = 2_000;
/** Time for which a peer's snapshot cannot bring back a removed item; peers learn of the removal in less. */
const REMOVAL_MEMORY_MS = 30_000;
/**
 * Time for which an entry that was removed is not used when a restored copy lists it again. The platform removes the entry of a
 * runner that is gone in less; that of one that is alive is written again.
 */
const RESTORED_HOLD_MS = 10_000;

const PEER_PATHS: ReadonlySet<types.ChangePath> = new Set([
  types.CHANGE_PATH.pull,
  types.CHANGE_PATH.push,
]);

/**
 * Receives the new value of a key, or `undefined` when the key was removed or its value cannot be parsed, with the revision of
 * the item that was set or removed.
 */
export type ChangeListener<Value> = (
  key: string,
  value: Value | undefined,
  revision: number,
) => void;

/** Called when the view reaches a newer epoch or part of one, with the way by which it learned of it. */
export type EpochListener = (path: types.ChangePath) => void;

interface HeldBackItem<Value> {
  readonly item: types.RegistryItem<Value>;
  readonly endsAt: number;
}

interface RemovedItem<Value> {
  readonly revision: number;
  readonly value: Value | undefined;
  readonly endsAt: number;
}

/** Stores the newest known item of each key. */
export class RegistryView<Value> {
  readonly #clock: clocks.Clock;
  readonly #items = new Map<string, types.RegistryItem<Value>>();
  /** Keys missing after an outage, with the time at which they are removed. */
  readonly #expiring = new Map<string, number>();
  /** Items that were removed lately, by key. */
  readonly #removed = new Map<string, RemovedItem<Value>>();
  /** Items of a restored copy that had been removed before, with the time until which they are not used. */
  readonly #heldBack = new Map<string, HeldBackItem<Value>>();
  /** Keys whose values peers parsed, which may be of an earlier version. */
  readonly #fromPeers = new Set<string>();
  /** Keys of items that were last written in an older epoch. */
  readonly #fromOlderEpoch = new Set<string>();
  readonly #listeners: ChangeListener<Value>[] = [];
  readonly #epochListeners: EpochListener[] = [];
  readonly #restorePolicy: types.RestorePolicy<Value>;
  #epoch: types.RegistryEpoch = 0;
  #rewinds = 0;
  #revision = 0;
  #newestRevision = 0;
  #digest = 0;
  #graceEndsAt = 0;
  #continuousSince: number | undefined;
  #changePath: types.ChangePath = types.CHANGE_PATH.read;

  /** @param restorePolicy - without it, what a restored copy shows replaces what was known. */
  constructor(clock: clocks.Clock, restorePolicy?: types.RestorePolicy<Value>) {
    this.#clock = clock;
    this.#restorePolicy = restorePolicy ?? {
      chooseValue: (_known, restored) => restored,
      isSameInstance: () => false,
    };
  }

  /** Epoch of all revisions in this view. */
  get epoch(): types.RegistryEpoch {
    return this.#epoch;
  }

  /** How often the platform was found to have gone back without a newer epoch. */
  get rewinds(): number {
    return this.#rewinds;
  }

  /** Platform revision that the view reflects; 0 before the first snapshot. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Revision of the newest change in this view. VMs compare this one, because most platform revisions
   * do not affect the view.
   */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** Hash of the keys and revisions of all items; equal in views with equal items. */
  get digest(): number {
    return this.#digest;
  }

  /** How the latest change reached the view; listeners may read it. */
  get changePath(): types.ChangePath {
    return this.#changePath;
  }

  /** Monotonic time since which no change was missed; `undefined` while changes may be. */
  get continuousSince(): number | undefined {
    return this.#continuousSince;
  }

  list(): readonly types.RegistryItem<Value>[] {
    return [...this.#items.values()];
  }

  onChange(listener: ChangeListener<Value>): void {
    this.#listeners.push(listener);
  }

  onEpoch(listener: EpochListener): void {
    this.#epochListeners.push(listener);
  }

  /** Records that no change is missed from now on. */
  startContinuity(): void {
    this.#continuousSince = this.#clock.now();
  }

  /** Records that changes may have been missed until now, but not from now on. */
  resetContinuity(): void {
    this.setContinuityLimit(0);
  }

  /** Records that changes before the last `continuousMs` may have been missed; all, if it is `undefined`. */
  setContinuityLimit(continuousMs: number | undefined): void {
    if (continuousMs === undefined) this.markGap();
    if (continuousMs === undefined || this.#continuousSince === undefined) return;
    this.#continuousSince = Math.max(this.#continuousSince, this.#clock.now() - continuousMs);
  }

  /** Returns how long no change was missed; `undefined` while changes may be. */
  computeContinuousTime(): number | undefined {
    const since = this.#continuousSince;
    return since === undefined ? undefined : this.#clock.now() - since;
  }

  /** Records that changes may be missed. */
  markGap(): void {
    this.#continuousSince = undefined;
  }

  /** Starts the grace period after a platform outage, during which entries may have expired. */
  startGracePeriod(): void {
    this.#graceEndsAt = this.#clock.now() + EXPIRY_GRACE_MS;
  }

  /**
   * Applies a full snapshot unless the view reflects a newer epoch or, in the same epoch, a newer platform revision; returns
   * whether it was applied.
   */
  applySnapshot(
    snapshot: types.RegistrySnapshot<Value>,
    path: types.ChangePath = types.CHANGE_PATH.read,
  ): boolean {
    const order = epochs.compareEpochs(snapshot, this);
    if (order < 0 || (order === 0 && snapshot.revision < this.#revision)) return false;
    this.#changePath = path;
    const restoredKeys = order > 0 ? this.#startEpoch(snapshot) : new Set<string>();
    this.#revision = snapshot.revision;
    this.resetContinuity();
    const present = new Set(snapshot.items.map((item) => item.key));
    if (!PEER_PATHS.has(path))
      for (const key of [...this.#heldBack.keys()])
        if (!present.has(key)) this.#heldBack.delete(key);
    for (const item of snapshot.items) {
      if (restoredKeys.has(item.key)) this.#markHeldBack(item);
      this.#setItem(item);
    }
    for (const key of [...this.#items.keys()]) {
      // The snapshot says nothing of an item that is newer, which a peer pushed.
      const isJudged = this.isNewer(key, snapshot.revision + 1);
      if (!present.has(key) && isJudged) this.#removeOrScheduleExpiry(key);
    }
    return true;
  }

  applyChanges(
    changes: types.RegistryChanges<Value>,
    path: types.ChangePath = types.CHANGE_PATH.watch,
  ): void {
    this.#changePath = path;
    for (const change of changes.changes) {
      const revision = change.removed ? change.revision : change.item.revision;
      this.#newestRevision = Math.max(this.#newestRevision, revision);
      if (change.removed) this.#heldBack.delete(change.key);
      if (!change.removed) this.#setItem(change.item);
      else if (this.isNewer(change.key, change.revision)) this.#removeOrScheduleExpiry(change.key);
    }
    this.#revision = Math.max(this.#revision, changes.revision);
  }

  /**
   * Adds items that a peer knows beside others that this view may lack. The view counts as no newer than before, so that it
   * takes the rest from whoever knows it.
   */
  addItems(items: readonly types.RegistryItem<Value>[]): void {
    const newestRevision = this.#newestRevision;
    this.#changePath = types.CHANGE_PATH.pull;
    for (const item of items) this.#setItem(item);
    this.#newestRevision = newestRevision;
  }

  /** Removes a key that a peer no longer has, unless this view knows a newer revision of it. */
  removeItem(key: string, revision: number): void {
    this.#heldBack.delete(key);
    if (this.#items.has(key) && !this.isNewer(key, revision + 1)) return;
    this.#removeOrScheduleExpiry(key);
  }

  /** Records that the view reflects all changes up to a revision, including removals. */
  setNewestRevision(revision: number): void {
    this.#newestRevision = Math.max(this.#newestRevision, revision);
  }

  has(key: string): boolean {
    return this.#items.has(key);
  }

  /**
   * Removes missing keys whose grace period has ended, forgets removals that all peers know, and adds items that were held back
   * and are still listed.
   */
  removeExpired(): void {
    const now = this.#clock.now();
    for (const [key, { item, endsAt }] of [...this.#heldBack]) {
      if (now < endsAt) continue;
      this.#heldBack.delete(key);
      this.#changePath = types.CHANGE_PATH.read;
      this.#setItem(item);
    }
    for (const [key, { endsAt }] of this.#removed) if (now >= endsAt) this.#removed.delete(key);
    for (const [key, expiresAt] of [...this.#expiring]) {
      if (now >= expiresAt) this.#remove(key);
    }
  }

  /** Whether a revision of a key is newer than the stored one. */
  isNewer(key: string, revision: number): boolean {
    return (this.#items.get(key)?.revision ?? -1) < revision;
  }

  /**
   * Starts a newer epoch: everything that the view holds becomes older than any revision of that epoch. Returns the keys that
   * were removed before, which a copy may list again.
   */
  #startEpoch({ epoch = 0, rewinds = 0 }: types.EpochPart): ReadonlySet<string> {
    const hadData = this.#revision > 0;
    this.#epoch = epoch;
    this.#rewinds = Math.max(this.#rewinds, rewinds);
    this.#revision = 0;
    this.#newestRevision = 0;
    this.#digest = 0;
    this.#heldBack.clear();
    for (const [key, item] of this.#items) {
      const outdated = { ...item, revision: 0 };
      this.#items.set(key, outdated);
      this.#updateDigest(outdated);
      this.#fromOlderEpoch.add(key);
    }
    for (const [key, removed] of this.#removed) this.#removed.set(key, { ...removed, revision: 0 });
    // Live runners write again what the copy lacks.
    if (hadData) this.startGracePeriod();
    for (const listener of this.#epochListeners) listener(this.#changePath);
    return new Set(this.#removed.keys());
  }

  /** Holds an item back if the copy lists it as it was before its removal, which the copy does not reflect. */
  #markHeldBack(item: types.RegistryItem<Value>): void {
    const removed = this.#removed.get(item.key)?.value;
    if (removed === undefined || item.value === undefined) return;
    if (!this.#restorePolicy.isSameInstance(removed, item.value)) return;
    const endsAt = this.#clock.now() + RESTORED_HOLD_MS;
    this.#heldBack.set(item.key, { item, endsAt });
  }

  #setItem(item: types.RegistryItem<Value>): void {
    this.#newestRevision = Math.max(this.#newestRevision, item.revision);
    if ((this.#heldBack.get(item.key)?.item.revision ?? -1) >= item.revision) return;
    this.#heldBack.delete(item.key);
    const isFromPeer = PEER_PATHS.has(this.#changePath);
    // A peer may list an item of the same revision only because its grace period has not ended either.
    if (!isFromPeer || this.isNewer(item.key, item.revision)) this.#expiring.delete(item.key);
    if (!this.isNewer(item.key, item.revision)) this.#replaceValue(item);
    if (!this.isNewer(item.key, item.revision) || this.#isKnownRemoved(item)) return;
    this.#removed.delete(item.key);
    if (isFromPeer) this.#fromPeers.add(item.key);
    else this.#fromPeers.delete(item.key);
    const value = this.#chooseValue(item);
    this.#fromOlderEpoch.delete(item.key);
    this.#updateDigest(this.#items.get(item.key));
    this.#updateDigest(item);
    this.#items.set(item.key, { ...item, value });
    this.#notifyListeners(item.key, value, item.revision);
  }

  /** Returns the value to keep of a newer item. */
  #chooseValue({ key, value }: types.RegistryItem<Value>): Value | undefined {
    const known = this.#items.get(key)?.value;
    if (known === undefined || value === undefined) return value;
    const chosen = this.#fromOlderEpoch.has(key)
      ? this.#restorePolicy.chooseValue(known, value)
      : value;
    return this.#restorePolicy.createShared?.(known, chosen) ?? chosen;
  }

  /** Takes this VM's own reading of an item in place of that of a peer, which may have parsed the same bytes otherwise. */
  #replaceValue(item: types.RegistryItem<Value>): void {
    const known = this.#items.get(item.key);
    if (known?.revision !== item.revision || PEER_PATHS.has(this.#changePath)) return;
    if (!this.#fromPeers.delete(item.key)) return;
    const value =
      known.value === undefined || item.value === undefined
        ? item.value
        : this.#restorePolicy.chooseValue(known.value, item.value);
    if (util.isDeepStrictEqual(known.value, value)) return;
    this.#items.set(item.key, { ...item, value });
    this.#notifyListeners(item.key, value, item.revision);
  }

  /** Whether a peer brings an item that was removed since; the platform itself is right. */
  #isKnownRemoved({ key, revision }: types.RegistryItem<Value>): boolean {
    if (!PEER_PATHS.has(this.#changePath)) return false;
    return (this.#removed.get(key)?.revision ?? 0) >= revision;
  }

  #removeOrScheduleExpiry(key: string): void {
    if (this.#clock.now() >= this.#graceEndsAt) this.#remove(key);
    else if (!this.#expiring.has(key)) this.#expiring.set(key, this.#graceEndsAt);
  }

  #remove(key: string): void {
    this.#expiring.delete(key);
    const item = this.#items.get(key);
    if (item === undefined) return;
    this.#items.delete(key);
    this.#fromPeers.delete(key);
    this.#fromOlderEpoch.delete(key);
    const endsAt = this.#clock.now() + REMOVAL_MEMORY_MS;
    this.#removed.set(key, { revision: item.revision, value: item.value, endsAt });
    this.#updateDigest(item);
    this.#notifyListeners(key, undefined, item.revision);
  }

  /** Adds an item to the digest or removes it, which is the same operation. */
  #updateDigest(item: types.RegistryItem<Value> | undefined): void {
    if (item === undefined) return;
    this.#digest = (this.#digest ^ rendezvous.computeHash(`${item.key}@${item.revision}`)) >>> 0;
  }

  #notifyListeners(key: string, value: Value | undefined, revision: number): void {
    for (const listener of this.#listeners) listener(key, value, revision);
  }
}
