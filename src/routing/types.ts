/** The routing configuration that operators publish: routes, services and limits on callers. */

/** How often a call may be executed. */
export const CALL_KIND = {
  /** Idempotent: may run more than once. */
  safe: "safe",
  /** Non-idempotent: runs at most once. */
  unsafe: "unsafe",
  /** Returns a stream of events; non-idempotent unless its route is resumable. */
  stream: "stream",
} as const;

/** One of the values of `CALL_KIND`. */
export type CallKind = (typeof CALL_KIND)[keyof typeof CALL_KIND];

/** A service that receives a share of a route's calls. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Maps calls to services, with their time limits and retry rules. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Time limit of a call. */
  readonly timeoutMs: number;
  /** Target for the time to the response, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Target for the time between two events of a stream. */
  readonly gapTargetMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Maximum number of runners that may execute one attempt of a caller. */
  readonly maxAttempts: number;
  /** Whether an interrupted stream may be resumed on another runner. */
  readonly resumable: boolean;
  /** Whether its calls are model requests, which describe their prompt. */
  readonly forModel: boolean;
  /** Whether its calls need no key where the configuration has teams. */
  readonly allowsAnonymous: boolean;
}

/** Properties of a model engine, the same for all runners of a service. */
export interface EngineSpec {
  /** Number of requests that a runner processes concurrently. */
  readonly slots: number;
  /** Capacity of a runner's KV cache. */
  readonly kvCapacityTokens: number;
  /** Number of tokens per stream event. */
  readonly tokensPerEvent: number;
  /** How long a runner keeps the KV cache of a prefill for fetching. */
  readonly handleTtlMs: number;
  /** How long a runner is unavailable while it switches its stage. */
  readonly stageSwitchMs: number;
}

/** A service behind the router. */
export interface ServiceSpec {
  readonly name: string;
  /** Maximum number of connections to one runner, over all VMs. */
  readonly maxConnections: number;
  /** Set if the service is a model engine. */
  readonly engine: EngineSpec | undefined;
}

/** What a quota counts. */
export const COST_UNIT = {
  /** Each request counts 1. */
  request: "request",
  /** A model request counts its prompt and its maximum output. */
  token: "token",
} as const;

/** One of the values of `COST_UNIT`. */
export type CostUnit = (typeof COST_UNIT)[keyof typeof COST_UNIT];

/** What a team may use over all VMs together, in units per second and as a burst. */
export interface TeamQuota {
  readonly unit: CostUnit;
  readonly perSecond: number;
  readonly burst: number;
  /** Cost of a request that states no tokens, where the unit is a token. */
  readonly plainCost: number;
}

/** Callers that share keys, a priority and a quota. */
export interface Team {
  readonly name: string;
  /** Digests of its keys, see `teams/key-digest.ts`. */
  readonly keyDigests: readonly string[];
  /** Goes before the priority of the route; 0 is the highest. */
  readonly priority: number | undefined;
  /** `undefined` when the team may use as much as it likes. */
  readonly quota: TeamQuota | undefined;
}

/** Size and time limits on callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole routing configuration. */
export interface RoutingTable {
  /** Increases with each version, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** Teams whose keys callers have to present. Absent in a configuration without keys, and in one from a VM of an earlier build. */
  readonly teams?: readonly Team[];
}
