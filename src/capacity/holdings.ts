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
  readonly key: string;
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
    this.#held.set(createMapKey(holding), holding);
  }

  /** Moves a lease to a later phase and tells its allocator, with the tokens computed so far. */
  setPhase(holding: Holding, phase: messages.Phase, tokens?: number): void {
    holding.phase = phase;
    if (this.#held.get(createMapKey(holding)) !== holding) return;
    this.#pushChange({
      runner: holding.runner,
      key: holding.key,
      attempt: holding.attempt,
      phase,
      tokens,
    });
  }

  /** Gives a lease back. Safe to repeat. */
  release(holding: Holding): void {
    const mapKey = createMapKey(holding);
    if (this.#held.get(mapKey) !== holding) return;
    this.#held.delete(mapKey);
    const { runner, key, attempt } = holding;
    this.#pushChange({ runner, key, attempt });
  }

  /** Ends leases that their allocator took back. */
  handleRevoke(leases: readonly messages.LeaseId[]): void {
    for (const lease of leases) {
      const mapKey = createMapKey(lease);
      const holding = this.#held.get(mapKey);
      this.#held.delete(mapKey);
      holding?.onRevoke();
    }
  }

  /** Returns what is held, as reported to allocators each period. */
  listHeld(): readonly messages.ReportedLease[] {
    return [...this.#held.values()].map(({ runner, key, attempt, phase }) => ({
      runner,
      key,
      attempt,
      phase,
    }));
  }

  /** Returns held leases in full, for an allocator that does not know them. */
  listInFull(leases: readonly messages.LeaseId[]): messages.HeldLease[] {
    const now = this.#clock.now();
    const full: messages.HeldLease[] = [];
    for (const lease of leases) {
      const holding = this.#held.get(createMapKey(lease));
      if (holding === undefined) continue;
      const { runner, id, attempt, caller, share, priority, pieces, tokens, phase } = holding;
      const ageMs = Math.round(now - holding.grantedAt);
      full.push({ runner, id, attempt, caller, share, priority, pieces, tokens, phase, ageMs });
    }
    return full;
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

function createMapKey({ runner, key, attempt }: messages.LeaseId): string {
  return `${runner}\n${key}\n${attempt}`;
}
