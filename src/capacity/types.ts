/** Capacity of runners: what a request asks for and what it is granted. */
import type * as upstream from "../upstream/types.js";

/** What one model request needs. Times are monotonic milliseconds of the own clock. */
export interface Demand extends upstream.AttemptId {
  /** Whether no other attempt of the request was ever made; then no other node is told of this one. */
  readonly isFirstAttempt?: boolean;
  /** Whether its content was in flight at a crash; a decode runner starts one such at a time. */
  readonly isSuspect?: boolean;
  readonly caller: string;
  readonly model: string;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first, one for each full block. */
  readonly prefixes: readonly string[];
  readonly priority: number;
  /** The caller's weight among callers. */
  readonly share: number;
  /** Time by which the first token must reach the caller. */
  readonly firstTokenBy: number;
  /** Target for the time between two tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /** Time after which the answer is worthless. */
  readonly deadline: number;
  /** Runners not to choose, for they just failed this request. */
  readonly exclude: readonly string[];
}

/** Places held at a prefill and a decode runner; disposing of it gives back what is still held. */
export interface Reservation extends AsyncDisposable {
  readonly prefill: upstream.Upstream;
  readonly decode: upstream.Upstream;
  /** Aborts when the lease is lost or given to a newer attempt: stop and cancel at the engine. */
  readonly revoked: AbortSignal;
  /** Waits for the prefill's turn; throws `RequestError` when its targets can no longer be met. */
  waitForPrefill(signal: AbortSignal): Promise<void>;
  /** Tells that prefill ended and its result was (or was not) handed over. */
  recordPrefillEnd(cachedTokens: number): void;
  /** Tells that the transfer ended and decode began. */
  recordDecodeStart(): void;
  /** Tells an observed gap between tokens. */
  recordTokenGap(gapMs: number): void;
  /** Tells that a runner failed this request. */
  recordFailure(runner: string): void;
}

/** Lease as an allocator sees it, for status. */
export interface LeaseView extends upstream.AttemptId {
  readonly runner: string;
  readonly holder: string;
  readonly caller: string;
  readonly slots: number;
  readonly pieces: number;
}

/** Grants places at runners. */
export interface Capacity extends AsyncDisposable {
  /**
   * Leases decode, then prefill capacity.
   *
   * @throws RequestError `overloaded` or `shareExceeded` with `retryAfterMs`, before anything was sent.
   */
  reserve(demand: Demand, signal: AbortSignal): Promise<Reservation>;
  /** Returns the vm that allocates a runner, from this node's view. */
  findAllocator(runner: string): string | undefined;
  /** Returns the leases this node has granted as allocator. */
  listLeases(): readonly LeaseView[];
  start(): Promise<void>;
}
