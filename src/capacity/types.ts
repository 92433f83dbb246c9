/** Interfaces of the capacity service, which reserves runners for model requests. */
import type * as upstream from "../upstream/types.js";

/** Resource needs of one model request. Times are monotonic milliseconds of this node's clock. */
export interface Demand extends upstream.AttemptId {
  /** Whether there is no earlier attempt; other nodes are then not notified of this one. */
  readonly isFirstAttempt?: boolean;
  /** Whether its content was in flight at a crash; a runner starts one such request at a time. */
  readonly isCrashSuspect?: boolean;
  readonly caller: string;
  readonly model: string;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first, one per full block. */
  readonly prefixes: readonly string[];
  readonly priority: number;
  /** The caller's weight in fair sharing. */
  readonly share: number;
  /** Time by which the first token must reach the caller. */
  readonly firstTokenBy: number;
  /** Target for the time between two tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /** Time by which the whole response must be complete. */
  readonly deadline: number;
  /** Runners to avoid because they have just failed this request. */
  readonly exclude: readonly string[];
}

/** Leases of a prefill and a decode runner; disposing of it releases those still held. */
export interface Reservation extends AsyncDisposable {
  readonly prefill: upstream.Upstream;
  readonly decode: upstream.Upstream;
  /** Aborts when a lease is lost or a newer attempt takes over: stop, and cancel at the engine. */
  readonly revoked: AbortSignal;
  /** Waits until the prefill may start. @throws RequestError if the targets can't be met */
  waitForPrefill(signal: AbortSignal): Promise<void>;
  /** Records the end of prefill, whether or not its result was handed over. */
  recordPrefillEnd(cachedTokens: number): void;
  /** Records the end of the transfer and the start of decode. */
  recordDecodeStart(): void;
  recordTokenGap(gapMs: number): void;
  /** Records that a runner failed this request. */
  recordFailure(runner: string): void;
}

/** Lease recorded by an allocator, for the status output. */
export interface LeaseView extends upstream.AttemptId {
  readonly runner: string;
  readonly holder: string;
  readonly caller: string;
  readonly slots: number;
  readonly pieces: number;
}

/** Reserves runners for requests. */
export interface Capacity extends AsyncDisposable {
  /**
   * Leases decode, then prefill capacity.
   *
   * @throws RequestError `overloaded` or `shareExceeded` with `retryAfterMs`, if nothing was sent.
   */
  reserve(demand: Demand, signal: AbortSignal): Promise<Reservation>;
  /** Returns the VM that allocates a runner according to this node's view. */
  findAllocator(runner: string): string | undefined;
  /** Returns the leases that this node has granted as an allocator. */
  listLeases(): readonly LeaseView[];
  start(): Promise<void>;
}
