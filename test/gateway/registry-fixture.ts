/** Gateways, of which two a zone read the platform's store for all, and the times at which they follow its changes. */
import * as clocks from "../../src/kernel/clock.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as stores from "../../standins/users-platform/store.js";
import * as fixture from "./gateway-fixture.js";

/** Time within which a change takes effect at every gateway. */
export const CHANGE_LIMIT_MS = 2_000;
const OBSERVATION_MS = 6_000;
/** Time in which the gateways of a zone learn each other and choose their readers. */
const WARM_UP_MS = 3_000;
const SAMPLE_PERIOD_MS = 20;
/** Zones of the gateways, in the order of their numbers. */
const ONE_ZONE = ["a", "a", "a", "a", "a"] as const;
/** One zone has followers beside its readers; in the others all gateways read. */
export const THREE_ZONES = ["a", "a", "a", "a", "b", "b", "b", "c", "c"] as const;

/** Changes of the example configuration. */
export interface ConfigurationChanges {
  readonly version: number;
  /** Service of the safe route. */
  readonly service?: string;
  /** Number of further routes, which nobody calls. */
  readonly idleRoutes?: number;
}

/** Returns a configuration whose safe route may lead to another service, with further routes. */
export function createConfiguration({
  version,
  service = "plain",
  idleRoutes = 0,
}: ConfigurationChanges): unknown {
  const base = examples.createConfiguration(version) as {
    routes: Record<string, unknown>[];
    services: Record<string, unknown>[];
  };
  const routes = base.routes.map((route) =>
    route.name === "status" ? { ...route, service } : route,
  );
  const [, status] = base.routes;
  for (let number = 0; number < idleRoutes; number += 1) {
    const name = `idle-${String(number).padStart(6, "0")}`;
    routes.push({ ...status, name, path_prefix: `/${name}/` });
  }
  const other = { name: "other", health_path: "/health", max_connections: 100 };
  return { ...base, routes, services: [...base.services, other] };
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly zones?: readonly string[];
  readonly era?: string;
}

/** Gateways and their store. */
export class RegistryFleet implements AsyncDisposable {
  readonly store = new stores.StoreStandIn();
  readonly gateways: fixture.TestGateway[] = [];

  readonly #net: number;

  constructor(net: number) {
    this.#net = net;
  }

  /**
   * @param net - second part of the gateways' addresses.
   * @param zones - zone of each gateway; by default, five gateways of one zone.
   * @param era - era that the store names; "none" if it names none.
   */
  static async start(
    net: number,
    configuration: ConfigurationChanges,
    { zones = ONE_ZONE, era = "1" }: FleetOptions = {},
  ): Promise<RegistryFleet> {
    const fleet = new RegistryFleet(net);
    fleet.store.setEra(era === "none" ? undefined : era);
    await fleet.store.start();
    fleet.publish(configuration);
    try {
      for (const zone of zones) await fleet.startGateway(zone);
      for (const { ip } of fleet.gateways) await fixture.waitForReady(ip);
      await clocks.sleep(fixture.clock, WARM_UP_MS);
      return fleet;
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Starts a further gateway. */
  async startGateway(zone: string): Promise<void> {
    const number = this.gateways.length + 1;
    this.gateways.push(await fixture.startGateway(this.store, this.#net, number, { zone }));
  }

  publish(changes: ConfigurationChanges): void {
    this.store.set("op/config", createConfiguration(changes));
  }

  /** Returns the time until all gateways meet a condition; at most the time of observation. */
  async waitForAll(isMet: (gateway: fixture.TestGateway) => boolean): Promise<number> {
    const { clock } = fixture;
    const since = clock.now();
    while (!this.gateways.every(isMet) && clock.now() < since + OBSERVATION_MS)
      await clocks.sleep(clock, SAMPLE_PERIOD_MS);
    return Math.round(clock.now() - since);
  }

  /** Returns the time until all gateways apply a version of the configuration. */
  waitForVersion(version: number): Promise<number> {
    return this.waitForAll((gateway) => getVersion(gateway) === version);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway[Symbol.asyncDispose]()));
    await this.store[Symbol.asyncDispose]();
  }
}

/** Returns the version of the configuration that a gateway applies; 0 if it has none. */
export function getVersion({ running }: fixture.TestGateway): number {
  return running.kernel.use("routing").current?.configuration.version ?? 0;
}
