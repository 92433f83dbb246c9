/**
 * Fleet and document of the fault-injection tests (fault matrix): three zones, six VMs, one plain
 * service, one model.
 */
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

/** A booking service with one non-idempotent and one idempotent operation. */
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

/** Name of the only model. */
export const MODEL_NAME = "notes";
const KV_BYTES_PER_TOKEN = 100_000;

function createRunner(name: string, pool: string, index: number): document.Runner {
  return {
    name,
    host: "127.0.8.1",
    port: 9100 + index,
    zone: ZONES[index % ZONES.length] ?? ZONES[0],
    pool,
    slots: 20,
    pieces: 4000,
    prefillTokensPerSecond: 8000,
    stepMs: 25,
    checksFencing: true,
  };
}

/** Three prefill and three decode runners, one of each role in every zone. */
export const RUNNERS: readonly document.Runner[] = [
  ...[0, 1, 2].map((index) => createRunner(`prefill-${index}`, "prefill", index)),
  ...[3, 4, 5].map((index) => createRunner(`decode-${index - 3}`, "decode", index)),
];

/** The document in force at the start. */
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
      models: [MODEL_NAME],
      services: [SERVICE.name],
      tolerance: { firstTokenMs: 4000, betweenTokensMs: 200, deadlineMs: 30_000 },
    },
  ],
  models: [
    {
      name: MODEL_NAME,
      version: "1",
      adapters: [],
      weightBytes: 1_000_000_000,
      tokensPerPiece: 16,
      kvBytesPerToken: KV_BYTES_PER_TOKEN,
      maxOutputTokens: 1000,
    },
  ],
  pools: [
    { name: "prefill", role: "prefill", model: MODEL_NAME },
    { name: "decode", role: "decode", model: MODEL_NAME },
  ],
  runners: [...RUNNERS],
  services: [SERVICE],
  links: ZONES.flatMap((from) => ZONES.map((to) => ({ from, to, bytesPerSecond: 10e9 }))),
  weightStore: { bytesPerSecond: 10e9 },
};
