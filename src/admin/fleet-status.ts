/** Queries the status of several nodes and aggregates it into a fleet-wide status. */
import type * as addressCache from "../client/address-cache.js";
import * as exchange from "../client/exchange.js";
import type * as clocks from "../kernel/clock.js";
import * as status from "./status.js";

/** Status of one node, or the error of its query. */
export type NodeStatusResult =
  | { readonly node: string; readonly status: status.NodeStatus }
  | { readonly node: string; readonly error: string };

/** Leases that the nodes report for one runner. */
export interface RunnerUsage {
  readonly runner: string;
  readonly allocator: string | undefined;
  readonly leases: number;
  readonly slots: number;
  readonly pieces: number;
  /** Reason why the runner does not match the document yet. */
  readonly drift: string | undefined;
  /** Callers that hold leases on the runner. */
  readonly callers: readonly string[];
}

/** Aggregated status of the fleet. `ebonyhook status --json` prints it. */
export interface FleetStatus {
  readonly nodes: readonly NodeStatusResult[];
  /** Newest revision that any node has applied; `undefined` if none has applied a document. */
  readonly newestRevision: number | undefined;
  /** Whether every node responded and all have applied the same document. */
  readonly isUniform: boolean;
  /**
   * Distinct digests of the newest revision; more than one if two operators published concurrently.
   */
  readonly newestDigests: readonly string[];
  /** Revisions for which a node saw two different documents, without duplicates. */
  readonly conflicts: readonly number[];
  /** Rejected documents with their faults, by node. */
  readonly refusals: readonly {
    readonly node: string;
    readonly revision: number;
    readonly faults: readonly string[];
  }[];
  readonly runners: readonly RunnerUsage[];
}

const STATUS_TIMEOUT_MS = 3000;
const MAX_STATUS_BYTES = 8 * 1024 * 1024;
const HTTP_OK = 200;

/**
 * Reads the status of all nodes concurrently. The result includes the errors of nodes that fail.
 *
 * @example const fleet = await readFleetStatus(clock, nodes, token, signal);
 */
export async function readFleetStatus(
  clock: clocks.Clock,
  nodes: readonly addressCache.NodeAddress[],
  token: string,
  signal: AbortSignal,
): Promise<FleetStatus> {
  const results = await Promise.all(
    nodes.map((node) => readNodeStatus(clock, node, token, signal)),
  );
  return computeFleetStatus(results);
}

/** Aggregates the results of the nodes. */
export function computeFleetStatus(results: readonly NodeStatusResult[]): FleetStatus {
  const successes = results.flatMap((result) => ("status" in result ? [result] : []));
  const revisions = successes.flatMap(
    ({ status: nodeStatus }) => nodeStatus.configuration.revision ?? [],
  );
  const newestRevision = revisions.length === 0 ? undefined : Math.max(...revisions);
  const newestResults = successes.filter(
    (result) => result.status.configuration.revision === newestRevision,
  );
  const newestDigests = [
    ...new Set(newestResults.flatMap((result) => result.status.configuration.digest ?? [])),
  ];
  return {
    nodes: results,
    newestRevision,
    isUniform: newestResults.length === results.length && newestDigests.length === 1,
    newestDigests,
    conflicts: [
      ...new Set(
        successes.flatMap(
          ({ status: nodeStatus }) => nodeStatus.configuration.lastConflict?.revision ?? [],
        ),
      ),
    ],
    refusals: successes.flatMap(({ node, status: nodeStatus }) => {
      const refusal = nodeStatus.configuration.lastRefusal;
      return refusal === undefined ? [] : [{ node, ...refusal }];
    }),
    runners: computeRunnerUsage(successes.map((result) => result.status)),
  };
}

async function readNodeStatus(
  clock: clocks.Clock,
  node: addressCache.NodeAddress,
  token: string,
  signal: AbortSignal,
): Promise<NodeStatusResult> {
  const name = `${node.host}:${node.port}`;
  try {
    const response = await exchange.sendRequest(
      clock,
      node,
      {
        method: "GET",
        path: "/admin/v1/status",
        headers: { authorization: `Bearer ${token}` },
        timeoutMs: STATUS_TIMEOUT_MS,
      },
      signal,
    );
    const body = await exchange.readBody(clock, response, MAX_STATUS_BYTES, STATUS_TIMEOUT_MS);
    if (response.statusCode !== HTTP_OK) throw exchange.createRefusal(response, body);
    return { node: name, status: status.nodeStatusSchema.parse(exchange.parseJson(body)) };
  } catch (error) {
    return { node: name, error: error instanceof Error ? error.message : "no answer" };
  }
}

function computeRunnerUsage(statuses: readonly status.NodeStatus[]): RunnerUsage[] {
  const leases = statuses.flatMap((nodeStatus) => nodeStatus.leases);
  const allocators = new Map(
    statuses
      .flatMap((nodeStatus) => nodeStatus.allocators)
      .map((entry) => [entry.runner, entry.vm]),
  );
  const drifts = new Map(
    statuses
      .flatMap((nodeStatus) => nodeStatus.drifts)
      .map((drift) => [drift.runner, drift.reason]),
  );
  const runners = new Set([...allocators.keys(), ...leases.map((lease) => lease.runner)]);
  return [...runners].sort().map((runner) => {
    const runnerLeases = leases.filter((lease) => lease.runner === runner);
    return {
      runner,
      allocator: allocators.get(runner),
      leases: runnerLeases.length,
      slots: runnerLeases.reduce((sum, lease) => sum + lease.slots, 0),
      pieces: runnerLeases.reduce((sum, lease) => sum + lease.pieces, 0),
      drift: drifts.get(runner),
      callers: [...new Set(runnerLeases.map((lease) => lease.caller))],
    };
  });
}
