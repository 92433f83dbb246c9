/** The read-only administration API, authenticated by a bearer token. */
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as codes from "../protocol/result-codes.js";
import * as credentials from "../settings/credentials.js";
import * as status from "./status.js";

/**
 * Creates the routes of the administration API; none if no administration token is configured.
 *
 * @example server.route([...createAdminRoutes(kernel)]);
 */
export function createAdminRoutes(kernel: kernels.Kernel): hapi.ServerRoute[] {
  const token = kernel.use("settings").adminToken;
  if (token === undefined) return [];
  const tokenHash = credentials.computeCredentialHash(token);
  return [
    {
      method: "GET",
      path: "/admin/v1/status",
      handler: (request, toolkit) => {
        checkToken(request.headers.authorization, tokenHash);
        return toolkit
          .response(status.createNodeStatus(kernel))
          .header("cache-control", "no-store");
      },
    },
  ];
}

/** @throws RequestError `adminTokenInvalid` */
function checkToken(authorization: unknown, tokenHash: string): void {
  const header = typeof authorization === "string" ? authorization : undefined;
  const credential = credentials.parseBearer(header);
  if (credential !== undefined && credentials.checkCredential(credential, tokenHash)) return;
  throw new codes.RequestError(codes.RESULT_CODES.adminTokenInvalid, codes.RAN.no);
}
