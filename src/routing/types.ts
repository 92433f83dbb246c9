/** The routing configuration that operators publish: routes, services and limits for callers. */

/** How often a call may be executed. */
export const CALL_KIND = {
  /** Idempotent: may run more than once. */
  safe: "safe",
  /** Non-idempotent: runs at most once. */
  unsafe: "unsafe",
  /** Answers with a stream of events; non-idempotent unless its route is resumable. */
  stream: "stream",
} as const;

/** One of the values of `CALL_KIND`. */
export type CallKind = (typeof CALL_KIND)[keyof typeof CALL_KIND];

/** A service that gets a part of a route's calls. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Which calls go to which services, and what they may tolerate. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer (a stream's first event) is on time. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly gapTargetMs: number;
  /** Rank, 0 is the highest. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Runners that one caller's attempt may be executed on. */
  readonly maxAttempts: number;
  /** Whether a broken stream may go on at another runner. */
  readonly resumable: boolean;
  /** Whether its calls are model requests that name a prompt. */
  readonly forModel: boolean;
}

/** A model engine's properties, the same for all runners of a service. */
export interface EngineSpec {
  /** Requests that a runner processes at once. */
  readonly slots: number;
  /** Tokens that a runner's KV cache holds. */
  readonly kvCapacityTokens: number;
  /** Tokens that one event of a stream stands for. */
  readonly tokensPerEvent: number;
  /** How long a prefill's result waits to be fetched. */
  readonly handleTtlMs: number;
  /** How long a runner is away while it changes its stage. */
  readonly stageSwitchMs: number;
}

/** A service behind the router. */
export interface ServiceSpec {
  readonly name: string;
  /** Connections that one runner accepts, of all callers together. */
  readonly maxConnections: number;
  /** Set for services of model engines. */
  readonly engine: EngineSpec | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface RoutingTable {
  /** Rises with each version, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
}
