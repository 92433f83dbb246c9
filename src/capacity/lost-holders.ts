/** Members that this node has lost, and whether that looks like a cut network. */
import type * as clocks from "../kernel/clock.js";

/** How long a lost member counts as a sign of a partition. */
const LOST_MEMORY_MS = 60_000;
const MAX_LOST = 10_000;
/** Members lost without a proof of their end that make a partition. */
const PARTITION_MEMBERS = 2;

/** A member that is held for dead. */
export interface LostHolder {
  readonly incarnation: number;
  /** Monotonic time of the loss. */
  readonly at: number;
  /** Whether its process is proved to have ended; silence proves nothing. */
  isGone: boolean;
}

/** The lost members by VM, at most 10,000. */
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

  /** Adds a member; returns nothing when it is known or there is no room. */
  add(vm: string, incarnation: number): LostHolder | undefined {
    if (this.#lost.has(vm) || this.#lost.size >= MAX_LOST) return undefined;
    const lost = { incarnation, at: this.#clock.now(), isGone: false };
    this.#lost.set(vm, lost);
    return lost;
  }

  remove(vm: string): void {
    this.#lost.delete(vm);
  }

  /** Whether several members fell silent lately, as when the network is cut. */
  isPartitioned(): boolean {
    const before = this.#clock.now() - LOST_MEMORY_MS;
    const silent = [...this.#lost.values()].filter((lost) => !lost.isGone && lost.at >= before);
    return silent.length >= PARTITION_MEMBERS;
  }
}
