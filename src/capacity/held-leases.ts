/** Leases that this node holds, and the batched notification of their allocators. */
import type * as clocks from "../kernel/clock.js";
import * as messages from "./messages.js";

/** Number of held leases beyond which no request is accepted; two leases belong to a request. */
const MAX_HELD_LEASES = 10_000;
/** Delay during which changes are batched into one message. */
const FLUSH_DELAY_MS = 3;

/** A lease that this node holds. */
export interface HeldLease {
  readonly runner: string;
  /** Request id. */
  readonly id: string;
  /** Hash of the request id; with runner and attempt it identifies the lease in messages. */
  readonly key: string;
  readonly attempt: number;
  readonly caller: string;
  /** The caller's configured share. */
  readonly share: number;
  readonly priority: number;
  readonly pieces: number;
  readonly tokens: number;
  readonly grantedAt: number;
  phase: messages.Phase;
  /** Called when the allocator has revoked the lease. */
  readonly onRevoke: () => void;
}

/** Sends each change to the allocator of the lease's runner. */
export type SendChanges = (changes: readonly messages.LeaseChange[]) => void;

/** Leases held by this node; check `hasRoom` before adding. */
export class HeldLeases implements Disposable {
  readonly #clock: clocks.Clock;
  readonly #send: SendChanges;
  readonly #held = new Map<string, HeldLease>();
  #changes: messages.LeaseChange[] = [];
  #cancelFlush: (() => void) | undefined;

  constructor(clock: clocks.Clock, send: SendChanges) {
    this.#clock = clock;
    this.#send = send;
  }

  /** Whether there is room for the two leases of another request. */
  get hasRoom(): boolean {
    return this.#held.size + 2 <= MAX_HELD_LEASES;
  }

  add(lease: HeldLease): void {
    this.#held.set(createMapKey(lease), lease);
  }

  /**
   * Moves a lease to a later phase and notifies its allocator.
   *
   * @param tokens - number of prompt tokens that were computed rather than cached.
   */
  setPhase(lease: HeldLease, phase: messages.Phase, tokens?: number): void {
    lease.phase = phase;
    if (this.#held.get(createMapKey(lease)) !== lease) return;
    this.#pushChange({
      runner: lease.runner,
      key: lease.key,
      attempt: lease.attempt,
      phase,
      tokens,
    });
  }

  /** Releases a lease and notifies its allocator. Idempotent. */
  release(lease: HeldLease): void {
    const mapKey = createMapKey(lease);
    if (this.#held.get(mapKey) !== lease) return;
    this.#held.delete(mapKey);
    const { runner, key, attempt } = lease;
    this.#pushChange({ runner, key, attempt });
  }

  /** Removes leases that their allocator revoked. */
  removeRevoked(leases: readonly messages.LeaseId[]): void {
    for (const leaseId of leases) {
      const mapKey = createMapKey(leaseId);
      const lease = this.#held.get(mapKey);
      this.#held.delete(mapKey);
      lease?.onRevoke();
    }
  }

  /** Returns the held leases as reported to allocators each period. */
  listHeld(): readonly messages.ReportedLease[] {
    return [...this.#held.values()].map(({ runner, key, attempt, phase }) => ({
      runner,
      key,
      attempt,
      phase,
    }));
  }

  /**
   * Returns the details of those of the given leases that are still held, for an allocator that does
   * not know them.
   */
  listDetails(leases: readonly messages.LeaseId[]): messages.LeaseDetails[] {
    const now = this.#clock.now();
    const details: messages.LeaseDetails[] = [];
    for (const leaseId of leases) {
      const lease = this.#held.get(createMapKey(leaseId));
      if (lease === undefined) continue;
      const { runner, id, attempt, caller, share, priority, pieces, tokens, phase } = lease;
      const ageMs = Math.round(now - lease.grantedAt);
      details.push({ runner, id, attempt, caller, share, priority, pieces, tokens, phase, ageMs });
    }
    return details;
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
