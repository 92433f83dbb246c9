/** Matches calls to routes and chooses their service. */
import * as rendezvous from "../membership/rendezvous.js";
import type * as types from "./types.js";

/** The routes of one host. */
interface HostRoutes {
  readonly byPrefix: Map<string, types.Route>;
  /** Distinct lengths of the prefixes, the longest first. */
  lengths: number[];
}

/** A routing configuration with its routes indexed by host and prefix. */
export class RouteTable {
  readonly configuration: types.RoutingTable;
  readonly #byHost = new Map<string, HostRoutes>();
  readonly #services = new Map<string, types.ServiceSpec>();
  readonly #teamsByDigest = new Map<string, types.Team>();

  constructor(table: types.RoutingTable) {
    this.configuration = table;
    for (const route of table.routes) this.#add(route);
    for (const routes of this.#byHost.values()) {
      const lengths = new Set([...routes.byPrefix.keys()].map((prefix) => prefix.length));
      routes.lengths = [...lengths].sort((first, second) => second - first);
    }
    for (const service of table.services) this.#services.set(service.name, service);
    for (const team of table.teams ?? [])
      for (const digest of team.keyDigests) this.#teamsByDigest.set(digest, team);
  }

  /** Whether callers have to present the key of a team. */
  get hasTeams(): boolean {
    return this.configuration.teams !== undefined;
  }

  /**
   * Returns the host's route with the longest path prefix that matches, `undefined` when none
   * matches.
   *
   * @example table.findRoute("api.example", "/fetch/tile/7");
   */
  findRoute(host: string, path: string): types.Route | undefined {
    const routes = this.#byHost.get(formatHost(host));
    for (const length of routes?.lengths ?? []) {
      const route = length > path.length ? undefined : routes?.byPrefix.get(path.slice(0, length));
      if (route !== undefined) return route;
    }
    return undefined;
  }

  findService(name: string): types.ServiceSpec | undefined {
    return this.#services.get(name);
  }

  /** Returns the team that holds the key with this digest. */
  findTeam(keyDigest: string): types.Team | undefined {
    return this.#teamsByDigest.get(keyDigest);
  }

  /** Returns the names of the services that are model engines. */
  listEngineServices(): readonly string[] {
    return this.configuration.services
      .filter((service) => service.engine !== undefined)
      .map((service) => service.name);
  }

  #add(route: types.Route): void {
    const host = formatHost(route.host);
    const routes = this.#byHost.get(host) ?? {
      byPrefix: new Map<string, types.Route>(),
      lengths: [],
    };
    // Of routes with the same prefix the first one counts.
    if (!routes.byPrefix.has(route.pathPrefix)) routes.byPrefix.set(route.pathPrefix, route);
    this.#byHost.set(host, routes);
  }
}

/** Returns the one form of a host name that is compared: in lower case, and without the final dot of an absolute name. */
export function formatHost(host: string): string {
  return host.toLowerCase().replace(/\.$/, "");
}

const HASH_RANGE = 2 ** 32;

/**
 * Chooses a service by hashing the route name and the call id, in proportion to the weights. The
 * same call id always gets the same service as long as the weights do not change.
 *
 * @returns `undefined` when no service has a positive weight.
 */
export function chooseService(route: types.Route, callId: string): string | undefined {
  const total = route.services.reduce((sum, entry) => sum + entry.weight, 0);
  let remaining = (rendezvous.computeHash(`${route.name}/${callId}`) / HASH_RANGE) * total;
  for (const entry of route.services) {
    if (entry.weight <= 0) continue;
    if (remaining < entry.weight) return entry.service;
    remaining -= entry.weight;
  }
  return undefined;
}
