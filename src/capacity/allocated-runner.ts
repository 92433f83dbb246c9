/** State that an allocator keeps for one runner. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as catalogs from "./runner-catalog.js";
import * as decodeLedgers from "./decode-ledger.js";
import * as gapMonitors from "./gap-monitor.js";
import * as occupancies from "./occupancy.js";
import type * as policies from "./policy.js";
import * as prefillLedgers from "./prefill-ledger.js";
import type * as shares from "./shares.js";

/** A runner with its observed state and one ledger, `decode` or `prefill`, according to its role. */
export interface AllocatedRunner {
  readonly runner: catalogs.CatalogRunner;
  readonly occupancy: occupancies.Occupancy;
  readonly decode: decodeLedgers.DecodeLedger | undefined;
  readonly prefill: prefillLedgers.PrefillLedger | undefined;
  readonly gaps: gapMonitors.GapMonitor;
  readonly allocatedSince: number;
}

/** Creates the state of a runner, without leases. */
export function createAllocatedRunner(
  runner: catalogs.CatalogRunner,
  clock: clocks.Clock,
  policy: policies.CapacityPolicy,
  modelShares: shares.CallerShares,
): AllocatedRunner {
  const occupancy = new occupancies.Occupancy(clock, policy.loadPeriodMs);
  const options = { runner, clock, policy, shares: modelShares, occupancy };
  const isDecode = runner.role === "decode";
  return {
    runner,
    occupancy,
    decode: isDecode ? new decodeLedgers.DecodeLedger(options) : undefined,
    prefill: isDecode ? undefined : new prefillLedgers.PrefillLedger(runner, clock, occupancy),
    gaps: new gapMonitors.GapMonitor(clock),
    allocatedSince: clock.now(),
  };
}

/** Properties common to decode and prefill leases. */
export interface RunnerLease {
  readonly id: string;
  readonly attempt: number;
  readonly holder: network.PeerIdentity;
  readonly caller: string;
  readonly pieces: number;
  readonly grantedAt: number;
}

/** Returns the leases of a runner of either role. */
export function listRunnerLeases(entry: AllocatedRunner): readonly RunnerLease[] {
  const decode = entry.decode?.listLeases() ?? [];
  const prefill = entry.prefill?.listLeases() ?? [];
  return [
    ...decode.map(({ request, holder, grantedAt }) => ({ ...request, holder, grantedAt })),
    ...prefill.map((lease) => ({ ...lease, caller: "", pieces: 0 })),
  ];
}
