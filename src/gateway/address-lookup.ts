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

/**
 * Lists the caller addresses of VMs that are alive and not leaving, those in the caller's zone first.
 *
 * @param isSelfReady - whether this VM is ready and therefore included.
 */
export function listAddresses(
  fleet: Pick<membership.Membership, "self" | "listAlive">,
  isSelfReady: boolean,
  zone: string | undefined,
): readonly network.PeerAddress[] {
  const candidates = fleet
    .listAlive()
    .filter((member) => member.state === membership.MEMBER_STATE.alive)
    .filter((member) => isSelfReady || member.vm !== fleet.self.vm);
  const sameZone = candidates.filter((member) => member.zone === zone);
  const otherZones = candidates.filter((member) => member.zone !== zone);
  return [...sameZone, ...otherZones].slice(0, MAX_ADDRESSES).map((member) => member.caller);
}
