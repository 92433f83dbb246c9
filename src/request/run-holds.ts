/**
 * Runs of suspected requests that are in progress, or ended without an answer and wait for a verdict, at all nodes. A
 * request waits while a run of it is in progress, and is held back while the outcomes of its runs are unknown. Only the
 * node that ran a request changes the state of its run.
 */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import * as membership from "../membership/types.js";

/** State of a run. It only rises. */
export const RUN_STATE = { inProgress: 0, unsettled: 1, settled: 2 } as const;

/** One of the values of `RUN_STATE`. */
export type RunState = (typeof RUN_STATE)[keyof typeof RUN_STATE];

/** Why a request has to wait. */
export const HOLD_REASON = { inProgress: "inProgress", unsettled: "unsettled" } as const;

/** One of the values of `HOLD_REASON`. */
export type HoldReason = (typeof HOLD_REASON)[keyof typeof HOLD_REASON];

/** Number of upstreams that crashed or have an unknown outcome at which a request is held back until a verdict. */
const MAX_OPEN_OUTCOMES = 2;
/**
 * Time for which the runs of a node that ended hold requests back; the registry shows by then whether their
 * upstreams ended too.
 */
const ABANDONED_LIMIT_MS = 5_000;
/** Time after which a run without a verdict no longer holds its request back. */
const UNSETTLED_LIMIT_MS = 30_000;
/** Limit on the runs that a node keeps; further ones hold no request back. */
const MAX_HOLDS = 10_000;
const MAX_LIFETIME_MS = 600_000;

/** A run in a message: id, fingerprint, upstream, state and remaining lifetime in milliseconds. */
export const holdSchema = zod.tuple([
  zod.string().max(150),
  zod.string().length(16),
  zod.string().max(100),
  zod.int().min(RUN_STATE.inProgress).max(RUN_STATE.settled),
  zod.number().min(0).max(MAX_LIFETIME_MS),
]);

/** A run in a message. */
export type SentHold = zod.infer<typeof holdSchema>;

interface Hold {
  readonly fingerprint: string;
  readonly upstream: string;
  state: number;
  expiresAt: number;
}

/** What is known of traits beside their open runs. */
export interface TraitEvidence {
  /** Whether the trait was answered lately, so that it holds no request back. */
  readonly isTrusted: (trait: string) => boolean;
  /** Returns the upstreams that are known to have crashed under the trait. */
  readonly listCrashed: (trait: string) => ReadonlySet<string>;
}

/** The hold of a run of this node. */
export interface OwnHold {
  /** Records that the run ended without an answer. */
  markUnsettled(): void;
  /** Records that the outcome of the run is known. */
  settle(): void;
}

/** The runs that hold requests back, by id. */
export class RunHolds {
  readonly #clock: clocks.Clock;
  readonly #membership: membership.Membership;
  readonly #holds = new Map<string, Hold>();
  readonly #idsByFingerprint = new Map<string, Set<string>>();
  readonly #listeners: ((id: string) => void)[] = [];
  #lastNumber = 0;

  constructor(clock: clocks.Clock, members: membership.Membership) {
    this.#clock = clock;
    this.#membership = members;
  }

  /** Calls `listener` with the id of each run of this node whose state changed. */
  onChange(listener: (id: string) => void): void {
    this.#listeners.push(listener);
  }

  /** Adds a run of this node, which is in progress for at most `lifetimeMs`. */
  add(fingerprint: string, upstream: string, lifetimeMs: number): OwnHold {
    const { vm, incarnation } = this.#membership.self;
    this.#lastNumber += 1;
    const id = `${vm} ${incarnation} ${this.#lastNumber}`;
    const expiresAt = this.#clock.now() + lifetimeMs;
    this.#set(id, { fingerprint, upstream, state: RUN_STATE.inProgress, expiresAt });
    this.#notifyListeners(id);
    return {
      markUnsettled: () => {
        this.#setState(id, RUN_STATE.unsettled);
      },
      settle: () => {
        this.#setState(id, RUN_STATE.settled);
      },
    };
  }

