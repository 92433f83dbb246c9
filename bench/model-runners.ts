/**
 * Model runners of the bench: shapes that prefill, links and decode share. They have one event a
 * request where the emulated engines of the stand-ins have one a token, so that a minute of a fleet
 * takes about a second.
 */
import type * as upstream from "../src/upstream/types.js";

/** Tokens of one cached block. */
export const BLOCK_TOKENS = 64;

/** Sizes of the modelled fleet. */
export interface RunnerParameters {
  readonly prefillTokensPerSecond: number;
  readonly slots: number;
  readonly stepMs: number;
  readonly resultTtlMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerSecond: number;
  /** Blocks that a prefill runner caches. */
  readonly cacheBlocks: number;
}

/** A request as the runners see it. */
export interface SimulatedRequest extends upstream.AttemptId {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
}

/** A prefill's result. */
export interface SimulatedPrefillResult {
  readonly expiresAt: number;
  readonly computedTokens: number;
  readonly cachedTokens: number;
  readonly zone: string;
  used: boolean;
}
