/** Kernel with stubbed services of fixed state, for tests of the administration API. */
import * as container from "../../src/kernel/container.js";
import type * as membership from "../../src/membership/types.js";
import * as examples from "../settings/examples.js";

/** Administration token for tests. */
export const ADMIN_TOKEN = "admin-token-for-tests";
/** Id of the only request that holds a lease. */
export const REQUEST_ID = "sealed-session.7";

const SELF: membership.Member = {
  vm: "vm-1",
  incarnation: 5,
  region: "lagos",
  zone: "ikeja",
  peer: { host: "127.0.0.1", port: 1 },
  caller: { host: "127.0.0.1", port: 2 },
  state: "alive",
};

/** Creates the kernel; without a token the administration API is disabled. */
export function createFakeKernel(adminToken: string | undefined): container.Kernel {
  const kernel = container.createKernel();
  const document = examples.readExample("lagos.json");
  const services = {
    settings: { adminToken },
    membership: { self: SELF, listMembers: () => [SELF] },
    configuration: {
      ready: true,
      current: { document, revision: 1, digest: "abc" },
      lastConflict: { revision: 1, digests: ["abc", "abd"] },
      lastRefusal: { revision: 2, faults: ["runners[0].zone: unknown zone"] },
    },
    capacity: {
      findAllocator: (runner: string) => (runner === "iono-p1" ? "vm-1" : undefined),
      listLeases: () => [
        {
          id: REQUEST_ID,
          attempt: 1,
          runner: "iono-d1",
          holder: "vm-1",
          caller: "surveyors",
          slots: 1,
          pieces: 40,
        },
      ],
    },
    orders: { listDrifts: () => [{ runner: "iono-d1", reason: "paced" }] },
    crashes: { listQuarantined: () => ["f1"] },
    modelCalls: { activeCount: 1 },
    plainCalls: { activeCount: 2 },
  };
  for (const [name, service] of Object.entries(services)) {
    kernel.register(name as "settings", () => service as never);
  }
  return kernel;
}
