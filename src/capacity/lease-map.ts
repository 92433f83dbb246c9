/** Leases by request id. After the grant, messages identify a lease by a short key. */
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

/** Leases of one runner, iterated in the order in which they were added. */
export class LeaseMap<Lease> {
  readonly #leases = new Map<string, Lease>();

  get size(): number {
    return this.#leases.size;
  }

  has(id: string): boolean {
    return this.#leases.has(computeLeaseKey(id));
  }

  find(id: string): Lease | undefined {
    return this.#leases.get(computeLeaseKey(id));
  }

  findByKey(key: string): Lease | undefined {
    return this.#leases.get(key);
  }

  set(id: string, lease: Lease): void {
    this.#leases.set(computeLeaseKey(id), lease);
  }

  remove(id: string): void {
    this.#leases.delete(computeLeaseKey(id));
  }

  list(): Iterable<Lease> {
    return this.#leases.values();
  }
}
