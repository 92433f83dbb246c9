/** `GET /v1/address`: which nodes to use, with a fresh session. */
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as addresses from "./addresses.js";
import * as admission from "./admission.js";

/** Creates the route of address answers. */
export function createSessionRoutes(kernel: kernels.Kernel): hapi.ServerRoute[] {
  return [
    {
      method: "GET",
      path: "/v1/address",
      handler: (request) => {
        const { caller } = admission.checkCaller(kernel, request.headers);
        return {
          addresses: addresses.listAddresses(kernel),
          ttlMs: addresses.ADDRESS_TTL_MS,
          session: kernel.use("sessions").create(caller.name),
        };
      },
    },
  ];
}
