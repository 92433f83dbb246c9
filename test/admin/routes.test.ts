import * as test from "node:test";
import * as hapi from "@hapi/hapi";
import * as earl from "earl";
import * as routes from "../../src/admin/routes.js";
import * as status from "../../src/admin/status.js";
import * as fakeKernel from "./fake-kernel.js";

const STATUS_PATH = "/admin/v1/status";

async function readStatus(
  adminToken: string | undefined,
  authorization: string,
): Promise<hapi.ServerInjectResponse> {
  await using kernel = fakeKernel.createFakeKernel(adminToken);
  const server = hapi.server();
  server.route(routes.createAdminRoutes(kernel));
  return await server.inject({ url: STATUS_PATH, headers: { authorization } });
}

test.describe("GET /admin/v1/status", () => {
  test.it("responds with the node's status, which contains no request ids", async () => {
    const token = fakeKernel.ADMIN_TOKEN;
    const response = await readStatus(token, `Bearer ${token}`);
    earl.expect(response.statusCode).toEqual(200);
    const parsed = status.nodeStatusSchema.parse(JSON.parse(response.payload));
    earl.expect(parsed.configuration.lastRefusal?.revision).toEqual(2);
    earl.expect(parsed.usage).toEqual([{ caller: "surveyors", leases: 1, slots: 1, pieces: 40 }]);
    earl.expect(parsed.allocators[0]).toEqual({ runner: "iono-p1", vm: "vm-1" });
    earl.expect(response.payload.includes("sealed-session")).toEqual(false);
  });

  test.it("rejects a missing token, a wrong one and Basic authentication", async () => {
    for (const header of ["", "Bearer wrong", `Basic ${fakeKernel.ADMIN_TOKEN}`]) {
      const response = await readStatus(fakeKernel.ADMIN_TOKEN, header);
      earl.expect(response.statusCode === 200).toEqual(false);
      earl.expect(response.payload.includes("vm-1")).toEqual(false);
    }
  });

  test.it("is disabled if no token is configured", async () => {
    earl.expect((await readStatus(undefined, "Bearer ")).statusCode).toEqual(404);
  });
});
