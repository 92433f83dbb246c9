/** The platform's registry: a key-value store with one revision counter for all keys. */

/** An item of one kind. */
export interface RegistryItem<Value> {
  readonly key: string;
  readonly revision: number;
  /** `undefined` when the item cannot be parsed; the key is then treated as unusable. */
  readonly value: Value | undefined;
  /** What of the item could not be read, as text for the log; absent if all could, or if it came from a peer. */
  readonly faults?: readonly string[];
}

/**
 * Counts how often the platform's registry was restored from a copy. Revisions go back at each restore and are given out again,
 * so they are comparable within one epoch only. 0 is the epoch of data whose source names none; it is older than any other.
 */
export type RegistryEpoch = number;

/**
 * An epoch and its part: how often the platform was found to have gone back without a newer epoch in its answers. A VM counts on
 * from one epoch to the next, so that the sum of both only grows. Both are 0 by default.
 */
export interface EpochPart {
  readonly epoch?: RegistryEpoch | undefined;
  readonly rewinds?: number | undefined;
}

/** All items of one kind. */
export interface RegistrySnapshot<Value> extends EpochPart {
  /** Platform revision that the items reflect. */
  readonly revision: number;
  readonly items: readonly RegistryItem<Value>[];
}

/** A written item or the removal of a key. */
export type RegistryChange<Value> =
  | { readonly removed: false; readonly item: RegistryItem<Value> }
  | { readonly removed: true; readonly key: string; readonly revision: number };

/** Changes after a revision. */
export interface RegistryChanges<Value> extends EpochPart {
  readonly revision: number;
  readonly changes: readonly RegistryChange<Value>[];
}

/** How a change reached this VM's view. */
export const CHANGE_PATH = {
  /** A full read of the platform by this VM. */
  read: "read",
  /** This VM's watch of the platform. */
  watch: "watch",
  /** A peer's snapshot. */
  pull: "pull",
  /** A push by a reader of the zone. */
  push: "push",
} as const;

/** One of the values of `CHANGE_PATH`. */
export type ChangePath = (typeof CHANGE_PATH)[keyof typeof CHANGE_PATH];

/** Reads items of one kind from the platform. */
export interface RegistrySource<Value> {
  /**
   * @param isOnNewConnection - whether to read on a connection of its own, which may lead to another server of the platform.
   * @throws when the platform is unreachable or its response is invalid.
   */
  readAll(signal: AbortSignal, isOnNewConnection?: boolean): Promise<RegistrySnapshot<Value>>;
  /**
   * Long-polls for changes after a revision, for at most `waitMs`.
   *
   * @returns `undefined` when the platform no longer keeps the history from that revision on.
   * @throws when the platform is unreachable or its response is invalid.
   */
  watch(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RegistryChanges<Value> | undefined>;
}

/** A value of an item from which a difference starts. */
export interface ItemBase {
  readonly revision: number;
  readonly hash: number;
}

/** Makes and applies differences between the values of an item. */
export interface ValueDeltas<Value> {
  readonly computeHash: (value: Value) => number;
  readonly createDelta: (base: Value, value: Value) => unknown;
  /** @throws when the difference is malformed or was made from another base. */
  readonly applyDelta: (base: Value, delta: unknown) => Value;
  /** Whether a value is certainly too large for a datagram, which is known without encoding it. */
  readonly isLarge: (value: Value) => boolean;
  /** The same for a difference. */
  readonly isLargeDelta: (delta: unknown) => boolean;
}

/** A point in the history of the platform's registry. */
export interface RegistryPosition extends EpochPart {
  readonly epoch: RegistryEpoch;
  readonly revision: number;
}

/** Decides what remains of the known items when the platform's registry was restored from a copy, which shows an earlier state. */
export interface RestorePolicy<Value> {
  /** Returns the value to keep of a known item that the copy lists as well. */
  readonly chooseValue: (known: Value, restored: Value) => Value;
  /** Whether a removed item and one that the copy lists under its key stand for the same thing, which is gone. */
  readonly isSameInstance: (removed: Value, restored: Value) => boolean;
  /** Returns an equal value that shares with the known one what did not change; without it, values share nothing. */
  readonly createShared?: (known: Value, value: Value) => Value;
}
