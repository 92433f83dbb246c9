/** Queue of updates to disseminate, each of which is sent a limited number of times. */

/** Largest number of queued updates in one probe or acknowledgement. */
export const MAX_UPDATES = 8;
/** Times that one node sends an update, per doubling of the fleet size. */
const TRANSMISSIONS_PER_DOUBLING = 2;

/** Queue of the VMs whose records changed; at most one entry per member. */
export class UpdateQueue {
  readonly #transmissionsLeft = new Map<string, number>();

  /** Whether no update is left to send. */
  get empty(): boolean {
    return this.#transmissionsLeft.size === 0;
  }

  /** Adds a changed record and resets its remaining transmissions, which depend on the fleet size. */
  push(vm: string, fleetSize: number): void {
    this.#transmissionsLeft.set(
      vm,
      TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(fleetSize + 1)),
    );
  }

  /** Returns up to `MAX_UPDATES` VMs, the least often sent first, and counts them as sent. */
  shift(): readonly string[] {
    const entries = [...this.#transmissionsLeft].sort((first, second) => second[1] - first[1]);
    const sent = entries.slice(0, MAX_UPDATES);
    for (const [vm, left] of sent) {
      if (left > 1) this.#transmissionsLeft.set(vm, left - 1);
      else this.#transmissionsLeft.delete(vm);
    }
    return sent.map(([vm]) => vm);
  }

  remove(vm: string): void {
    this.#transmissionsLeft.delete(vm);
  }
}
