/**
 * Restarts watches whose connections may be dead. Connections often fall silent together, such as when a device on the way
 * forgets them, so a VM that finds one dead restarts its other watches, and asks the other readers to restart theirs.
 */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as registryReaders from "./registry-readers.js";

const VERIFY_CALL = 34;
const CALL_TIMEOUT_MS = 300;
/** Number of times that a request is sent, as datagrams get lost. */
const MAX_TRIES = 3;

/** Age of the finding of a VM of an earlier version, which does not state it: the longest one of its kind. */
const DEFAULT_AGE_MS = 900;

/** Asks a reader to restart its watches on new connections. */
const VERIFY = network.createPeerCall(
  VERIFY_CALL,
  "verify-watches",
  zod.object({
    /** Milliseconds since a watch was given up; a connection that was sound since then need not be replaced. */
    ageMs: zod.number().min(0).optional(),
  }),
  zod.object({}),
);

/** A watch on a connection of its own. */
export interface VerifiableWatch {
  /**
   * Restarts the watch on a new connection, unless its connection was sound after the given monotonic time; returns whether it
   * did.
   */
  verifyWatch(silentAt: number): boolean;
  /** Whether a long poll that began now would end sooner than the one that waits. */
  isPollLate(): boolean;
  /** Restarts the watch, if it waits, on a new connection. */
  replaceWatch(): void;
}

/** Services that `WatchVerifier` uses. */
export interface WatchVerifierOptions {
  readonly clock: Pick<clocks.Clock, "now">;
  readonly log: telemetry.EventLog;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
}

/** Spreads the knowledge that connections to the platform fell silent. */
export class WatchVerifier {
  readonly #options: WatchVerifierOptions;
  readonly #watches: VerifiableWatch[] = [];

  constructor(options: WatchVerifierOptions) {
    this.#options = options;
    const { network: peers, membership: fleet } = options;
    fleet.onChange(() => {
      this.#replaceLatePolls();
    });
    peers.onCall(VERIFY, ({ ageMs = DEFAULT_AGE_MS }, from) => {
      this.#verifyWatches(from.vm, options.clock.now() - ageMs);
      return {};
    });
    peers.acceptDatagrams(VERIFY);
  }

  addWatch(watch: VerifiableWatch): void {
    this.#watches.push(watch);
  }

  /**
   * Has all watches of the fleet restarted whose connections may be silent as well; call when a watch got no answer and the
   * platform then answered a new connection.
   *
   * @param givenUpAt Monotonic time at which the watch was given up.
   */
  handleDeadWatch(givenUpAt: number): void {
    const { membership: fleet } = this.#options;
    this.#verifyWatches(fleet.self.vm, givenUpAt);
    for (const vm of registryReaders.listFleetReaders(fleet))
      if (vm !== fleet.self.vm) void this.#callReader(vm, givenUpAt);
  }

  /**
   * Restarts the watches when the readers that remain notice dead connections too late by the polls under way. All are
   * restarted: a watch on a new connection does not notice that the older ones are dead.
   */
  #replaceLatePolls(): void {
    if (!this.#watches.some((watch) => watch.isPollLate())) return;
    for (const watch of this.#watches) watch.replaceWatch();
  }

  #verifyWatches(peer: string, silentAt: number): void {
    const restarted = this.#watches.filter((watch) => watch.verifyWatch(silentAt)).length;
    if (restarted === 0) return;
    this.#options.log.write(logEvents.LOG_EVENTS.watchesRestarted, { peer, restarted });
  }

  async #callReader(vm: string, givenUpAt: number): Promise<void> {
    const { network: peers, clock } = this.#options;
    for (let count = 1; count <= MAX_TRIES; count += 1) {
      try {
        const request = { ageMs: Math.max(0, clock.now() - givenUpAt) };
        await peers.callByDatagram(vm, VERIFY, request, { timeoutMs: CALL_TIMEOUT_MS });
        return;
      } catch {
        // Asked again; its own watch ends in time otherwise.
      }
    }
  }
}
