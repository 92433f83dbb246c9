/** Status of one node, served by the administration API and read by `ebonyhook status`. */
import * as crypto from "node:crypto";
import * as zod from "zod";
import type * as capacity from "../capacity/types.js";
import type * as kernels from "../kernel/container.js";
import * as membership from "../membership/types.js";
import * as orders from "../orders/types.js";

/**
 * Limit on the drifts, on the leases and on the fingerprints that a response lists. `leasesTotal`
 * and `quarantinedTotal` count all of them.
 */
const MAX_LISTED_ENTRIES = 1000;
/** Request ids are shown as a hash prefix, because the id itself contains the caller's session. */
const REQUEST_HASH_DIGITS = 12;

const memberSchema = zod.object({
  vm: zod.string(),
  incarnation: zod.number(),
  region: zod.string(),
  zone: zod.string(),
  state: zod.enum(membership.MEMBER_STATE),
});

const leaseSchema = zod.object({
  /** Prefix of the SHA-256 of the request id, in hex. */
  request: zod.string(),
  attempt: zod.number(),
  runner: zod.string(),
  holder: zod.string(),
  caller: zod.string(),
  slots: zod.number(),
  pieces: zod.number(),
});

/** Schema of a node's status. Unknown fields, which later versions may add, are dropped. */
export const nodeStatusSchema = zod.object({
  self: memberSchema,
  members: zod.array(memberSchema),
  configuration: zod.object({
    ready: zod.boolean(),
    revision: zod.number().optional(),
    digest: zod.string().optional(),
    lastRefusal: zod.object({ revision: zod.number(), faults: zod.array(zod.string()) }).optional(),
    /** Digests of two different documents that had the same revision. */
    lastConflict: zod
      .object({ revision: zod.number(), digests: zod.array(zod.string()) })
      .optional(),
  }),
  /** VM that allocates each runner, according to this node. */
  allocators: zod.array(zod.object({ runner: zod.string(), vm: zod.string().optional() })),
  /** Runners allocated by this node that do not match the document yet. */
  drifts: zod.array(zod.object({ runner: zod.string(), reason: zod.enum(orders.DRIFT_REASON) })),
  /** Leases that this node has granted as an allocator. */
  leases: zod.array(leaseSchema),
  leasesTotal: zod.number(),
  /** Totals of all these leases by caller, including those that `leases` omits. */
  usage: zod.array(
    zod.object({
      caller: zod.string(),
      leases: zod.number(),
      slots: zod.number(),
      pieces: zod.number(),
    }),
  ),
  quarantined: zod.array(zod.string()),
  quarantinedTotal: zod.number(),
  activeModelCalls: zod.number(),
  activePlainCalls: zod.number(),
  draining: zod.boolean(),
});

/** Validated status of one node. */
export type NodeStatus = zod.infer<typeof nodeStatusSchema>;

/**
 * Creates the status of a node from the services of its kernel.
 *
 * @example createNodeStatus(kernel).configuration.revision;
 */
export function createNodeStatus(kernel: kernels.Kernel): NodeStatus {
  const members = kernel.use("membership");
  const leases = kernel.use("capacity").listLeases();
  const quarantined = kernel.use("crashes").listQuarantined();
  return {
    self: createMemberView(members.self),
    members: members.listMembers().map(createMemberView),
    configuration: createConfigurationView(kernel),
    allocators: listAllocators(kernel),
    drifts: kernel.use("orders").listDrifts().slice(0, MAX_LISTED_ENTRIES),
    leases: leases.slice(0, MAX_LISTED_ENTRIES).map(createLeaseView),
    leasesTotal: leases.length,
    usage: computeUsage(leases),
    quarantined: quarantined.slice(0, MAX_LISTED_ENTRIES),
    quarantinedTotal: quarantined.length,
    activeModelCalls: kernel.use("modelCalls").activeCount,
    activePlainCalls: kernel.use("plainCalls").activeCount,
    draining: members.self.state === membership.MEMBER_STATE.leaving,
  };
}

function createMemberView(member: membership.Member): NodeStatus["self"] {
  const { vm, incarnation, region, zone, state } = member;
  return { vm, incarnation, region, zone, state };
}

function createConfigurationView(kernel: kernels.Kernel): NodeStatus["configuration"] {
  const { current, ready, lastRefusal, lastConflict } = kernel.use("configuration");
  return {
    ready,
    revision: current?.revision,
    digest: current?.digest,
    lastRefusal: lastRefusal && { ...lastRefusal, faults: [...lastRefusal.faults] },
    lastConflict: lastConflict && { ...lastConflict, digests: [...lastConflict.digests] },
  };
}

function listAllocators(kernel: kernels.Kernel): NodeStatus["allocators"] {
  const runners = kernel.use("configuration").current?.document.runners ?? [];
  const capacityService = kernel.use("capacity");
  return runners.map((runner) => ({
    runner: runner.name,
    vm: capacityService.findAllocator(runner.name),
  }));
}

function createLeaseView(lease: capacity.LeaseView): NodeStatus["leases"][number] {
  const { id, ...rest } = lease;
  const digest = crypto.createHash("sha256").update(id).digest("hex");
  const { attempt, runner, holder, caller, slots, pieces } = rest;
  const request = digest.slice(0, REQUEST_HASH_DIGITS);
  return { request, attempt, runner, holder, caller, slots, pieces };
}

function computeUsage(leases: readonly capacity.LeaseView[]): NodeStatus["usage"] {
  const byCaller = new Map<string, NodeStatus["usage"][number]>();
  for (const { caller, slots, pieces } of leases) {
    const usage = byCaller.get(caller) ?? { caller, leases: 0, slots: 0, pieces: 0 };
    byCaller.set(caller, {
      caller,
      leases: usage.leases + 1,
      slots: usage.slots + slots,
      pieces: usage.pieces + pieces,
    });
  }
  return [...byCaller.values()];
}
