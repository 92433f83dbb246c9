/** The state of one node, as the administration API gives it and `ebonyhook status` reads it. */
import * as crypto from "node:crypto";
import * as zod from "zod";
import type * as capacity from "../capacity/types.js";
import type * as kernels from "../kernel/container.js";
import * as membership from "../membership/types.js";
import * as orders from "../orders/types.js";

/** Most leases and fingerprints that one answer lists; the totals count all. */
const MAX_LISTED = 1000;
/** Hex digits that stand for a request id: the id itself carries the caller's session. */
const SHORT_ID_LENGTH = 12;

const memberSchema = zod.object({
  vm: zod.string(),
  incarnation: zod.number(),
  region: zod.string(),
  zone: zod.string(),
  state: zod.enum(membership.MEMBER_STATE),
});

const leaseSchema = zod.object({
  /** Start of the SHA-256 of the request id. */
  request: zod.string(),
  attempt: zod.number(),
  runner: zod.string(),
  holder: zod.string(),
  caller: zod.string(),
  slots: zod.number(),
  pieces: zod.number(),
});

/** Schema of a node's status. Unknown fields of later versions are dropped. */
export const nodeStatusSchema = zod.object({
  self: memberSchema,
  members: zod.array(memberSchema),
  configuration: zod.object({
    ready: zod.boolean(),
    revision: zod.number().optional(),
    digest: zod.string().optional(),
    lastRefusal: zod.object({ revision: zod.number(), faults: zod.array(zod.string()) }).optional(),
    /** Two documents that were seen under one revision. */
    lastConflict: zod
      .object({ revision: zod.number(), digests: zod.array(zod.string()) })
      .optional(),
  }),
  /** Which VM allocates each runner, from this node's view. */
  allocators: zod.array(zod.object({ runner: zod.string(), vm: zod.string().optional() })),
  /** Runners allocated here that do not serve yet what the document asks for. */
  drifts: zod.array(zod.object({ runner: zod.string(), reason: zod.enum(orders.DRIFT_REASON) })),
  /** Leases that this node granted as allocator. */
  leases: zod.array(leaseSchema),
  leasesTotal: zod.number(),
  /** What each caller holds of these leases. */
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

/** Status of one node. */
export type NodeStatus = zod.infer<typeof nodeStatusSchema>;

/**
 * Creates the status of the node that a kernel runs.
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
    drifts: kernel.use("orders").listDrifts().slice(0, MAX_LISTED),
    leases: leases.slice(0, MAX_LISTED).map(createLeaseView),
    leasesTotal: leases.length,
    usage: computeUsage(leases),
    quarantined: quarantined.slice(0, MAX_LISTED),
    quarantinedTotal: quarantined.length,
    activeModelCalls: kernel.use("modelCalls").active,
    activePlainCalls: kernel.use("plainCalls").active,
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
  const allocation = kernel.use("capacity");
  return runners.map((runner) => ({
    runner: runner.name,
    vm: allocation.findAllocator(runner.name),
  }));
}

function createLeaseView(lease: capacity.LeaseView): NodeStatus["leases"][number] {
  const { id, ...rest } = lease;
  const digest = crypto.createHash("sha256").update(id).digest("hex");
  const { attempt, runner, holder, caller, slots, pieces } = rest;
  const request = digest.slice(0, SHORT_ID_LENGTH);
  return { request, attempt, runner, holder, caller, slots, pieces };
}

function computeUsage(leases: readonly capacity.LeaseView[]): NodeStatus["usage"] {
  const byCaller = new Map<string, NodeStatus["usage"][number]>();
  for (const { caller, slots, pieces } of leases) {
    const before = byCaller.get(caller) ?? { caller, leases: 0, slots: 0, pieces: 0 };
    byCaller.set(caller, {
      caller,
      leases: before.leases + 1,
      slots: before.slots + slots,
      pieces: before.pieces + pieces,
    });
  }
  return [...byCaller.values()];
}
