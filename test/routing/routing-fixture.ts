/** Routes and routing tables for tests. */
import * as routing from "../../src/routing/types.js";

/** Returns a route to the service `plain` with the given overrides. */
export function createRoute(name: string, changes: Partial<routing.Route> = {}): routing.Route {
  return {
    name,
    host: "api.example",
    pathPrefix: "/",
    kind: routing.CALL_KIND.safe,
    timeoutMs: 1_000,
    targetLatencyMs: 300,
    gapTargetMs: 300,
    priority: 1,
    services: [{ service: "plain", weight: 1 }],
    maxAttempts: 2,
    resumable: false,
    forModel: false,
    allowsAnonymous: false,
    ...changes,
  };
}

/** Returns a routing table with the services `plain` and `model`. */
export function createTable(
  version: number,
  routes: readonly routing.Route[],
): routing.RoutingTable {
  return {
    version,
    routes,
    services: [
      { name: "plain", maxConnections: 100, engine: undefined },
      { name: "model", maxConnections: 100, engine: ENGINE },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** An engine with the properties of those in the deployments. */
export const ENGINE: routing.EngineSpec = {
  slots: 16,
  kvCapacityTokens: 72_680,
  tokensPerEvent: 61,
  handleTtlMs: 500,
  stageSwitchMs: 6_000,
};