  /** Whether any run of the request is in progress or unsettled. */
  has(fingerprint: string): boolean {
    return this.#listOpen(fingerprint).length > 0;
  }

  /**
   * Returns why the request has to wait, if it does.
   *
   * @param crashed - upstreams that are known to have crashed under the request.
   */
  findReason(fingerprint: string, crashed: ReadonlySet<string>): HoldReason | undefined {
    const open = this.#listOpen(fingerprint);
    const unknown = new Set(this.#listUnknown(fingerprint));
    for (const upstream of crashed) unknown.delete(upstream);
    const isHeldBack = unknown.size > 0 && unknown.size + crashed.size >= MAX_OPEN_OUTCOMES;
    if (isHeldBack) return HOLD_REASON.unsettled;
    return open.every(([id, hold]) => this.#isUnknown(id, hold))
      ? undefined
      : HOLD_REASON.inProgress;
  }

  /**
   * Returns why a request with several traits has to wait, if it does. It is held back only if it has all traits with the
   * same crashes and runs without a known outcome; with some of them it runs alone, which tells them apart.
   */
  findRequestReason(traits: readonly string[], evidence: TraitEvidence): HoldReason | undefined {
    const open = traits.filter((trait) => this.has(trait) && !evidence.isTrusted(trait));
    const isHeldBack = open.some(
      (trait) =>
        this.findReason(trait, evidence.listCrashed(trait)) === HOLD_REASON.unsettled &&
        this.#listAlike(trait, evidence).every(
          (other) => traits.includes(other) || evidence.isTrusted(other),
        ),
    );
    if (isHeldBack) return HOLD_REASON.unsettled;
    const isInProgress = open.some((trait) =>
      this.#listOpen(trait).some(([id, hold]) => !this.#isUnknown(id, hold)),
    );
    return isInProgress ? HOLD_REASON.inProgress : undefined;
  }

  /** Lists the traits with crashes and runs without a known outcome at the same upstreams as `trait`. */
  #listAlike(trait: string, evidence: TraitEvidence): readonly string[] {
    const listUpstreams = (one: string): ReadonlySet<string> =>
      new Set([...this.#listUnknown(one), ...evidence.listCrashed(one)]);
    const upstreams = listUpstreams(trait);
    return [...this.#idsByFingerprint.keys()].filter((other) => {
      const own = listUpstreams(other);
      return own.size === upstreams.size && [...own].every((name) => upstreams.has(name));
    });
  }

  /** Returns the upstreams of the open runs of a trait without a known outcome. */
  #listUnknown(trait: string): ReadonlySet<string> {
    const unknown = this.#listOpen(trait).filter(([id, hold]) => this.#isUnknown(id, hold));
    return new Set(unknown.map(([, { upstream }]) => upstream));
  }

