/** The seeds of the settings in place of a list of VMs, which the platform does not keep. */
import type * as configuration from "../configuration/types.js";
import * as network from "../protocol/network.js";
import type * as liveSettings from "./live-settings.js";
import type * as types from "./types.js";

/**
 * Creates a list that names the seeds by their addresses. Each read of it meets them again, so that a
 * fleet that fell apart finds together, and follows the settings as they change.
 */
export function createSeedList(settings: liveSettings.LiveSettings): configuration.PlatformClient {
  return {
    listVms: () => Promise.resolve(listSeeds(settings.current)),
    readConfiguration: () => Promise.reject(new Error("seeds hold no configuration")),
    watchConfiguration: () => Promise.reject(new Error("seeds hold no configuration")),
  };
}

function listSeeds(settings: types.GatewaySettings): readonly configuration.ListedVm[] {
  const { seeds, peerAddress, callerAddress, region, zone } = settings;
  const others = seeds.filter((seed) => seed.host !== peerAddress.host);
  return others.map((seed) => ({
    vm: network.createSeedName(seed),
    host: seed.host,
    callerPort: callerAddress.port,
    peerPort: seed.port,
    region,
    zone,
    state: "live",
  }));
}
