/** What the platform publishes: items under keys, with one revision counter over all. */

/** An item of one kind. */
export interface RegistryItem<Value> {
  readonly key: string;
  readonly revision: number;
  /** `undefined` when the item cannot be read; the reader then treats the key as unusable. */
  readonly value: Value | undefined;
}

/** All items of one kind. */
export interface RegistrySnapshot<Value> {
  /** Revision of the platform up to which the items are current. */
  readonly revision: number;
  readonly items: readonly RegistryItem<Value>[];
}

/** A change: an item as written, or the removal of a key. */
export type RegistryChange<Value> =
  | { readonly removed: false; readonly item: RegistryItem<Value> }
  | { readonly removed: true; readonly key: string; readonly revision: number };

/** Changes since a revision. */
export interface RegistryChanges<Value> {
  readonly revision: number;
  readonly changes: readonly RegistryChange<Value>[];
}

/** Reads one kind of items from the platform. */
export interface RegistrySource<Value> {
  /** @throws when the platform does not answer as it should. */
  readAll(signal: AbortSignal): Promise<RegistrySnapshot<Value>>;
  /**
   * Waits at the platform for changes after a revision, at most `waitMs`.
   *
   * @returns `undefined` when that part of the history is no longer kept.
   * @throws when the platform does not answer as it should.
   */
  watch(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RegistryChanges<Value> | undefined>;
}
