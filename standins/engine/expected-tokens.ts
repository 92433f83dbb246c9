/** Output of the emulated model, which is a pure function of the prompt and the token's offset. */
import * as hashing from "xxhash-wasm";

/** Outputs have between 8 and 63 tokens, unless the prompt contains `LENGTH_PATTERN`. */
const MIN_LENGTH_TOKENS = 8;
const LENGTH_RANGE_TOKENS = 56;
const SHORT_HASH_DIGITS = 3;
const RADIX = 36;
const HASH_MULTIPLIER = 0x9e3779b1;
/** A prompt that contains `#tokens=40` has an output of 40 tokens. */
const LENGTH_PATTERN = /#tokens=(\d{1,6})/;

const hasher = await hashing.default();

/** Seed and length of the output for a prompt. */
export interface OutputSeed {
  readonly seed: number;
  /** Number of tokens after which the model stops, unless limited to fewer. */
  readonly length: number;
}

/** Returns the seed and length of a prompt's output, both derived from the prompt. */
export function computeOutputSeed(prompt: string): OutputSeed {
  const seed = hasher.h32(prompt);
  const requestedLength = LENGTH_PATTERN.exec(prompt)?.[1];
  const length =
    requestedLength === undefined
      ? MIN_LENGTH_TOKENS + (seed % LENGTH_RANGE_TOKENS)
      : Number(requestedLength);
  return { seed, length };
}

/** Returns the token at `offset`, including its trailing space. */
export function computeToken(seed: number, offset: number): string {
  const hash = Math.imul(seed ^ Math.imul(offset + 1, HASH_MULTIPLIER), HASH_MULTIPLIER) >>> 0;
  const digits = hash.toString(RADIX).padStart(SHORT_HASH_DIGITS, "0");
  return `t${offset}-${digits.slice(-SHORT_HASH_DIGITS)} `;
}

/**
 * Returns the output tokens for a prompt: the complete output, or its first `maxTokens`
 * tokens.
 *
 * @example computeExpectedTokens("a log of scintillation", 100).join("");
 */
export function computeExpectedTokens(prompt: string, maxTokens: number): string[] {
  const { seed, length } = computeOutputSeed(prompt);
  const count = Math.min(length, maxTokens);
  return Array.from({ length: count }, (_, offset) => computeToken(seed, offset));
}
