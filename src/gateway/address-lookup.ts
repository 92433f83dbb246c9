/** Selects the VM addresses that a lookup returns. */
import * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";

/**
 * Maximum time for which callers may cache a lookup. Short, because some callers keep it three
 * times as long.
 */
export const ADDRESS_TTL_MS = 1_000;
/** Maximum number of addresses in a lookup; callers do not accept more. */
const MAX_ADDRESSES = 64;

/** Which VMs a lookup leaves out. */
export interface LookupRules {
  /** Whether this VM is ready. */
  readonly isSelfReady: boolean;
  /** Whether a VM is partitioned from all services; such VMs are listed only if all are. */
  readonly isCutOff: (vm: string) => boolean;
}

/** Lists the caller addresses of VMs that are alive and not leaving, those in the caller's zone first. */
export function listAddresses(
  fleet: Pick<membership.Membership, "self" | "listAlive">,
  { isSelfReady, isCutOff }: LookupRules,
  zone: string | undefined,
): readonly network.PeerAddress[] {
  const alive = fleet
    .listAlive()
    .filter((member) => member.state === membership.MEMBER_STATE.alive)
    .filter((member) => isSelfReady || member.vm !== fleet.self.vm);
  const connected = alive.filter((member) => !isCutOff(member.vm));
  const candidates = connected.length > 0 ? connected : alive;
  const sameZone = candidates.filter((member) => member.zone === zone);
  const otherZones = candidates.filter((member) => member.zone !== zone);
  return [...sameZone, ...otherZones].slice(0, MAX_ADDRESSES).map((member) => member.caller);
}
