/** Leases by request id, which messages after the first name by a short key. */
import * as xxhash from "xxhash-wasm";

const hasher = await xxhash.default();

/**
 * Returns the key of a request id: its 64-bit hash in hexadecimal digits.
 *
 * @example computeLeaseKey("session.17").length; // 16
 */
export function computeLeaseKey(id: string): string {
  return hasher.h64ToString(id);
}

/** A map in the order of insertion. */
export class LeaseMap<Lease> {
  readonly #leases = new Map<string, Lease>();

  /** Number of leases. */
  get size(): number {
    return this.#leases.size;
  }

  /** Returns whether a request has a lease. */
  has(id: string): boolean {
    return this.#leases.has(computeLeaseKey(id));
  }

  /** Returns the lease of a request. */
  find(id: string): Lease | undefined {
    return this.#leases.get(computeLeaseKey(id));
  }

  /** Returns the lease with that key. */
  findByKey(key: string): Lease | undefined {
    return this.#leases.get(key);
  }

  /** Sets the lease of a request. */
  set(id: string, lease: Lease): void {
    this.#leases.set(computeLeaseKey(id), lease);
  }

  /** Removes the lease of a request. */
  remove(id: string): void {
    this.#leases.delete(computeLeaseKey(id));
  }

  /** Returns the leases. */
  list(): Iterable<Lease> {
    return this.#leases.values();
  }
}
