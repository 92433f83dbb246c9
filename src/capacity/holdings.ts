/** Leases that this node holds, and the reports of them to allocators. */
import type * as clocks from "../kernel/clock.js";
import * as messages from "./messages.js";

const MAX_HELD = 10_000;
/** How long changes are collected into one message. */
const FLUSH_DELAY_MS = 3;

/** A held lease. */
export interface Holding {
  readonly runner: string;
  readonly id: string;
  readonly attempt: number;
  readonly caller: string;
  readonly share: number;
  readonly priority: number;
  readonly pieces: number;
  readonly tokens: number;
  readonly grantedAt: number;
  phase: messages.Phase;
  /** Called when the allocator took the lease back. */
  readonly onRevoke: () => void;
}

/** Sends changes to the allocator of their runner. */
export type SendChanges = (changes: readonly messages.LeaseChange[]) => void;

/** Bounded collection of what this node holds. */
export class Holdings implements Disposable {
  readonly #clock: clocks.Clock;
  readonly #send: SendChanges;
  readonly #held = new Map<string, Holding>();
  #changes: messages.LeaseChange[] = [];
  #cancelFlush: (() => void) | undefined;

  constructor(clock: clocks.Clock, send: SendChanges) {
    this.#clock = clock;
    this.#send = send;
  }

  /** Whether two more leases of one request fit. */
  get hasRoom(): boolean {
    return this.#held.size + 2 <= MAX_HELD;
  }

  /** Adds a granted lease. */
  add(holding: Holding): void {
    this.#held.set(createKey(holding.runner, holding.id, holding.attempt), holding);
  }

  /** Moves a lease to a later phase and tells its allocator, with the tokens computed so far. */
  setPhase(holding: Holding, phase: messages.Phase, tokens?: number): void {
    holding.phase = phase;
    if (this.#held.get(createKey(holding.runner, holding.id, holding.attempt)) !== holding) return;
    this.#pushChange({
      runner: holding.runner,
      id: holding.id,
      attempt: holding.attempt,
      phase,
      tokens,
    });
  }

  /** Gives a lease back. Safe to repeat. */
  release(holding: Holding): void {
    const key = createKey(holding.runner, holding.id, holding.attempt);
    if (this.#held.get(key) !== holding) return;
    this.#held.delete(key);
    this.#pushChange({ runner: holding.runner, id: holding.id, attempt: holding.attempt });
  }

  /** Ends leases that their allocator took back. */
  handleRevoke(leases: readonly messages.LeaseId[]): void {
    for (const { runner, id, attempt } of leases) {
      const key = createKey(runner, id, attempt);
      const holding = this.#held.get(key);
      this.#held.delete(key);
      holding?.onRevoke();
    }
  }

  /** Returns what is held, as reported to allocators. */
  listHeld(): readonly messages.HeldLease[] {
    const now = this.#clock.now();
    return [...this.#held.values()].map((holding) => ({
      runner: holding.runner,
      id: holding.id,
      attempt: holding.attempt,
      caller: holding.caller,
      share: holding.share,
      priority: holding.priority,
      pieces: holding.pieces,
      tokens: holding.tokens,
      phase: holding.phase,
      ageMs: now - holding.grantedAt,
    }));
  }

  [Symbol.dispose](): void {
    this.#cancelFlush?.();
    this.#sendAll();
  }

  #pushChange(change: messages.LeaseChange): void {
    this.#changes.push(change);
    this.#cancelFlush ??= this.#clock.schedule(FLUSH_DELAY_MS, () => {
      this.#sendAll();
    });
  }

  #sendAll(): void {
    this.#cancelFlush = undefined;
    const changes = this.#changes;
    this.#changes = [];
    if (changes.length > 0) this.#send(changes);
  }
}

function createKey(runner: string, id: string, attempt: number): string {
  return `${runner}\n${id}\n${attempt}`;
}
