/**
 * Number of VMs that share a limit of the whole fleet. A VM that counts too few would take too large a share,
 * so this VM uses a share only while it can rule out that there are VMs it does not know.
 */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as types from "./types.js";

/**
 * Time for which this VM must have been in touch with the fleet before it uses a share. Longer than a VM that was
 * cut off takes to notice it, so its share and that of a VM that started since are not used at once.
 */
export const SETTLE_MS = 20_000;
/**
 * Time in touch after which this VM knows the other VMs: several rounds of gossip. One that was never in touch counts as
 * knowing them after `SETTLE_MS`, since its seeds may be gone for good.
 */
export const JOIN_MS = 1_500;
/** Time without a probe from or to any other VM after which this VM is cut off; a probe is sent every 500 ms. */
const CONTACT_TIMEOUT_MS = 2_000;
const CHECK_PERIOD_MS = 500;
/** A check later than this means that the process or the machine was suspended. */
const SUSPEND_THRESHOLD_MS = 2_000;

/** This VM's share of a limit of the whole fleet. */
export interface FleetShare {
  /** Number of VMs to divide the limit by. */
  readonly vmCount: number;
  /** Time for which this VM has been entitled to a share. */
  readonly inForceMs: number;
}

/** Services that `FleetSize` uses. */
export interface FleetSizeOptions {
  readonly clock: clocks.Clock;
  readonly membership: types.Membership;
  /** Returns the peer addresses from the VM list or the settings; any two VMs should have the same. */
  readonly listSeeds: () => readonly network.PeerAddress[];
}

/**
 * Counts the VMs that share the limits of the fleet.
 *
 * A share is safe in any partition: two VMs that use shares are both in touch with a majority of the seeds,
 * so they know each other through a seed that both reach, and each counts the other.
 */
export class FleetSize implements AsyncDisposable {
  readonly #options: FleetSizeOptions;
  readonly #subscription: Disposable;
  #cancelTimer: (() => void) | undefined;
  /** Monotonic time since which this VM has been in touch; `undefined` while it is not. */
  #inTouchSince: number | undefined;
  #hasJoined = false;
  readonly #startedAt: number;
  #checkedAt: number;
  #checkedWallTime: number;

  constructor(options: FleetSizeOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#checkedAt = this.#startedAt;
    this.#checkedWallTime = options.clock.wallTime();
    this.#subscription = options.membership.onChange(() => {
      this.#update();
    });
    this.#scheduleCheck();
  }

  /** Returns this VM's share, or `undefined` while it must not use one. */
  findShare(): FleetShare | undefined {
    this.#update();
    if (this.#inTouchSince === undefined) return undefined;
    const inForceMs = this.#options.clock.now() - this.#inTouchSince - SETTLE_MS;
    return inForceMs < 0 ? undefined : { vmCount: this.countKnown(), inForceMs };
  }

  /**
   * Returns the number of VMs known to exist or to have existed; at least the number of seeds. VMs that look dead
   * count, since they may only be cut off.
   */
  countKnown(): number {
    const { membership, listSeeds } = this.#options;
    return Math.max(membership.listKnown().length, listSeeds().length);
  }

  /**
   * Returns the part of the fleet that this VM sees alive, from 0 to 1. The parts of the sides of a partition add up to 1.
   * It is 0 while a VM that has started may not know yet which VMs there are.
   */
  computeAlivePart(): number {
    const { clock, membership } = this.#options;
    this.#update();
    if (!this.#hasJoined) return 0;
    const known = this.countKnown();
    const isCutOff = clock.now() - membership.lastHeardAt > CONTACT_TIMEOUT_MS;
    return isCutOff ? 1 / known : Math.min(1, membership.listAlive().length / known);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#cancelTimer?.();
    this.#subscription[Symbol.dispose]();
    return Promise.resolve();
  }

  #scheduleCheck(): void {
    this.#cancelTimer = this.#options.clock.schedule(CHECK_PERIOD_MS, () => {
      this.#update();
      this.#scheduleCheck();
    });
  }

  #update(): void {
    const { clock } = this.#options;
    const now = clock.now();
    const wallTime = clock.wallTime();
    // The monotonic clock stands still while a machine is suspended; the wall clock does not.
    const elapsedMs = Math.max(now - this.#checkedAt, wallTime - this.#checkedWallTime);
    this.#checkedAt = now;
    this.#checkedWallTime = wallTime;
    if (elapsedMs > SUSPEND_THRESHOLD_MS || !this.#isInTouch()) this.#inTouchSince = undefined;
    else this.#inTouchSince ??= now;
    const inTouchMs = now - (this.#inTouchSince ?? now);
    this.#hasJoined ||=
      inTouchMs >= JOIN_MS || now - this.#startedAt >= SETTLE_MS || this.#isAlone();
  }

  /** Whether this VM is the whole fleet, as far as its settings say. */
  #isAlone(): boolean {
    const { membership, listSeeds } = this.#options;
    const { peer } = membership.self;
    const seeds = listSeeds();
    const isOnlySeed = seeds.length > 0 && seeds.every((seed) => isSameAddress(seed, peer));
    return isOnlySeed && membership.listKnown().length === 1;
  }

  /** Whether a majority of the seeds and of the known VMs are alive, and at least one other VM is. */
  #isInTouch(): boolean {
    const { membership, listSeeds } = this.#options;
    const alive = membership.listAlive();
    const seeds = listSeeds();
    const reached = seeds.filter((seed) => alive.some(({ peer }) => isSameAddress(peer, seed)));
    return (
      alive.length > 1 &&
      reached.length * 2 > seeds.length &&
      alive.length * 2 > membership.listKnown().length
    );
  }
}

function isSameAddress(first: network.PeerAddress, second: network.PeerAddress): boolean {
  return first.host === second.host && first.port === second.port;
}
