/**
 * Rendezvous hashing: all nodes choose the same candidates from equal lists, without coordination.
 * Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
 */
import * as xxhash from "xxhash-wasm";

const hasher = await xxhash.default();

/**
 * Returns the hash of a text, as an unsigned 32-bit number.
 *
 * @example computeHash("vm-1");
 */
export function computeHash(text: string): number {
  return hasher.h32(text);
}

interface ScoredCandidate {
  readonly candidate: string;
  readonly score: bigint;
}

/**
 * Chooses `count` of the candidates for `key`; when one leaves, only its place is reassigned.
 *
 * @example chooseByRendezvous("configuration", ["vm-1", "vm-2", "vm-3"], 2);
 */
export function chooseByRendezvous(
  key: string,
  candidates: readonly string[],
  count: number,
): readonly string[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: hasher.h64(`${key}/${candidate}`),
  }));
  scored.sort(compareScores);
  return scored.slice(0, count).map((entry) => entry.candidate);
}

function compareScores(first: ScoredCandidate, second: ScoredCandidate): number {
  if (first.score !== second.score) return first.score > second.score ? -1 : 1;
  return first.candidate < second.candidate ? -1 : 1;
}
