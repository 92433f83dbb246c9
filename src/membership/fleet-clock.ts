/**
 * A monotonic clock that the VMs of a fleet share, so that they can take turns without further messages. VMs gossip the time
 * since the start of the VM that began it; all follow the oldest start that they hear of, and of it the longest time.
 */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as types from "./types.js";

const TOPIC = "fleet-clock";

const readingSchema = zod.tuple([
  /** Incarnation of the VM that began the clock. */
  zod.int().min(0),
  /** Milliseconds since then. */
  zod.number().min(0),
]);

/** Services that `FleetClock` uses. */
export interface FleetClockOptions {
  readonly clock: clocks.Clock;
  readonly membership: Pick<types.Membership, "self" | "onGossip" | "onChange">;
}

/** Reads and follows the clock of the fleet. Wall clocks do not affect it, beyond which VM counts as the oldest. */
export class FleetClock {
  readonly #clock: clocks.Clock;
  /** Incarnation of the VM that began the clock. */
  #origin: number;
  /** Difference between the fleet's clock and this VM's monotonic time. */
  #offsetMs: number;
  /** VMs of earlier versions, which do not know the clock. */
  readonly #unaware = new Set<string>();

  constructor({ clock, membership }: FleetClockOptions) {
    this.#clock = clock;
    this.#origin = membership.self.incarnation;
    this.#offsetMs = -clock.now();
    membership.onGossip(TOPIC, {
      create: () => [this.#origin, Math.round(this.now())],
      onReceive: (payload, { vm }) => {
        const [origin, elapsedMs] = readingSchema.parse(payload);
        this.#unaware.delete(vm);
        this.#apply(origin, elapsedMs);
      },
      onMissing: ({ vm }) => {
        this.#unaware.add(vm);
      },
    });
    // Another process of the VM may be of another version.
    membership.onChange(({ vm }) => {
      this.#unaware.delete(vm);
    });
  }

  /** Returns milliseconds since the clock began; VMs that are in touch differ by the delay of a message. */
  now(): number {
    return this.#clock.now() + this.#offsetMs;
  }

  /** Whether a VM takes turns by this clock, as far as its gossip has shown. */
  isFollowing(vm: string): boolean {
    return !this.#unaware.has(vm);
  }

  #apply(origin: number, elapsedMs: number): void {
    if (origin > this.#origin) return;
    const offsetMs = elapsedMs - this.#clock.now();
    this.#offsetMs = origin < this.#origin ? offsetMs : Math.max(this.#offsetMs, offsetMs);
    this.#origin = origin;
  }
}
