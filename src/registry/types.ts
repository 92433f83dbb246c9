/** The platform's registry: a key-value store with one revision counter for all keys. */

/** An item of one kind. */
export interface RegistryItem<Value> {
  readonly key: string;
  readonly revision: number;
  /** `undefined` when the item cannot be parsed; the key is then treated as unusable. */
  readonly value: Value | undefined;
}

/** All items of one kind. */
export interface RegistrySnapshot<Value> {
  /** Platform revision that the items reflect. */
  readonly revision: number;
  readonly items: readonly RegistryItem<Value>[];
}

/** A written item or the removal of a key. */
export type RegistryChange<Value> =
  | { readonly removed: false; readonly item: RegistryItem<Value> }
  | { readonly removed: true; readonly key: string; readonly revision: number };

/** Changes after a revision. */
export interface RegistryChanges<Value> {
  readonly revision: number;
  readonly changes: readonly RegistryChange<Value>[];
}

/** Reads items of one kind from the platform. */
export interface RegistrySource<Value> {
  /** @throws when the platform is unreachable or its response is invalid. */
  readAll(signal: AbortSignal): Promise<RegistrySnapshot<Value>>;
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
