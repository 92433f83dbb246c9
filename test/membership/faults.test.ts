import * as test from "node:test";
import * as earl from "earl";
import * as types from "../../src/membership/types.js";
import * as documents from "./documents.js";
import * as fleets from "./fleet.js";

const { MEMBER_STATE } = types;
const NODES = 8;
const FIRST = ["vm-0", "vm-1", "vm-2"];
const SECOND = ["vm-3", "vm-4", "vm-5", "vm-6", "vm-7"];

async function startFleet(nodes = NODES): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet(7);
  fleet.platform.publish(documents.createDocument(1));
  await fleet.start(nodes);
  await fleet.waitUntil(() => fleet.isAliveCount(nodes) && fleet.isRevisionActive(1), 20_000);
  return fleet;
}

/** Partitions the fleet and waits until each side sees only its own members as alive. */
async function startPartition(fleet: fleets.TestFleet): Promise<void> {
  fleet.setPartition(FIRST, SECOND, true);
  await fleet.waitUntil(
    () =>
      fleet.nodes.every((node) => {
        const side = FIRST.includes(node.vm) ? FIRST : SECOND;
        return node.membership.listAlive().length === side.length;
      }),
    30_000,
  );
}

test.describe("Fleet under faults", () => {
  test.it("converges after two nodes die and a third resumes from a long pause", async () => {
    await using fleet = await startFleet();
    fleet.pause("vm-5");
    await fleet.kill("vm-1");
    await fleet.clock.advance(2000);
    await fleet.kill("vm-6");
    await fleet.clock.advance(30_000);
    fleet.resume("vm-5");
    await fleet.waitUntil(() => fleet.isAliveCount(NODES - 2), 30_000);
  });

  // When a partition heals, each side receives the outdated accusations of the other. Applied without
  // a local probe, they would mark members as failed on their own side.
  test.it("marks no member as failed on its own side when a partition heals", async () => {
    await using fleet = await startFleet();
    await startPartition(fleet);
    const wrongStates: string[] = [];
    for (const node of fleet.nodes) {
      node.membership.onChange((member) => {
        const isOwnSide = FIRST.includes(node.vm) === FIRST.includes(member.vm);
        const isFailed = member.state !== MEMBER_STATE.alive;
        if (isOwnSide && isFailed)
          wrongStates.push(`${node.vm} sees ${member.vm} as ${member.state}`);
      });
    }
    fleet.setPartition(FIRST, SECOND, false);
    await fleet.waitUntil(() => fleet.isAliveCount(NODES), 30_000);
    await fleet.clock.advance(20_000);
    earl.expect(wrongStates).toEqual([]);
  });

  test.it(
    "keeps both sides of a partition in service and converges on the newer document after it",
    async () => {
      await using fleet = await startFleet();
      fleet.platform.isReachable = (vm) => FIRST.includes(vm);
      await startPartition(fleet);
      fleet.platform.publish(documents.createDocument(2));
      await fleet.clock.advance(10_000);
      const second = SECOND.map((vm) => fleet.getNode(vm).configuration);
      earl.expect(second.every(({ current }) => current?.revision === 1)).toEqual(true);
      fleet.setPartition(FIRST, SECOND, false);
      await fleet.waitUntil(() => fleet.isRevisionActive(2), 20_000);
    },
  );

  test.it("sees a leaving node as leaving again after a pause of the node", async () => {
    await using fleet = await startFleet();
    const { membership } = fleet.getNode("vm-4");
    void membership.startLeaving();
    await fleet.waitUntil(() => fleet.isSeenAs("vm-4", MEMBER_STATE.leaving), 3000);
    fleet.pause("vm-4");
    await fleet.clock.advance(20_000);
    fleet.resume("vm-4");
    await fleet.waitUntil(() => fleet.isSeenAs("vm-4", MEMBER_STATE.leaving), 30_000);
  });

  test.it(
    "replicates each new document after the nodes that watched the platform died",
    async () => {
      await using fleet = await startFleet();
      for (const revision of [2, 3]) {
        for (const vm of fleet.platform.listWatchers().slice(0, 2)) await fleet.kill(vm);
        fleet.platform.publish(documents.createDocument(revision));
        await fleet.waitUntil(() => fleet.isRevisionActive(revision), 20_000);
      }
    },
  );

  test.it("informs a larger fleet within three seconds that a node is leaving", async () => {
    const nodes = 34;
    await using fleet = await startFleet(nodes);
    void fleet.getNode("vm-9").membership.startLeaving();
    await fleet.waitUntil(() => fleet.isSeenAs("vm-9", MEMBER_STATE.leaving), 3000);
  });
});
