/** Interfaces of the capacity service, which reserves runners for model requests. */
import type * as upstream from "../upstream/types.js";

/** Resource needs of one model request. Times are monotonic milliseconds of this node's clock. */
export interface Demand extends upstream.AttemptId {
  /**
   * Whether this is the first attempt of the request; only later ones are announced to other nodes.
   * By default true if `attempt` is 1.
   */
  readonly isFirstAttempt?: boolean;
  /** Whether equal content was in flight when a runner crashed; runners start these one at a time. */
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
  /** Runners to avoid because this request has just failed on them. */
  readonly exclude: readonly string[];
}

/** Leases of a prefill and a decode runner; disposing of it releases those still held. */
export interface Reservation extends AsyncDisposable {
  readonly prefill: upstream.Upstream;
  readonly decode: upstream.Upstream;
  /**
   * Aborts when a lease is revoked, for example for a newer attempt; the owner of the reservation then
   * has to stop the attempt and cancel it at the engine.
   */
  readonly revoked: AbortSignal;
  /**
   * Waits until the prefill may start.
   *
   * @throws RequestError if the targets can't be met, or the reason with which `signal` or `revoked`
   *   aborts.
   */
  waitForPrefillStart(signal: AbortSignal): Promise<void>;
  /** Records the end of prefill, whether or not a decode runner has fetched its result. */
  recordPrefillEnd(cachedTokens: number): void;
  /** Records the end of the transfer and the start of decode. */
  recordDecodeStart(): void;
  /** Records the time between two tokens. */
  recordTokenGap(gapMs: number): void;
  /** Records that this request failed on a runner. */
  recordFailure(runner: string): void;
}

/** Lease recorded by an allocator, for the status output. */
export interface LeaseView extends upstream.AttemptId {
  readonly runner: string;
  readonly holder: string;
  readonly caller: string;
  /** Decode slots; 0 for a prefill lease. */
  readonly slots: number;
  /** Pieces of the runner's KV cache; 0 for a prefill lease. */
  readonly pieces: number;
}

/** Reserves runners for requests. */
export interface Capacity extends AsyncDisposable {
  /**
   * Leases decode capacity, and prefill capacity as well if the decode lease may start at once.
   * Nothing is sent to a runner, so a refused request has not run.
   *
   * @throws RequestError `overloaded`, `shareExceeded` or `upstreamUnavailable` with `retryAfterMs`,
   *   `promptTooLong`, or the reason with which `signal` aborts.
   */
  reserve(demand: Demand, signal: AbortSignal): Promise<Reservation>;
  /** Returns the VM that allocates a runner according to this node's view. */
  findAllocator(runner: string): string | undefined;
  /** Returns the leases that this node has granted as an allocator. */
  listLeases(): readonly LeaseView[];
  start(): Promise<void>;
}
