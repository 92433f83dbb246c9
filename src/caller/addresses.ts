/** Selects the nodes that a caller should connect to. */
import type * as kernels from "../kernel/container.js";
import type * as membership from "../membership/types.js";
import * as random from "../kernel/random.js";

/** Time to live of an address response in a caller's cache. */
export const ADDRESS_TTL_MS = 30_000;
const MAX_ADDRESSES = 4;

/** One node address of the response. */
export interface CallerAddress {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
}

/**
 * Returns up to four nodes that accept new requests: this node first unless it is leaving, then
 * others in random order, which distributes callers over the nodes.
 */
export function listAddresses(kernel: kernels.Kernel): readonly CallerAddress[] {
  const fleet = kernel.use("membership");
  const others = fleet.listAlive().filter((member) => member.vm !== fleet.self.vm);
  const self = fleet.listAlive().filter((member) => member.vm === fleet.self.vm);
  return [...self, ...random.createShuffled(others, kernel.use("random"))]
    .slice(0, MAX_ADDRESSES)
    .map(formatAddress);
}

function formatAddress(member: membership.Member): CallerAddress {
  return { vm: member.vm, host: member.caller.host, port: member.caller.port, zone: member.zone };
}
