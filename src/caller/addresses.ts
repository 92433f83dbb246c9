/** Answers which nodes a caller should connect to. */
import type * as kernels from "../kernel/container.js";
import type * as membership from "../membership/types.js";
import * as random from "../kernel/random.js";

/** How long a caller may keep an answer. */
export const ADDRESS_TTL_MS = 30_000;
const MAX_ADDRESSES = 4;

/** One address of an answer. */
export interface CallerAddress {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
}

/**
 * Returns up to four nodes that take new work, the own node first unless it is leaving, the others
 * in random order so that callers spread.
 */
export function listAddresses(kernel: kernels.Kernel): readonly CallerAddress[] {
  const fleet = kernel.use("membership");
  const others = fleet.listAlive().filter((member) => member.vm !== fleet.self.vm);
  const own = fleet.listAlive().filter((member) => member.vm === fleet.self.vm);
  return [...own, ...random.createShuffled(others, kernel.use("random"))]
    .slice(0, MAX_ADDRESSES)
    .map(formatAddress);
}

function formatAddress(member: membership.Member): CallerAddress {
  return { vm: member.vm, host: member.caller.host, port: member.caller.port, zone: member.zone };
}
