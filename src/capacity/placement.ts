/** Rendezvous hashing of runners onto nodes. Source: Thaler and Ravishankar, 1998. */
import * as xxhash from "xxhash-wasm";
import type * as membership from "../membership/types.js";

const hasher = await xxhash.default();

/** Where a runner stands. */
export interface RunnerPlace {
  readonly name: string;
  readonly zone: string;
  readonly region: string | undefined;
}

/**
 * Returns the node that allocates a runner: by highest hash among the alive members of its zone,
 * else of its region, else of all.
 *
 * @example findAllocator({ name: "d1", zone: "ikeja", region: "lagos" }, membership.listAlive());
 */
export function findAllocator(
  runner: RunnerPlace,
  alive: readonly membership.Member[],
): string | undefined {
  const inZone = alive.filter((member) => member.zone === runner.zone);
  const inRegion = alive.filter((member) => member.region === runner.region);
  const candidates = [inZone, inRegion, alive].find((members) => members.length > 0) ?? [];
  return chooseHighest(
    runner.name,
    candidates.map((member) => member.vm),
  );
}

/** Returns the name with the highest hash together with `key`. */
export function chooseHighest(key: string, names: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1n;
  for (const name of names) {
    const weight = hasher.h64(`${key}\n${name}`);
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && name < best)) {
      best = name;
      bestWeight = weight;
    }
  }
  return best;
}
