/**
 * Decides whether this node may send an order to a runner now. While membership views differ, two nodes
 * can each consider themselves the allocator of one runner. A runner that checks fencing numbers rejects
 * the outdated one. For other runners, a new allocator waits until the previous one can no longer send
 * orders, and every node has peers confirm its role shortly before it sends an order.
 */
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as calls from "../configuration/configuration-calls.js";
import * as digests from "../configuration/document-digest.js";

/** Validity of a confirmation by peers; an order that was not sent within this time is dropped. */
export const CONFIRMATION_VALIDITY_MS = 2000;
/**
 * Time for which a new allocator waits before it sends orders to a runner that does not check
 * fencing numbers. It exceeds the time that membership takes to converge plus
 * `CONFIRMATION_VALIDITY_MS`.
 */
export const ORDER_LEASE_MS = 10_000;
const CONFIRM_TIMEOUT_MS = 1000;
const MAX_ASKED_PEERS = 3;

/** Asks a peer which VM it considers the allocator of a runner, and which document version it uses. */
export const READ_ALLOCATOR = network.createPeerCall(
  23,
  "read-allocator",
  zod.object({ runner: zod.string().max(100) }),
  zod.object({
    allocator: zod.string().max(100).optional(),
    version: calls.versionSchema.optional(),
  }),
);

/** Dependencies of `OrderAuthority`. */
export interface OrderAuthorityOptions {
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly findAllocator: (runner: string) => string | undefined;
  readonly getVersion: () => digests.DocumentVersion | undefined;
}

/** Tracks how long this node has been the allocator of each runner, and asks peers for confirmation. */
export class OrderAuthority {
  readonly #options: OrderAuthorityOptions;
  readonly #allocatedSince = new Map<string, number>();

  constructor(options: OrderAuthorityOptions) {
    this.#options = options;
    options.network.onCall(READ_ALLOCATOR, ({ runner }) => ({
      allocator: options.findAllocator(runner),
      version: options.getVersion(),
    }));
  }

  /** Updates the set of runners that this node allocates. */
  updateAllocatedRunners(runners: readonly string[]): void {
    const now = this.#options.clock.now();
    for (const runner of [...this.#allocatedSince.keys()]) {
      if (!runners.includes(runner)) this.#allocatedSince.delete(runner);
    }
    for (const runner of runners) {
      if (!this.#allocatedSince.has(runner)) this.#allocatedSince.set(runner, now);
    }
  }

  /** Restarts all waits after the process was paused, because other nodes may have taken over. */
  reset(): void {
    this.#allocatedSince.clear();
  }

  /** Whether a previous allocator of the runner can no longer send it orders. */
  hasLeaseElapsed(runner: string): boolean {
    const since = this.#allocatedSince.get(runner);
    return since !== undefined && this.#options.clock.now() - since >= ORDER_LEASE_MS;
  }

  /**
   * Asks up to `MAX_ASKED_PEERS` random peers, including suspect ones. Returns whether no peer
   * objects and at least one confirms; without any other member, no confirmation is needed.
   */
  async checkAuthority(runner: string): Promise<boolean> {
    const { network: peers, membership: members, random } = this.#options;
    const others = members.listMembers().filter((member) => member.vm !== members.self.vm);
    const asked = randoms.createShuffled(others, random).slice(0, MAX_ASKED_PEERS);
    const answers = asked.map(async (peer) => {
      const options = { timeoutMs: CONFIRM_TIMEOUT_MS };
      const reply = await peers.call(peer.vm, READ_ALLOCATOR, { runner }, options);
      return this.#isConfirmed(reply.allocator, reply.version);
    });
    const settled = await Promise.allSettled(answers);
    const replies = settled.filter((result) => result.status === "fulfilled");
    const hasObjection = replies.some((reply) => !reply.value);
    return !hasObjection && (asked.length === 0 || replies.length > 0);
  }

  #isConfirmed(
    allocator: string | undefined,
    version: digests.DocumentVersion | undefined,
  ): boolean {
    const own = this.#options.getVersion();
    const hasNewerDocument = version !== undefined && digests.isNewer(version, own);
    return allocator === this.#options.membership.self.vm && !hasNewerDocument;
  }
}
