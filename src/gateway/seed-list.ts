/** The seeds of the settings in place of a list of VMs, which the platform does not keep. */
import type * as configuration from "../configuration/types.js";
import * as network from "../protocol/network.js";
import type * as types from "./types.js";

/**
 * Creates a list that names the seeds by their addresses. Each read of it meets them again, so that a
 * fleet that fell apart finds together.
 */
export function createSeedList(settings: types.GatewaySettings): configuration.PlatformClient {
  const { seeds, peerAddress } = settings;
  const others = seeds.filter((seed) => seed.host !== peerAddress.host);
  const listed = others.map((seed) => ({
    vm: network.createSeedName(seed),
    host: seed.host,
    callerPort: settings.callerAddress.port,
    peerPort: seed.port,
    region: settings.region,
    zone: settings.zone,
    state: "live" as const,
  }));
  return {
    listVms: () => Promise.resolve(listed),
    readConfiguration: () => Promise.reject(new Error("seeds hold no configuration")),
    watchConfiguration: () => Promise.reject(new Error("seeds hold no configuration")),
  };
}
