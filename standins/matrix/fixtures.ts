/** The fleet and the document that the matrix uses: three zones, six nodes, one plain service. */
import type * as document from "../../src/settings/document.js";

/** A VM of the matrix. */
export interface MatrixVm {
  readonly vm: string;
  readonly zone: string;
  readonly host: string;
}

const ZONES = ["zone-a", "zone-b", "zone-c"] as const;

/** Two VMs in each zone. */
export const VMS: readonly MatrixVm[] = ZONES.flatMap((zone, index) =>
  [1, 2].map((number) => ({
    vm: `vm-${zone.slice(-1)}${number}`,
    zone,
    host: `127.0.${index + 1}.${number}`,
  })),
);

const DEADLINE_MS = 5000;

/** Bookings: one operation that may not be repeated. */
export const SERVICE: document.PlainService = {
  name: "booking-app",
  displayName: "Bookings",
  backends: ZONES.map((zone, index) => ({
    name: `back-${zone.slice(-1)}`,
    host: "127.0.9.1",
    port: 9001 + index,
    zone,
  })),
  operations: [
    { method: "POST", path: "/bookings", idempotent: false, deadlineMs: DEADLINE_MS },
    { method: "GET", path: "/status", idempotent: true, deadlineMs: DEADLINE_MS },
  ],
};

/** The document in force. */
export const DOCUMENT: document.FleetDocument = {
  format: 1,
  revision: 1,
  operator: "matrix",
  regions: [{ name: "matrix", zones: [...ZONES] }],
  callers: [
    {
      name: "cranes",
      displayName: "Cranes",
      credentialSha256: "0".repeat(64),
      priority: 0,
      share: 1,
      models: [],
      services: [SERVICE.name],
      tolerance: { firstTokenMs: 1000, betweenTokensMs: 100, deadlineMs: DEADLINE_MS },
    },
  ],
  models: [],
  pools: [],
  runners: [],
  services: [SERVICE],
  links: [],
  weightStore: { bytesPerSecond: 1 },
};
