/** Small valid documents for tests. */
import type * as document from "../../src/settings/document.js";

/** Returns a valid document; a different `operator` makes two of the same revision differ. */
export function createDocument(revision: number, operator = "operator-1"): document.FleetDocument {
  return {
    format: 1,
    revision,
    operator,
    regions: [{ name: "region-1", zones: ["zone-a", "zone-b", "zone-c"] }],
    callers: [],
    models: [],
    pools: [],
    runners: [],
    services: [],
    links: [],
    weightStore: { bytesPerSecond: 1_000_000 },
  };
}
