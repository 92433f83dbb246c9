/**
 * Types shared by the simulated prefill runners, decode runners and links. They schedule a few
 * events per request where the emulated engines in `standins` have one per token, so that a
 * simulated minute of a fleet takes about a second.
 */
import type * as upstream from "../src/upstream/types.js";

/** Number of tokens in a block of the prefix cache. */
export const BLOCK_TOKENS = 64;

/** Capacities and rates of the simulated runners and links. */
export interface RunnerParameters {
  readonly prefillTokensPerSecond: number;
  readonly slots: number;
  readonly stepMs: number;
  /** Time for which a prefill result can be imported by a decode runner. */
  readonly resultTtlMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerSecond: number;
  /** Number of blocks in the prefix cache of a prefill runner. */
  readonly cacheBlocks: number;
}

/** A request as a simulated runner receives it. */
export interface SimulatedRequest extends upstream.AttemptId {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Keys of the prompt's prefix blocks, shortest prefix first. */
  readonly prefixes: readonly string[];
}

/** Result of a simulated prefill. */
export interface SimulatedPrefillResult {
  readonly expiresAt: number;
  readonly computedTokens: number;
  readonly cachedTokens: number;
  readonly zone: string;
  /** Whether a decode runner has started to import it, so that its tokens are not wasted. */
  used: boolean;
}
