/**
 * Provides the seeds from the settings as the list of VMs, since the platform has no list of VMs.
 */
import type * as configuration from "../configuration/types.js";
import * as network from "../protocol/network.js";
import type * as liveSettings from "./live-settings.js";
import type * as types from "./types.js";

/**
 * Creates a platform client that lists the seeds, named by their addresses, and provides no
 * configuration. Each read uses the current settings. Membership polls this list repeatedly, so the
 * parts of a partitioned fleet merge again.
 */
export function createSeedListClient(
  settings: liveSettings.LiveSettings,
): configuration.PlatformClient {
  return {
    listVms: () => Promise.resolve(listSeeds(settings.current)),
    readConfiguration: () => Promise.reject(new Error("the seed list provides no configuration")),
    watchConfiguration: () => Promise.reject(new Error("the seed list provides no configuration")),
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
