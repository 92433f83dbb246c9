/** Remembers whom a scheduler refused, so that whoever comes back is not refused again for others. */
import type * as clocks from "../kernel/clock.js";

/** A caller comes back within a third of its time; after this its request is a new one. */
const MEMORY_MS = 10_000;
/** Bounds the memory; the oldest is forgotten first. */
const MAX_SUBJECTS = 10_000;

/** The subjects of refused requests, by the time of the refusal. */
export class RefusedSubjects {
  readonly #clock: clocks.Clock;
  readonly #refusedAt = new Map<string, number>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  add(subject: string): void {
    this.#refusedAt.delete(subject);
    this.#refusedAt.set(subject, this.#clock.now());
    const [oldest] = this.#refusedAt.keys();
    if (this.#refusedAt.size > MAX_SUBJECTS && oldest !== undefined) this.#refusedAt.delete(oldest);
  }

  has(subject: string): boolean {
    const at = this.#refusedAt.get(subject);
    if (at === undefined) return false;
    if (this.#clock.now() - at <= MEMORY_MS) return true;
    this.#refusedAt.delete(subject);
    return false;
  }
}
