/** Members declared dead by this node, and whether their loss suggests a network partition. */
import type * as clocks from "../kernel/clock.js";

/** Time for which a lost member counts as a sign of a partition. */
const PARTITION_WINDOW_MS = 60_000;
const MAX_LOST_HOLDERS = 10_000;
/** Number of lost members, without proof that their processes ended, that suggests a partition. */
const MIN_PARTITION_MEMBERS = 2;

/** A member that was declared dead; it may hold leases. */
export interface LostHolder {
  readonly incarnation: number;
  /** Monotonic time of the loss. */
  readonly lostAt: number;
  /** Whether its process is proved to have ended; a missing reply is no proof. */
  isGone: boolean;
}

/** Lost members by VM, at most 10,000. */
export class LostHolders {
  readonly #clock: clocks.Clock;
  readonly #lost = new Map<string, LostHolder>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#lost.size;
  }

  find(vm: string): LostHolder | undefined {
    return this.#lost.get(vm);
  }

  /** Adds a member; returns `undefined` if it is already present or the limit is reached. */
  add(vm: string, incarnation: number): LostHolder | undefined {
    if (this.#lost.has(vm) || this.#lost.size >= MAX_LOST_HOLDERS) return undefined;
    const lost = { incarnation, lostAt: this.#clock.now(), isGone: false };
    this.#lost.set(vm, lost);
    return lost;
  }

  remove(vm: string): void {
    this.#lost.delete(vm);
  }

  /** Whether several members were lost recently without proof that their processes have ended. */
  isPartitionSuspected(): boolean {
    const windowStart = this.#clock.now() - PARTITION_WINDOW_MS;
    const unproven = [...this.#lost.values()].filter(
      (lost) => !lost.isGone && lost.lostAt >= windowStart,
    );
    return unproven.length >= MIN_PARTITION_MEMBERS;
  }
}
