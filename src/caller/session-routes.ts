/** `GET /v1/address`: the nodes that a caller should use, with a new session. */
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as addresses from "./addresses.js";
import * as admission from "./admission.js";

/** Creates `GET /v1/address`, which returns node addresses and a new session. */
export function createSessionRoutes(kernel: kernels.Kernel): hapi.ServerRoute[] {
  return [
    {
      method: "GET",
      path: "/v1/address",
      handler: (request) => {
        const { caller } = admission.verifyCaller(kernel, request.headers);
        return {
          addresses: addresses.listAddresses(kernel),
          ttlMs: addresses.ADDRESS_TTL_MS,
          session: kernel.use("sessions").create(caller.name),
        };
      },
    },
  ];
}
