/** Gateways of one zone, of which two read the platform's store for all, and the times at which they follow its changes. */
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
const GATEWAY_COUNT = 5;

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

/** Five gateways and their store. */
export class RegistryFleet implements AsyncDisposable {
  readonly store = new stores.StoreStandIn();
  readonly gateways: fixture.TestGateway[] = [];

  /** @param net - second part of the gateways' addresses. */
  static async start(net: number, configuration: ConfigurationChanges): Promise<RegistryFleet> {
    const fleet = new RegistryFleet();
    await fleet.store.start();
    fleet.publish(configuration);
    try {
      for (let number = 1; number <= GATEWAY_COUNT; number += 1)
        fleet.gateways.push(await fixture.startGateway(fleet.store, net, number));
      for (const { ip } of fleet.gateways) await fixture.waitForReady(ip);
      await clocks.sleep(fixture.clock, WARM_UP_MS);
      return fleet;
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
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
