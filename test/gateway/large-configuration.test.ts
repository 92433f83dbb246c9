/**
 * A configuration that did not fit one message between VMs never reached the gateways that do not read the store: every pull
 * failed, and as the readers answered, these gateways counted as up to date.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as registryFixture from "./registry-fixture.js";

const NET = 118;
/** Idle routes of a configuration of nearly 1 MiB, the most that the store takes, and of steps to it. */
const GROWTH = [1_400, 2_800, 4_200, 5_800] as const;

test.describe("gateways whose configuration is as large as the store takes", () => {
  test.it("all follow each growth, and a change of a route afterwards, in time", async () => {
    await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 });
    const late: [number, number][] = [];
    let version = 4;
    const publish = async (idleRoutes: number, service: string): Promise<void> => {
      version += 3;
      fleet.publish({ version, idleRoutes, service });
      const tookMs = await fleet.waitForVersion(version);
      if (tookMs > registryFixture.CHANGE_LIMIT_MS) late.push([idleRoutes, tookMs]);
    };
    for (const idleRoutes of GROWTH) await publish(idleRoutes, "plain");
    await publish(GROWTH[3], "other");
    earl.expect(late).toEqual([]);
    const configuration = { version, idleRoutes: GROWTH[3], service: "other" };
    const bytes = JSON.stringify(registryFixture.createConfiguration(configuration)).length;
    earl.expect(bytes > 1_000_000 && bytes <= 1_048_576).toEqual(true);
  });
});
