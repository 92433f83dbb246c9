/**
 * Whether this node may order a runner now. Two nodes can hold themselves for the allocator of one
 * runner while their views differ. A runner that checks fencing numbers protects itself; for one
 * that doesn't, a new allocator waits until the earlier one can no longer order, and every node
 * has its role confirmed by peers shortly before it sends an order.
 */
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as calls from "../configuration/configuration-calls.js";
import * as digests from "../configuration/document-digest.js";

/** How long a confirmed node may order: an order not sent within it is dropped. */
export const ORDER_RIGHT_MS = 2000;
/** Wait of a new allocator; longer than membership takes to agree plus the right itself. */
export const ORDER_LEASE_MS = 10_000;
const CONFIRM_LIMIT_MS = 1000;
const CONFIRMING_PEERS = 3;

/** Asks a peer whom it holds for a runner's allocator, and which document is in force there. */
export const READ_ALLOCATOR = network.createPeerCall(
  23,
  "read-allocator",
  zod.object({ runner: zod.string().max(100) }),
  zod.object({
    allocator: zod.string().max(100).optional(),
    version: calls.versionSchema.optional(),
  }),
);

/** What a right is decided from. */
export interface OrderRightsOptions {
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly findAllocator: (runner: string) => string | undefined;
  readonly getVersion: () => digests.DocumentVersion | undefined;
}

/** Keeps since when this node allocates which runner, and asks peers. */
export class OrderRights {
  readonly #options: OrderRightsOptions;
  readonly #allocatedSince = new Map<string, number>();

  constructor(options: OrderRightsOptions) {
    this.#options = options;
    options.network.onCall(READ_ALLOCATOR, ({ runner }) => ({
      allocator: options.findAllocator(runner),
      version: options.getVersion(),
    }));
  }

  /** Takes note of the runners this node allocates now. */
  updateAllocated(runners: readonly string[]): void {
    const now = this.#options.clock.now();
    for (const runner of [...this.#allocatedSince.keys()]) {
      if (!runners.includes(runner)) this.#allocatedSince.delete(runner);
    }
    for (const runner of runners) {
      if (!this.#allocatedSince.has(runner)) this.#allocatedSince.set(runner, now);
    }
  }

  /** Lets every lease begin anew: the process was paused, and others may have taken over. */
  renew(): void {
    this.#allocatedSince.clear();
  }

  /** Whether an earlier allocator of the runner can no longer order it. */
  hasWaited(runner: string): boolean {
    const since = this.#allocatedSince.get(runner);
    return since !== undefined && this.#options.clock.now() - since >= ORDER_LEASE_MS;
  }

  /**
   * Asks a few peers, suspects among them; returns whether none objects and, unless all others are
   * dead, one confirms.
   */
  async checkRights(runner: string): Promise<boolean> {
    const { network: peers, membership: members, random } = this.#options;
    const others = members.listMembers().filter((member) => member.vm !== members.self.vm);
    const asked = randoms.createShuffled(others, random).slice(0, CONFIRMING_PEERS);
    const answers = asked.map(async (peer) => {
      const options = { timeoutMs: CONFIRM_LIMIT_MS };
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
    const isNewerThere = version !== undefined && digests.isNewer(version, own);
    return allocator === this.#options.membership.self.vm && !isNewerThere;
  }
}
