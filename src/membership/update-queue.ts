/** Changes that still have to be told, each a limited number of times. */

/** Records told in one probe or acknowledgement at most. */
export const MAX_UPDATES = 8;
/** Times a change is told by one node, for each doubling of the fleet. */
const TELLS_PER_DOUBLING = 2;

/** Queue of the VMs whose records changed; at most one entry for each member. */
export class UpdateQueue {
  readonly #tellsLeft = new Map<string, number>();

  /** Whether nothing is left to tell. */
  get empty(): boolean {
    return this.#tellsLeft.size === 0;
  }

  /** Adds a changed record, to be told anew as often as the fleet's size asks for. */
  push(vm: string, fleetSize: number): void {
    this.#tellsLeft.set(vm, TELLS_PER_DOUBLING * Math.ceil(Math.log2(fleetSize + 1)));
  }

  /** Returns up to `MAX_UPDATES` VMs, the least told first, and counts them as told. */
  shift(): readonly string[] {
    const entries = [...this.#tellsLeft].sort((first, second) => second[1] - first[1]);
    const told = entries.slice(0, MAX_UPDATES);
    for (const [vm, left] of told) {
      if (left > 1) this.#tellsLeft.set(vm, left - 1);
      else this.#tellsLeft.delete(vm);
    }
    return told.map(([vm]) => vm);
  }

  remove(vm: string): void {
    this.#tellsLeft.delete(vm);
  }
}
