/**
 * One route more made every follower pull the whole configuration, so that on slow links or a busy processor a change took longer
 * the more routes there were.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as registryFixture from "./registry-fixture.js";

const NET = 119;
const IDLE_ROUTES = 2_800;
/** Many times a route, and a fraction of the configuration. */
const MAX_RECEIVED_BYTES = 4_000;

test.describe("gateways that follow a change of a large configuration", () => {
  test.it("receive what changed, not the configuration", async () => {
    await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 });
    fleet.publish({ version: 7, idleRoutes: IDLE_ROUTES });
    await fleet.waitForVersion(7);
    fleet.publish({ version: 10, idleRoutes: IDLE_ROUTES + 1 });
    const tookMs = await fleet.waitForVersion(10);
    const received = fleet.gateways.map(({ running }) => {
      const { origin } = running.kernel.use("routing");
      return origin?.times?.receivedBytes ?? 0;
    });
    earl.expect(received.filter((bytes) => bytes > MAX_RECEIVED_BYTES)).toEqual([]);
    earl.expect(tookMs < registryFixture.CHANGE_LIMIT_MS).toEqual(true);
    const routes = fleet.gateways.map(
      ({ running }) => running.kernel.use("routing").current?.configuration.routes.length,
    );
    earl.expect(new Set(routes).size).toEqual(1);
  });
});
