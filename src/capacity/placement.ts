/** Assigns runners to the nodes that allocate them. */
import * as rendezvous from "../membership/rendezvous.js";
import type * as membership from "../membership/types.js";

/** Location of a runner. */
export interface RunnerPlace {
  readonly name: string;
  readonly zone: string;
  readonly region: string | undefined;
}

/**
 * Returns the node that allocates a runner, by rendezvous hashing over the alive members of its
 * zone; if the zone has none, over those of its region, else over all.
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
  const vms = candidates.map((member) => member.vm);
  return rendezvous.chooseByRendezvous(runner.name, vms, 1)[0];
}
