/** The latest values of each item of a view, from which differences to the newest one are made. */
import type * as registryView from "./registry-view.js";
import type * as types from "./types.js";

/** Values that are kept of an item; they share what did not change. */
const MAX_VALUES = 16;

interface KnownValue<Value> {
  readonly revision: number;
  readonly value: Value;
}

/** Keeps the latest values of the items of one view. */
export class ValueHistory<Value> {
  readonly #deltas: types.ValueDeltas<Value>;
  /** Newest last. */
  readonly #values = new Map<string, KnownValue<Value>[]>();

  constructor(view: registryView.RegistryView<Value>, deltas: types.ValueDeltas<Value>) {
    this.#deltas = deltas;
    view.onChange((key, value, revision) => {
      this.#add(key, value, revision);
    });
    view.onEpoch(() => {
      this.#values.clear();
    });
  }

  /** Returns the newest value of a key, as a base of differences. */
  findBase(key: string): types.ItemBase | undefined {
    return this.#createBase(this.#values.get(key)?.at(-1));
  }

  /** @throws when the base is not known, or the difference is malformed. */
  applyDelta(key: string, base: types.ItemBase, delta: unknown): Value {
    const known = this.#find(key, base);
    if (known === undefined) throw new Error(`${key} of revision ${base.revision} is not known`);
    return this.#deltas.applyDelta(known.value, delta);
  }

  /** Returns the difference from a base to the newest value, with its revision; `undefined` if the base is not known. */
  createDelta(
    key: string,
    base: types.ItemBase,
  ): { readonly revision: number; readonly delta: unknown } | undefined {
    const known = this.#find(key, base);
    const newest = this.#values.get(key)?.at(-1);
    if (known === undefined || newest === undefined) return undefined;
    const delta = this.#deltas.createDelta(known.value, newest.value);
    return { revision: newest.revision, delta };
  }

  /** Returns the base before the newest value of a key. */
  findPreviousBase(key: string): types.ItemBase | undefined {
    return this.#createBase(this.#values.get(key)?.at(-2));
  }

  /** Whether a value is certainly too large for a datagram. */
  isLarge(value: Value): boolean {
    return this.#deltas.isLarge(value);
  }

  /** Whether a difference is certainly too large for a datagram. */
  isLargeDelta(delta: unknown): boolean {
    return this.#deltas.isLargeDelta(delta);
  }

  #createBase(known: KnownValue<Value> | undefined): types.ItemBase | undefined {
    if (known === undefined) return undefined;
    return { revision: known.revision, hash: this.#deltas.computeHash(known.value) };
  }

  #find(key: string, { revision, hash }: types.ItemBase): KnownValue<Value> | undefined {
    const { computeHash } = this.#deltas;
    return this.#values
      .get(key)
      ?.find((one) => one.revision === revision && computeHash(one.value) === hash);
  }

  #add(key: string, value: Value | undefined, revision: number): void {
    if (value === undefined) {
      this.#values.delete(key);
      return;
    }
    const values = this.#values.get(key) ?? [];
    const known = values.at(-1);
    const older = known?.revision === revision ? values.slice(0, -1) : values;
    this.#values.set(key, [...older, { revision, value }].slice(-MAX_VALUES));
  }
}
