/**
 * Spread of what few VMs read from the platform. Before, each VM read it, so that the calls grew with the fleet; a relay must
 * not hold back a zone whose readers are frozen or cut off, and must not bring back what was replaced.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as registryReaders from "../../src/registry/registry-readers.js";
import * as registryRelay from "../../src/registry/registry-relay.js";
import * as relayFleet from "./relay-fleet.js";

const ZONES = 3;

test.describe("RegistryRelay", () => {
  test.it("lets every VM of a small fleet read by itself", async () => {
    await using relayed = await relayFleet.RelayFleet.start(
      ZONES * registryReaders.MAX_UNRELAYED_VMS,
    );
    earl.expect(relayed.listFollowers()).toEqual([]);
  });

  for (const size of [18, 48]) {
    test.it(`calls the platform no more often with ${size} VMs`, async () => {
      await using relayed = await relayFleet.RelayFleet.start(size);
      const before = relayed.registry.callCount;
      await relayed.fleet.clock.advance(20_000);
      // Each reader asks once in five seconds.
      const limit = ZONES * registryReaders.READERS_PER_ZONE * 5;
      earl.expect(relayed.registry.callCount - before <= limit).toEqual(true);
    });
  }

  test.it("brings changes and removals to every VM within a second", async () => {
    await using relayed = await relayFleet.RelayFleet.start(30);
    const vms = [...relayed.views.keys()];
    relayed.registry.set("b", "b1");
    earl.expect((await relayed.waitForValue("b", "b1", vms)) <= 1_000).toEqual(true);
    relayed.registry.remove("b");
    earl.expect((await relayed.waitForValue("b", undefined, vms)) <= 1_000).toEqual(true);
  });

  test.it("brings changes to every VM when a third of the datagrams is lost", async () => {
    await using relayed = await relayFleet.RelayFleet.start(30);
    relayed.fleet.network.datagrams.lossShare = 0.33;
    for (let number = 1; number <= 5; number += 1) {
      relayed.registry.set("b", `b${number}`);
      const vms = [...relayed.views.keys()];
      earl.expect((await relayed.waitForValue("b", `b${number}`, vms)) <= 3_000).toEqual(true);
    }
  });

  test.it(
    "does not hold back a VM that the platform answers when it answers no reader",
    async () => {
      await using relayed = await relayFleet.RelayFleet.start(30);
      const readers = relayed.listReaders();
      relayed.registry.isReachable = (vm) => !readers.includes(vm);
      await relayed.fleet.clock.advance(registryRelay.MAX_AGE_MS + 3_000);
      relayed.registry.set("b", "b1");
      const followers = [...relayed.views.keys()].filter((vm) => !readers.includes(vm));
      earl.expect((await relayed.waitForValue("b", "b1", followers)) <= 1_000).toEqual(true);
    },
  );

  // Live runners write entries that expired again within two seconds.
  test.it("drops no item that expired while the platform answered no VM", async () => {
    await using relayed = await relayFleet.RelayFleet.start(24);
    const { clock } = relayed.fleet;
    const followers = relayed.listFollowers();
    const dropped = new Set<string>();
    relayed.registry.isReachable = () => false;
    const isAlone = (vm: string): boolean => relayed.roles.get(vm)?.readsAlone === true;
    await relayed.fleet.waitUntil(() => followers.every(isAlone), 2 * registryRelay.MAX_AGE_MS);
    relayed.registry.remove("a");
    relayed.registry.isReachable = () => true;
    for (let passedMs = 0; passedMs < 1_900; passedMs += 50) {
      await clock.advance(50);
      for (const [vm, view] of relayed.views) if (!view.has("a")) dropped.add(vm);
    }
    earl.expect([...dropped]).toEqual([]);
  });

  test.it("does not hold back a zone when one of its readers is frozen", async () => {
    await using relayed = await relayFleet.RelayFleet.start(30);
    const zone = relayed.fleet.getNode("vm-0").membership.self.zone;
    const frozen = relayed
      .listReaders()
      .filter((vm) => relayed.fleet.getNode(vm).membership.self.zone === zone)
      .slice(0, 1);
    for (const vm of frozen) relayed.fleet.pause(vm);
    relayed.registry.set("b", "b1");
    const others = [...relayed.views.keys()].filter((vm) => !frozen.includes(vm));
    earl.expect((await relayed.waitForValue("b", "b1", others)) <= 2_500).toEqual(true);
    for (const vm of frozen) relayed.fleet.resume(vm);
  });

  test.it("brings changes to a zone whose readers are all frozen", async () => {
    await using relayed = await relayFleet.RelayFleet.start(30);
    const zone = relayed.fleet.getNode("vm-0").membership.self.zone;
    const isInZone = (vm: string): boolean =>
      relayed.fleet.getNode(vm).membership.self.zone === zone;
    const frozen = relayed.listReaders().filter(isInZone);
    earl.expect(frozen.length).toEqual(registryReaders.READERS_PER_ZONE);
    for (const vm of frozen) relayed.fleet.pause(vm);
    relayed.registry.set("b", "b1");
    const others = [...relayed.views.keys()].filter((vm) => !frozen.includes(vm));
    earl.expect((await relayed.waitForValue("b", "b1", others)) <= 4_000).toEqual(true);
    for (const vm of frozen) relayed.fleet.resume(vm);
  });

  // A VM whose newest revision differed from that of the others would be pulled from with each probe.
  test.it(
    "leads all VMs to the same newest revision, also by removals and unreadable items",
    async () => {
      await using relayed = await relayFleet.RelayFleet.start(24);
      const views = [...relayed.views.values()];
      const countRevisions = (): number =>
        new Set(views.map(({ newestRevision }) => newestRevision)).size;
      relayed.registry.set("b", "b1");
      relayed.registry.remove("b");
      await relayed.fleet.clock.advance(3_000);
      earl.expect(countRevisions()).toEqual(1);
      relayed.registry.set("c", undefined);
      await relayed.fleet.clock.advance(3_000);
      earl.expect(countRevisions()).toEqual(1);
      earl.expect(new Set(views.map(({ digest }) => digest)).size).toEqual(1);
    },
  );

  // What is known of the versions of runners rests on the time since which no change was missed.
  test.it("passes on since when a reader missed no change", async () => {
    await using relayed = await relayFleet.RelayFleet.start(24);
    const [follower] = relayed.listFollowers();
    const view = relayed.views.get(follower ?? "");
    const getContinuousSince = (): number => view?.continuousSince ?? Number.POSITIVE_INFINITY;
    const changedAt = relayed.fleet.clock.now();
    relayed.registry.set("b", "b1");
    await relayed.fleet.clock.advance(1_000);
    earl.expect(getContinuousSince() < changedAt).toEqual(true);
    for (const vm of relayed.listReaders()) relayed.views.get(vm)?.markGap();
    relayed.registry.set("b", "b2");
    await relayed.fleet.clock.advance(1_000);
    earl.expect(getContinuousSince() > changedAt).toEqual(true);
  });

  test.it("never shows a VM an older value after a newer one", async () => {
    await using relayed = await relayFleet.RelayFleet.start(24);
    const reverts: string[] = [];
    for (const [vm, view] of relayed.views) {
      let newest = 0;
      view.onChange((key, value) => {
        if (key !== "b" || value === undefined) return;
        if (Number(value) < newest) reverts.push(`${vm}: ${value} after ${newest}`);
        newest = Math.max(newest, Number(value));
      });
    }
    relayed.fleet.network.datagrams.lossShare = 0.3;
    const [lagging] = relayed.listReaders();
    for (let number = 1; number <= 40; number += 1) {
      relayed.registry.isReachable = (vm) => vm !== lagging || number % 10 > 5;
      relayed.registry.set("b", String(number));
      await relayed.fleet.clock.advance(300);
    }
    earl.expect(reverts).toEqual([]);
  });
});
