/** Chooses the addresses that a caller is told. */
import * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";

/** How long callers keep an answer; some keep it three times as long, so it is short. */
export const ADDRESS_TTL_MS = 1_000;
/** Callers take no more addresses. */
const MAX_ADDRESSES = 64;

/**
 * Returns the addresses of VMs that are alive and not leaving, those of the caller's zone first.
 *
 * @param isOwnReady - whether this VM may name itself.
 */
export function listAddresses(
  fleet: Pick<membership.Membership, "self" | "listAlive">,
  isOwnReady: boolean,
  zone: string | undefined,
): readonly network.PeerAddress[] {
  const named = fleet
    .listAlive()
    .filter((member) => member.state === membership.MEMBER_STATE.alive)
    .filter((member) => isOwnReady || member.vm !== fleet.self.vm);
  const near = named.filter((member) => member.zone === zone);
  const far = named.filter((member) => member.zone !== zone);
  return [...near, ...far].slice(0, MAX_ADDRESSES).map((member) => member.caller);
}
