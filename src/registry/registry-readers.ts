/** Chooses the VMs that read the platform; all VMs with the same member list choose the same ones. */
import * as rendezvous from "../membership/rendezvous.js";
import type * as membership from "../membership/types.js";

/** VMs that read the platform in a zone with more than `MAX_UNRELAYED_VMS`. */
export const READERS_PER_ZONE = 2;
/** Size of a zone up to which all of its VMs read the platform. */
export const MAX_UNRELAYED_VMS = 3;

type Fleet = Pick<membership.Membership, "self" | "listAlive">;

/** Returns the VMs of a zone that read the platform. */
export function chooseReaders(zone: readonly string[]): readonly string[] {
  if (zone.length <= MAX_UNRELAYED_VMS) return zone;
  return rendezvous.chooseByRendezvous("registry", zone, READERS_PER_ZONE);
}

/** Returns the VMs of a zone that are alive, and the local one if it is of that zone. */
export function listZone(fleet: Fleet, zone: string): readonly string[] {
  const { self } = fleet;
  const alive = fleet.listAlive().filter((member) => member.zone === zone);
  const vms = alive.map((member) => member.vm);
  return self.zone !== zone || vms.includes(self.vm) ? vms : [...vms, self.vm];
}

/** Returns the readers of all zones, those of each zone spread evenly over the list. */
export function listFleetReaders(fleet: Fleet): readonly string[] {
  const zones = new Set([fleet.self.zone, ...fleet.listAlive().map(({ zone }) => zone)]);
  const ranked = [...zones].sort().flatMap((zone) => {
    const readers = [...chooseReaders(listZone(fleet, zone))].sort();
    return readers.map((vm, index) => ({ vm, position: (index + 0.5) / readers.length }));
  });
  // The sort is stable, so readers of one position keep the order of their zones.
  ranked.sort((first, second) => first.position - second.position);
  return ranked.map(({ vm }) => vm);
}
