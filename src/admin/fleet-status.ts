/** Asks several nodes for their status and answers what an operator wants to know. */
import type * as addressCache from "../client/address-cache.js";
import * as exchange from "../client/exchange.js";
import type * as clocks from "../kernel/clock.js";
import * as status from "./status.js";

/** What one node answered. */
export type NodeAnswer =
  | { readonly node: string; readonly status: status.NodeStatus }
  | { readonly node: string; readonly error: string };

/** Engine memory that one runner's allocator has leased. */
export interface RunnerUse {
  readonly runner: string;
  readonly allocator: string | undefined;
  readonly leases: number;
  readonly slots: number;
  readonly pieces: number;
  /** Why it does not serve yet what the document asks for. */
  readonly drift: string | undefined;
  /** Callers that hold it. */
  readonly callers: readonly string[];
}

/** Answers about the fleet. */
export interface FleetStatus {
  readonly nodes: readonly NodeAnswer[];
  /** Newest revision in force anywhere. */
  readonly newestRevision: number | undefined;
  /** Whether every node answered and has the same newest document. */
  readonly isUniform: boolean;
  /** Different digests under the newest revision, more than one after a race of two operators. */
  readonly newestDigests: readonly string[];
  /** Revisions under which a node saw two documents, each once. */
  readonly conflicts: readonly number[];
  /** Refused documents with their faults, by node. */
  readonly refusals: readonly {
    readonly node: string;
    readonly revision: number;
    readonly faults: readonly string[];
  }[];
  readonly runners: readonly RunnerUse[];
}

const ASK_TIMEOUT_MS = 3000;
const MAX_STATUS_BYTES = 8 * 1024 * 1024;
const STATUS_OK = 200;

/**
 * Reads the status of all nodes at once; a node that fails is part of the answer.
 *
 * @example const fleet = await readFleetStatus(clock, nodes, token, signal);
 */
export async function readFleetStatus(
  clock: clocks.Clock,
  nodes: readonly addressCache.NodeAddress[],
  token: string,
  signal: AbortSignal,
): Promise<FleetStatus> {
  const answers = await Promise.all(
    nodes.map((node) => readNodeStatus(clock, node, token, signal)),
  );
  return computeFleetStatus(answers);
}

/** Computes the answers about the fleet from those of its nodes. */
export function computeFleetStatus(answers: readonly NodeAnswer[]): FleetStatus {
  const known = answers.flatMap((answer) => ("status" in answer ? [answer] : []));
  const revisions = known.flatMap(({ status: one }) => one.configuration.revision ?? []);
  const newestRevision = revisions.length === 0 ? undefined : Math.max(...revisions);
  const newest = known.filter((answer) => answer.status.configuration.revision === newestRevision);
  const newestDigests = [
    ...new Set(newest.flatMap((answer) => answer.status.configuration.digest ?? [])),
  ];
  return {
    nodes: answers,
    newestRevision,
    isUniform: newest.length === answers.length && newestDigests.length === 1,
    newestDigests,
    conflicts: [
      ...new Set(
        known.flatMap(({ status: one }) => one.configuration.lastConflict?.revision ?? []),
      ),
    ],
    refusals: known.flatMap(({ node, status: one }) => {
      const refusal = one.configuration.lastRefusal;
      return refusal === undefined ? [] : [{ node, ...refusal }];
    }),
    runners: computeRunnerUse(known.map((answer) => answer.status)),
  };
}

async function readNodeStatus(
  clock: clocks.Clock,
  node: addressCache.NodeAddress,
  token: string,
  signal: AbortSignal,
): Promise<NodeAnswer> {
  const name = `${node.host}:${node.port}`;
  try {
    const response = await exchange.sendRequest(
      clock,
      node,
      {
        method: "GET",
        path: "/admin/v1/status",
        headers: { authorization: `Bearer ${token}` },
        timeoutMs: ASK_TIMEOUT_MS,
      },
      signal,
    );
    const body = await exchange.readBody(clock, response, MAX_STATUS_BYTES, ASK_TIMEOUT_MS);
    if (response.statusCode !== STATUS_OK) throw exchange.createRefusal(response, body);
    return { node: name, status: status.nodeStatusSchema.parse(exchange.parseJson(body)) };
  } catch (error) {
    return { node: name, error: error instanceof Error ? error.message : "no answer" };
  }
}

function computeRunnerUse(statuses: readonly status.NodeStatus[]): RunnerUse[] {
  const leases = statuses.flatMap((one) => one.leases);
  const allocators = new Map(
    statuses.flatMap((one) => one.allocators).map((entry) => [entry.runner, entry.vm]),
  );
  const drifts = new Map(
    statuses.flatMap((one) => one.drifts).map((drift) => [drift.runner, drift.reason]),
  );
  const runners = new Set([...allocators.keys(), ...leases.map((lease) => lease.runner)]);
  return [...runners].sort().map((runner) => {
    const held = leases.filter((lease) => lease.runner === runner);
    return {
      runner,
      allocator: allocators.get(runner),
      leases: held.length,
      slots: held.reduce((sum, lease) => sum + lease.slots, 0),
      pieces: held.reduce((sum, lease) => sum + lease.pieces, 0),
      drift: drifts.get(runner),
      callers: [...new Set(held.map((lease) => lease.caller))],
    };
  });
}
