/** Random numbers as a service, so that tests can use a fixed seed. */
import * as crypto from "node:crypto";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  nextFloat(): number;
  /** Returns a whole number in [0, bound). */
  nextInteger(bound: number): number;
}

const UINT32_RANGE = 2 ** 32;

/**
 * Creates a source that yields the same sequence for the same seed.
 *
 * @example createSeededRandom(7).nextInteger(10);
 */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const nextFloat = (): number => (generator.next() >>> 0) / UINT32_RANGE;
  return { nextFloat, nextInteger: (bound) => Math.floor(nextFloat() * bound) };
}

/** Creates a source seeded by the operating system. */
export function createSystemRandom(): RandomSource {
  return createSeededRandom(crypto.randomInt(UINT32_RANGE));
}

/**
 * Returns a copy of the items in random order (Fisher-Yates shuffle).
 *
 * @example createShuffled(members, random)[0];
 */
export function createShuffled<Item>(items: readonly Item[], source: RandomSource): Item[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = source.nextInteger(last + 1);
    const moved = shuffled[last] as Item;
    shuffled[last] = shuffled[other] as Item;
    shuffled[other] = moved;
  }
  return shuffled;
}
