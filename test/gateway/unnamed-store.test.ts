/**
 * A store that came back from a copy was told by the era that it names alone: with one that names none, a route that the operator
 * added then got 404 at every gateway until the revisions had grown past the lost ones.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as fixture from "./gateway-fixture.js";
import * as registryFixture from "./registry-fixture.js";

const NET = 152;
const UNNAMED_NET = 155;
/** Time after which answers of a store that no longer names its era are taken, with a poll under way and a refused read. */
const UNNAMED_LIMIT_MS = 12_000;
const LOST_CHANGES = 12;
const CALM_MS = 3_200;
const { CHANGE_LIMIT_MS, THREE_ZONES } = registryFixture;
const HTTP_NOT_FOUND = 404;

interface Play {
  readonly name: string;
  /** What happens between the return and the change. */
  readonly run: (fleet: registryFixture.RegistryFleet) => Promise<void> | void;
}

const PLAYS: readonly Play[] = [
  { name: "nothing is written again", run: () => undefined },
  {
    name: "what was lost is written again at once",
    run: (fleet) => {
      fleet.publish({ version: 4 + LOST_CHANGES });
    },
  },
  {
    name: "the store goes back once more 0.6 s later",
    run: async ({ store }) => {
      const copy = store.copy();
      store.set("servers/other", {});
      await clocks.sleep(fixture.clock, 600);
      store.restore(copy);
    },
  },
];

/** Loses some versions of the configuration. */
async function restore(fleet: registryFixture.RegistryFleet): Promise<void> {
  const copy = fleet.store.copy();
  for (let change = 1; change <= LOST_CHANGES; change += 1) fleet.publish({ version: 4 + change });
  await fleet.waitForVersion(4 + LOST_CHANGES);
  fleet.store.restore(copy);
}

/** Adds a route, and returns how long it takes until all gateways apply it, and at how many callers of it get 404 then. */
async function addRoute(fleet: registryFixture.RegistryFleet, version: number) {
  fleet.publish({ version, idleRoutes: 1 });
  const tookMs = await fleet.waitForVersion(version);
  const answers = await Promise.all(
    fleet.gateways.map(({ ip }) => fixture.send(ip, "/idle-000000/x", { "deadline-ms": "300" })),
  );
  return { tookMs, missing: answers.filter(({ status }) => status === HTTP_NOT_FOUND).length };
}

for (const era of ["1", "none"])
  test.describe(`gateways whose store comes back from a copy and names era ${era}`, () => {
    for (const { name, run } of PLAYS)
      test.it(`serve a route that is added later; ${name}`, async () => {
        const options = { zones: THREE_ZONES, era };
        await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 }, options);
        await restore(fleet);
        await run(fleet);
        await clocks.sleep(fixture.clock, CALM_MS);
        const { tookMs, missing } = await addRoute(fleet, 40);
        earl.expect([tookMs <= CHANGE_LIMIT_MS, missing]).toEqual([true, 0]);
      });

    test.it("serve a route that was added, lost and written again", async () => {
      await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 }, { era });
      const copy = fleet.store.copy();
      await addRoute(fleet, 5);
      fleet.store.restore(copy);
      await clocks.sleep(fixture.clock, 1_000);
      const { missing } = await addRoute(fleet, 5);
      await clocks.sleep(fixture.clock, CALM_MS);
      const later = await addRoute(fleet, 6);
      earl.expect([missing, later.missing, later.tookMs <= CHANGE_LIMIT_MS]).toEqual([0, 0, true]);
    });

    test.it("serve it also at a gateway that starts after the return", async () => {
      await using fleet = await registryFixture.RegistryFleet.start(NET, { version: 4 }, { era });
      await restore(fleet);
      await fleet.startGateway("a");
      await clocks.sleep(fixture.clock, CALM_MS);
      const { tookMs, missing } = await addRoute(fleet, 40);
      earl.expect([tookMs <= CHANGE_LIMIT_MS, missing]).toEqual([true, 0]);
    });
  });

test.describe("gateways whose store no longer names its era", () => {
  // They refused its answers until they started again.
  test.it("follow it after seconds, and when it then goes back", async () => {
    await using fleet = await registryFixture.RegistryFleet.start(UNNAMED_NET, { version: 4 });
    fleet.store.setEra(undefined);
    fleet.publish({ version: 7 });
    const isTaken = (gateway: fixture.TestGateway) => registryFixture.getVersion(gateway) === 7;
    const until = fixture.clock.now() + UNNAMED_LIMIT_MS;
    while (!fleet.gateways.every(isTaken) && fixture.clock.now() < until)
      await clocks.sleep(fixture.clock, 100);
    earl.expect(fleet.gateways.map(registryFixture.getVersion)).toEqual([7, 7, 7, 7, 7]);
    await restore(fleet);
    await clocks.sleep(fixture.clock, CALM_MS);
    const { tookMs, missing } = await addRoute(fleet, 40);
    earl.expect([tookMs <= CHANGE_LIMIT_MS, missing]).toEqual([true, 0]);
  });
});
