/** Health, readiness and metrics endpoints. */
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as membership from "../membership/types.js";

/** Creates `/healthz`, `/readyz` and `/metrics`. */
export function createHealthRoutes(kernel: kernels.Kernel): hapi.ServerRoute[] {
  return [
    { method: "GET", path: "/healthz", handler: () => ({ status: "ok" }) },
    {
      method: "GET",
      path: "/readyz",
      handler: (_request, toolkit) => {
        const ready = kernel.use("configuration").ready;
        const state = kernel.use("membership").self.state;
        const canReceive = ready && state !== membership.MEMBER_STATE.leaving;
        return toolkit.response({ ready, state }).code(canReceive ? 200 : 503);
      },
    },
    {
      method: "GET",
      path: "/metrics",
      handler: async (_request, toolkit) =>
        toolkit.response(await kernel.use("metrics").format()).type("text/plain"),
    },
  ];
}
