/** Token estimates and prefix hashes of prompts. */
import * as hashing from "xxhash-wasm";

/** Usual approximation of a token's length where the model's tokenizer is not available. */
const CHARACTERS_PER_TOKEN = 4;
/** Estimated tokens in a prefix block; same as the block size of the engines' KV caches. */
export const PREFIX_BLOCK_TOKENS = 256;
const MAX_PREFIX_HASHES = 64;

const hasher = await hashing.default();

/** Estimates the number of tokens of a text; at least one. */
export function estimateTokenCount(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/**
 * Returns the hash of each prefix that ends at a full block, shortest first, at most 64. The hashes
 * depend on the adapter, because its KV cache differs from that of the base model.
 *
 * @example computePrefixHashes("iono-1", "tile-summary", prompt)[0];
 */
export function computePrefixHashes(
  model: string,
  adapter: string | undefined,
  prompt: string,
): readonly string[] {
  const blockLength = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  const blockCount = Math.min(MAX_PREFIX_HASHES, Math.floor(prompt.length / blockLength));
  const hash = hasher.create64().update(adapter === undefined ? model : `${model}+${adapter}`);
  const hashes: string[] = [];
  for (let block = 0; block < blockCount; block += 1) {
    hash.update(prompt.slice(block * blockLength, (block + 1) * blockLength));
    hashes.push(hash.digest().toString(16).padStart(16, "0"));
  }
  return hashes;
}
