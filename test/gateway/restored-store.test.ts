/**
 * A store that comes back from a copy gives out its revisions again. Gateways compared revisions alone: they took no change of the
 * configuration or of the runners until the revisions had grown past the lost ones.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as fixture from "./gateway-fixture.js";
import * as registryFixture from "./registry-fixture.js";

const NET = 117;
const LOST_CHANGES = 12;
const CALM_MS = 3_200;
const { CHANGE_LIMIT_MS } = registryFixture;

const entry = (changes: Record<string, unknown> = {}) =>
  examples.createRunnerEntry("127.0.0.1:9", changes);

function findRunner({ running }: fixture.TestGateway, id: string) {
  return running.kernel.use("runners").find(id)?.runner;
}

test.describe("gateways whose store comes back from a copy", () => {
  test.it("follow later changes of the configuration and of the runners", async () => {
    await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 });
    const { store } = fleet;
    store.set("servers/leaving", entry());
    store.set("servers/reborn", entry({ born: 5 }));
    const copy = store.copy();
    store.set("servers/leaving", entry({ state: "draining" }));
    for (let change = 1; change <= LOST_CHANGES; change += 1)
      fleet.publish({ version: 4 + change });
    await fleet.waitForVersion(4 + LOST_CHANGES);
    store.restore(copy);
    await clocks.sleep(fixture.clock, CALM_MS);
    // The copy shows an older version and the runner as ready; neither was written again.
    earl
      .expect(fleet.gateways.map(registryFixture.getVersion))
      .toEqual(fleet.gateways.map(() => 4 + LOST_CHANGES));
    const isLeaving = (gateway: fixture.TestGateway) => findRunner(gateway, "leaving")?.leaving;
    earl.expect(fleet.gateways.map(isLeaving)).toEqual(fleet.gateways.map(() => true));
    store.set("servers/joined", entry());
    const joinedMs = await fleet.waitForAll(
      (gateway) => findRunner(gateway, "joined") !== undefined,
    );
    store.set("servers/reborn", entry({ born: 6 }));
    const rebornMs = await fleet.waitForAll(
      (gateway) => findRunner(gateway, "reborn")?.bornAt === 6,
    );
    store.remove("servers/joined");
    const goneMs = await fleet.waitForAll((gateway) => findRunner(gateway, "joined") === undefined);
    fleet.publish({ version: 40, service: "other" });
    const changedMs = await fleet.waitForVersion(40);
    const times = { joinedMs, rebornMs, goneMs, changedMs };
    const late = Object.entries(times).filter(([, tookMs]) => tookMs > CHANGE_LIMIT_MS);
    earl.expect(late).toEqual([]);
  });

  test.it("do not go back when a lost version is written again", async () => {
    await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 });
    const copy = fleet.store.copy();
    fleet.publish({ version: 7, service: "other" });
    await fleet.waitForVersion(7);
    fleet.store.restore(copy);
    const seen = new Set<number>();
    const isStable = (gateway: fixture.TestGateway): boolean => {
      seen.add(registryFixture.getVersion(gateway));
      return false;
    };
    setTimeout(() => {
      fleet.publish({ version: 7, service: "other" });
    }, 1_000);
    await fleet.waitForAll(isStable);
    earl.expect([...seen]).toEqual([7]);
  });

  // An answer of an older era is that of an outdated store, or of none.
  test.it(
    "keep what they know when the era falls back, and follow the store again later",
    async () => {
      await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 });
      const { store } = fleet;
      store.restore(store.copy());
      await clocks.sleep(fixture.clock, 1_000);
      for (const era of ["1", undefined, "soon"]) {
        store.setEra(era);
        fleet.publish({ version: 7, service: "other" });
        await clocks.sleep(fixture.clock, 1_500);
        earl
          .expect(fleet.gateways.map(registryFixture.getVersion))
          .toEqual(fleet.gateways.map(() => 4));
      }
      store.setEra("2");
      earl.expect((await fleet.waitForVersion(7)) <= CHANGE_LIMIT_MS).toEqual(true);
    },
  );
});
