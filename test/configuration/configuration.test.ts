import * as test from "node:test";
import * as earl from "earl";
import * as documents from "../membership/documents.js";
import * as fleets from "../membership/fleet.js";

const NODES = 8;

async function startFleet(revision: number): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet();
  fleet.platform.publish(documents.createDocument(revision));
  await fleet.start(NODES);
  await fleet.waitUntil(
    () => fleet.isAliveCount(NODES) && fleet.isRevisionActive(revision),
    10_000,
  );
  return fleet;
}

test.describe("Configuration", () => {
  test.it("becomes active on all nodes within 6 s", async () => {
    await using fleet = await startFleet(1);
    fleet.platform.publish(documents.createDocument(2));
    const tookMs = await fleet.waitUntil(() => fleet.isRevisionActive(2), 6000);
    earl.expect(tookMs < 6000).toEqual(true);
  });

  test.it("becomes active within 6 s when only one node reaches the platform", async () => {
    await using fleet = await startFleet(1);
    const reader = findWatcher(fleet);
    fleet.platform.isReachable = (vm) => vm === reader;
    await fleet.clock.advance(30_000);
    fleet.platform.publish(documents.createDocument(2));
    await fleet.waitUntil(() => fleet.isRevisionActive(2), 6000);
  });

  // A restarted node has no document, so that a stale document from the platform is newer than none.
  test.it("stays at the newest revision when the platform returns an older one", async () => {
    await using fleet = await startFleet(5);
    fleet.platform.publish(documents.createDocument(4));
    for (const { vm } of fleet.nodes) {
      await fleet.kill(vm);
      const start = fleet.startNode(vm);
      await fleet.waitUntil(() => fleet.getNode(vm).configuration.ready, 10_000);
      const node = await start;
      earl.expect(node.configuration.current?.revision).toEqual(5);
    }
    await fleet.clock.advance(60_000);
    earl.expect(fleet.isRevisionActive(5)).toEqual(true);
  });

  test.it(
    "converges on one of two documents of the same revision and reports the conflict",
    async () => {
      await using fleet = await startFleet(1);
      fleet.getNode("vm-0").configuration.apply({
        revision: 2,
        document: documents.createDocument(2, "operator-1"),
      });
      fleet.getNode("vm-5").configuration.apply({
        revision: 2,
        document: documents.createDocument(2, "operator-2"),
      });
      await fleet.waitUntil(() => fleet.isRevisionActive(2) && countDigests(fleet) === 1, 10_000);
      const reporting = fleet.nodes.filter(
        (node) => node.configuration.lastConflict?.revision === 2,
      );
      earl.expect(reporting.length > 0).toEqual(true);
    },
  );

  test.it("refuses an invalid document and keeps the active one", async () => {
    await using fleet = await startFleet(1);
    fleet.platform.publish({ ...documents.createDocument(2), format: 2 } as never);
    await fleet.clock.advance(5000);
    earl.expect(fleet.isRevisionActive(1)).toEqual(true);
    const refusals = fleet.nodes.filter((node) => node.configuration.lastRefusal?.revision === 2);
    earl.expect(refusals.length > 0).toEqual(true);
    fleet.platform.publish(documents.createDocument(3));
    await fleet.waitUntil(() => fleet.isRevisionActive(3), 6000);
  });

  test.it("is pulled from peers by a node that starts while the platform is down", async () => {
    await using fleet = await startFleet(3);
    fleet.platform.isReachable = () => false;
    await fleet.kill("vm-2");
    const start = fleet.startNode("vm-2");
    await fleet.waitUntil(() => fleet.getNode("vm-2").configuration.ready, 20_000);
    await start;
    earl.expect(fleet.isRevisionActive(3)).toEqual(true);
  });

  test.it("becomes active within 12 s after an outage of the platform", async () => {
    await using fleet = await startFleet(3);
    fleet.platform.isReachable = () => false;
    await fleet.clock.advance(60_000);
    earl.expect(fleet.isRevisionActive(3)).toEqual(true);
    fleet.platform.publish(documents.createDocument(4));
    fleet.platform.isReachable = () => true;
    await fleet.waitUntil(() => fleet.isRevisionActive(4), 12_000);
  });

  test.it(
    "causes at most 1.5 times as many platform calls in a fleet of 24 nodes as in one of 8",
    async () => {
      const small = await countCalls(8);
      const large = await countCalls(24);
      earl.expect(large <= small * 1.5).toEqual(true);
    },
  );
});

/** Returns the VM of a node whose watch is pending at the platform. */
function findWatcher(fleet: fleets.TestFleet): string {
  const watcher = fleet.platform.listWatchers()[0];
  if (watcher === undefined) throw new Error("no node watches the platform");
  return watcher;
}

function countDigests(fleet: fleets.TestFleet): number {
  return new Set(fleet.nodes.map((node) => node.configuration.current?.digest)).size;
}

/** Counts the calls to the platform in 40 seconds without changes. */
async function countCalls(nodes: number): Promise<number> {
  await using fleet = new fleets.TestFleet();
  fleet.platform.publish(documents.createDocument(1));
  await fleet.start(nodes);
  await fleet.waitUntil(() => fleet.isAliveCount(nodes) && fleet.isRevisionActive(1), 30_000);
  await fleet.clock.advance(10_000);
  const before = { ...fleet.platform.counts };
  await fleet.clock.advance(40_000);
  const { counts } = fleet.platform;
  return counts.configuration + counts.list - before.configuration - before.list;
}
