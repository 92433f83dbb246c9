/**
 * Spreads the ends of all long polls of the fleet evenly over time. The end of a poll is the proof that its connection works,
 * so when all connections fall silent at once, some VM notices it soon, whatever the moment.
 */
import type * as fleetClocks from "../membership/fleet-clock.js";
import type * as membership from "../membership/types.js";
import * as registryReaders from "./registry-readers.js";

/** Longest time between the ends of two polls of one watch. */
export const MAX_PERIOD_MS = 5_000;
/** Time between the ends of two polls of a fleet's watches beyond which its readers, all but one, poll more often. */
export const MAX_INTERVAL_MS = 1_500;
/** Shorter polls are skipped: their watch was answered at nearly the time at which they would end. */
export const MIN_POLL_MS = 250;

/** Services that `PollSchedule` uses. */
export interface PollScheduleOptions {
  readonly fleetClock: Pick<fleetClocks.FleetClock, "now" | "isFollowing">;
  readonly membership: Pick<membership.Membership, "self" | "listAlive">;
  /** Number of registries that each reader watches. */
  readonly registryCount: number;
}

/** Decides how long each long poll lasts. */
export class PollSchedule {
  readonly #options: PollScheduleOptions;

  constructor(options: PollScheduleOptions) {
    this.#options = options;
  }

  /**
   * Returns the duration of a long poll that begins now.
   *
   * @param registry Index of the watched registry.
   */
  computePollMs(registry: number): number {
    const { fleetClock, membership: fleet, registryCount } = this.#options;
    // Readers of earlier versions poll by themselves, so no turn is left to them.
    const readers = registryReaders
      .listFleetReaders(fleet)
      .filter((vm) => fleetClock.isFollowing(vm));
    const count = Math.max(1, readers.length);
    const rank = Math.max(0, readers.indexOf(fleet.self.vm));
    // One reader may be lost as connections fall silent, and the others learn of it only later.
    const soundCount = Math.max(1, count - 1);
    const periodMs = Math.min(MAX_PERIOD_MS, soundCount * registryCount * MAX_INTERVAL_MS);
    const share = computeShare(rank, count, registry, registryCount);
    const untilEndMs = computeRemainder(share * periodMs - fleetClock.now(), periodMs);
    return untilEndMs < MIN_POLL_MS ? untilEndMs + periodMs : untilEndMs;
  }
}

/**
 * Returns the part of the period at which a poll ends. The ends of a VM's own polls are far apart, and no two polls of the fleet
 * end together.
 */
function computeShare(rank: number, count: number, registry: number, registries: number): number {
  if (count <= registries) return (registry * count + rank) / registries / count;
  const turn = Math.floor((registry * count) / registries);
  return ((rank + turn) % count) / count + registry / registries / count;
}

function computeRemainder(value: number, divisor: number): number {
  return ((value % divisor) + divisor) % divisor;
}
