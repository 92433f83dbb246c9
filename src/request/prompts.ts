/** Token counts and prefix hashes of prompts. */
import * as hashing from "xxhash-wasm";

/** Characters of one token, the usual approximation for a router without the model's tokenizer. */
const CHARACTERS_PER_TOKEN = 4;
/** Tokens of one prefix block, as the engines' caches count them. */
export const PREFIX_BLOCK_TOKENS = 256;
const MAX_PREFIXES = 64;

const hasher = await hashing.default();

/** Returns about how many tokens a text has, at least one. */
export function estimateTokenCount(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/**
 * Returns the hash of each prefix that ends at a full block, shortest first, at most 64. Another
 * adapter of the model has other hashes, for its KV cache differs.
 *
 * @example computePrefixHashes("iono-1", "tile-summary", prompt)[0];
 */
export function computePrefixHashes(
  model: string,
  adapter: string | undefined,
  prompt: string,
): readonly string[] {
  const blockLength = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const blocks = Math.min(MAX_PREFIXES, Math.floor(prompt.length / blockLength));
  const hash = hasher.create64().update(adapter === undefined ? model : `${model}+${adapter}`);
  const prefixes: string[] = [];
  for (let block = 0; block < blocks; block += 1) {
    hash.update(prompt.slice(block * blockLength, (block + 1) * blockLength));
    prefixes.push(hash.digest().toString(16).padStart(16, "0"));
  }
  return prefixes;
}
