/** Creates calls from their head: finds the route, the service and the time limits. */
import type * as gateway from "../gateway/types.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as authentication from "../teams/authentication.js";
import * as routeTable from "../routing/route-table.js";
import type * as routing from "../routing/types.js";
import type * as routingState from "../routing/routing-state.js";
import type * as sharing from "../sharing/team-shares.js";
import type * as types from "./types.js";

const NOT_READY_RETRY_MS = 500;
/** Retry time of calls whose route may be in a newer configuration, which other VMs have already. */
const OUTDATED_RETRY_MS = 100;
/** Weight of a team without a quota; only its relation to other such teams matters. */
const DEFAULT_WEIGHT = 1;
const OUTDATED_TEXT = "no route in this configuration, and a newer one is on its way";

/** Limits the calls of a VM that shuts down. */
export interface CallGrace {
  /** @throws RequestError `leaving` when a call with this deadline can no longer be taken. */
  checkTaken(deadlineAt: number): void;
  /** Returns the deadline of a call, at the latest the end of all calls. */
  computeDeadline(deadlineAt: number): number;
}

/** What calls are created from. */
export interface ServedCallOptions {
  readonly routing: Pick<routingState.RoutingState, "current">;
  /** Whether the VM has the data that it needs to serve requests. */
  readonly isReady: () => boolean;
  readonly grace: CallGrace;
  /** Whether a newer configuration than the one in force is known to exist; by default none is. */
  readonly isOutdated?: () => boolean;
  /** Whether this VM may not know all keys in force; by default it knows them. */
  readonly canLackKeys?: authentication.KeyUncertainty;
  /** Names, in lower case, of the headers by which callers state their key or team; removed where the configuration has teams. */
  readonly teamHeaders?: ReadonlySet<string>;
}

/** The parts of a call that do not follow from its head and the configuration. */
export type CallContext = Omit<
  types.ServedCall,
  "head" | "route" | "service" | "deadlineAt" | "team" | "priority"
> & {
  /** Latest deadline of the call; by default it follows from the head and the route alone. */
  readonly latestDeadlineAt?: number;
};

/**
 * Creates a call by the configuration that is in force now.
 *
 * @throws RequestError when the VM is not ready, has no route for the call, does not know its key or shuts down too soon
 * for it.
 */
export function createServedCall(
  options: ServedCallOptions,
  head: gateway.CallHead,
  { latestDeadlineAt = Number.POSITIVE_INFINITY, ...context }: CallContext,
): types.ServedCall {
  const { routing: state, isReady, grace, isOutdated = () => false } = options;
  const table = state.current;
  if (table === undefined || !isReady()) throw createRefusal("notReady");
  const route = table.findRoute(head.host, head.path);
  if (route === undefined && isOutdated())
    throw createRefusal("notReady", OUTDATED_TEXT, OUTDATED_RETRY_MS);
  if (route === undefined) throw createRefusal("unknownService");
  const caller = findCaller(options, table, route, head, context.keyDigest);
  const service = findService(table, head);
  if (service === undefined) throw createRefusal("notReady", "route has no service that is known");
  const deadlineMs = Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  const ownDeadlineAt = Math.min(context.arrivedAt + deadlineMs, latestDeadlineAt);
  grace.checkTaken(ownDeadlineAt);
  return {
    ...{ head, route, service, ...context, ...caller },
    get deadlineAt() {
      return grace.computeDeadline(ownDeadlineAt);
    },
  };
}

/** Returns what the configuration says of the caller, and the head without what the caller says of itself. */
function findCaller(
  { canLackKeys = () => false, teamHeaders = new Set() }: ServedCallOptions,
  table: routeTable.RouteTable,
  route: routing.Route,
  head: gateway.CallHead,
  keyDigest: string | undefined,
): Partial<Pick<types.ServedCall, "head" | "team" | "priority">> {
  if (!table.hasTeams) return {};
  const team = authentication.authenticate(table, route, { keyDigest }, canLackKeys);
  const headers = head.headers.filter(([name]) => !teamHeaders.has(name.toLowerCase()));
  return { head: { ...head, headers }, team, priority: team?.priority ?? route.priority };
}

/** Returns the share that a call's team has of the pools, by the rate of its quota. */
export function findShareHolder({
  team,
}: Pick<types.ServedCall, "team">): sharing.ShareHolder | undefined {
  return team && { name: team.name, weight: team.quota?.perSecond ?? DEFAULT_WEIGHT };
}

function createRefusal(
  name: "notReady" | "unknownService",
  detail?: string,
  retryAfterMs = NOT_READY_RETRY_MS,
): resultCodes.RequestError {
  const options = {
    ...(detail === undefined ? {} : { detail }),
    ...(name === "notReady" ? { retryAfterMs } : {}),
  };
  return new resultCodes.RequestError(resultCodes.RESULT_CODES[name], resultCodes.RAN.no, options);
}

/** Returns the service of a call; `undefined` when its route is not known or no service takes its calls. */
export function findService(
  table: routeTable.RouteTable,
  { host, path, id }: Pick<gateway.CallHead, "host" | "path" | "id">,
): routing.ServiceSpec | undefined {
  const route = table.findRoute(host, path);
  const name = route === undefined ? undefined : routeTable.chooseService(route, id);
  return name === undefined ? undefined : table.findService(name);
}
