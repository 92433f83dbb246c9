/** Failure detection by datagrams: its cost, and what loss and one-way cuts do to it. */
import * as test from "node:test";
import * as earl from "earl";
import * as types from "../../src/membership/types.js";
import * as fleets from "./fleet.js";

const { MEMBER_STATE } = types;
const REST_MS = 20_000;
/** Probe periods in `REST_MS`, at the shortest period that jitter allows. */
const MAX_PROBES = REST_MS / 450;

async function startFleet(nodes: number): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet();
  await fleet.start(nodes);
  await fleet.waitUntil(() => fleet.isAliveCount(nodes), 30_000);
  await fleet.clock.advance(10_000);
  return fleet;
}

/** Records every member that any node sees in a state other than alive. */
function recordFailures(fleet: fleets.TestFleet): string[] {
  const failures: string[] = [];
  for (const node of fleet.nodes) {
    node.membership.onChange(({ vm, state }) => {
      if (state !== MEMBER_STATE.alive) failures.push(`${node.vm} sees ${vm} as ${state}`);
    });
  }
  return failures;
}

test.describe("Probes by datagram", () => {
  for (const nodes of [8, 64]) {
    test.it(`cost a VM at rest one request and one reply a period with ${nodes} VMs`, async () => {
      await using fleet = await startFleet(nodes);
      const { datagrams } = fleet.network;
      const framesBefore = fleet.network.sentFrames;
      const before = datagrams.sentCount;
      await fleet.clock.advance(REST_MS);
      const sent = datagrams.sentCount - before;
      earl.expect(sent <= 2 * nodes * MAX_PROBES).toEqual(true);
      earl.expect(sent > nodes * MAX_PROBES).toEqual(true);
      const framesPerSecond = (fleet.network.sentFrames - framesBefore) / nodes / (REST_MS / 1000);
      earl.expect(framesPerSecond < 2).toEqual(true);
    });
  }

  test.it("accuse nobody when a tenth of the datagrams is lost", async () => {
    await using fleet = await startFleet(16);
    fleet.network.datagrams.lossShare = 0.1;
    const failures = recordFailures(fleet);
    await fleet.clock.advance(60_000);
    earl.expect(failures).toEqual([]);
  });

  test.it("accuse nobody when datagrams from a VM are lost and connections work", async () => {
    await using fleet = await startFleet(8);
    for (const { vm } of fleet.nodes) fleet.network.datagrams.cut("vm-3", vm);
    const failures = recordFailures(fleet);
    await fleet.clock.advance(30_000);
    earl.expect(failures).toEqual([]);
  });

  test.it("find the half of the fleet that was killed at once", async () => {
    await using fleet = await startFleet(32);
    for (const { vm } of fleet.nodes.slice(16)) await fleet.kill(vm);
    const tookMs = await fleet.waitUntil(() => fleet.isAliveCount(16), 30_000);
    earl.expect(tookMs <= 15_000).toEqual(true);
  });
});