  #isUnknown(id: string, { state }: Hold): boolean {
    return state === RUN_STATE.unsettled || this.#isAbandoned(id);
  }

  /** Shortens the lifetime of the runs of nodes that ended. */
  expireAbandoned(): void {
    const limit = this.#clock.now() + ABANDONED_LIMIT_MS;
    for (const [id, hold] of this.#holds) {
      if (hold.expiresAt > limit && this.#isAbandoned(id)) hold.expiresAt = limit;
    }
  }

  /** Returns the fingerprints of the unsettled runs at an upstream. */
  listFingerprints(upstream: string): readonly string[] {
    return [...this.#holds.values()]
      .filter((hold) => hold.upstream === upstream && hold.state === RUN_STATE.unsettled)
      .map(({ fingerprint }) => fingerprint);
  }

  /** Returns the fingerprints of the unsettled runs of nodes that no longer run, by upstream. */
  listAbandoned(): ReadonlyMap<string, readonly string[]> {
    const abandoned = new Map<string, string[]>();
    for (const [id, { state, upstream, fingerprint }] of this.#holds) {
      if (state === RUN_STATE.settled || !this.#isAbandoned(id)) continue;
      abandoned.set(upstream, [...(abandoned.get(upstream) ?? []), fingerprint]);
    }
    return abandoned;
  }

  /** Returns a run in its format for peers. */
  find(id: string): SentHold | undefined {
    const hold = this.#holds.get(id);
    if (hold === undefined) return undefined;
    const lifetimeMs = Math.max(0, hold.expiresAt - this.#clock.now());
    return [id, hold.fingerprint, hold.upstream, hold.state, Math.min(lifetimeMs, MAX_LIFETIME_MS)];
  }

  /** Returns up to `limit` runs in their format for peers. */
  list(limit: number): readonly SentHold[] {
    this.#removeExpired();
    return [...this.#holds.keys()]
      .slice(-limit)
      .map((id) => this.find(id))
      .filter((hold) => hold !== undefined);
  }

  /** Applies the runs that a peer knows. */
  merge(holds: readonly SentHold[]): void {
    for (const [id, fingerprint, upstream, state, lifetimeMs] of holds) {
      const known = this.#holds.get(id);
      if (known !== undefined && known.state >= state) continue;
      const expiresAt = this.#clock.now() + lifetimeMs;
      this.#set(id, { fingerprint, upstream, state, expiresAt });
    }
  }

  #setState(id: string, state: RunState): void {
    const hold = this.#holds.get(id);
    if (hold === undefined || hold.state >= state) return;
    hold.state = state;
    // A settled run is kept for a time, since an older message about it may still arrive.
    hold.expiresAt = this.#clock.now() + UNSETTLED_LIMIT_MS;
    this.#notifyListeners(id);
  }

  #set(id: string, hold: Hold): void {
    if (!this.#holds.has(id) && this.#holds.size >= MAX_HOLDS) this.#removeExpired();
    if (!this.#holds.has(id) && this.#holds.size >= MAX_HOLDS) return;
    this.#holds.set(id, hold);
    const ids = this.#idsByFingerprint.get(hold.fingerprint) ?? new Set();
    this.#idsByFingerprint.set(hold.fingerprint, ids.add(id));
  }

  #listOpen(fingerprint: string): readonly (readonly [string, Hold])[] {
    const now = this.#clock.now();
    const open: [string, Hold][] = [];
    for (const id of this.#idsByFingerprint.get(fingerprint) ?? []) {
      const hold = this.#holds.get(id);
      if (hold === undefined || hold.state === RUN_STATE.settled) continue;
      if (hold.expiresAt > now) open.push([id, hold]);
    }
    return open;
  }

  /** Whether the node that ran the request no longer runs, so that nobody will report the outcome. */
  #isAbandoned(id: string): boolean {
    const [vm = "", incarnation = ""] = id.split(" ");
    const member = this.#membership.findMember(vm);
    return (
      member?.state === membership.MEMBER_STATE.dead ||
      String(member?.incarnation ?? "") !== incarnation
    );
  }

  #removeExpired(): void {
    const now = this.#clock.now();
    for (const [id, hold] of this.#holds) {
      if (hold.expiresAt > now) continue;
      this.#holds.delete(id);
      const ids = this.#idsByFingerprint.get(hold.fingerprint);
      ids?.delete(id);
      if (ids?.size === 0) this.#idsByFingerprint.delete(hold.fingerprint);
    }
  }

  #notifyListeners(id: string): void {
    for (const listener of this.#listeners) listener(id);
  }
}

/**
 * Creates the run holds of a node.
 *
 * @example kernel.register("runHolds", createRunHolds);
 */
export function createRunHolds(kernel: container.Kernel): RunHolds {
  return new RunHolds(kernel.use("clock"), kernel.use("membership"));
}
