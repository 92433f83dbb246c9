import * as test from "node:test";
import * as earl from "earl";
import * as fleets from "./fleet.js";
import * as types from "../../src/membership/types.js";

const NODES = 3;

async function startFleet(): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet();
  await fleet.start(NODES);
  await fleet.waitUntil(() => fleet.isAliveCount(NODES), 10_000);
  return fleet;
}

/** Runs the fleet for 20 s; returns the states other than alive that any node has seen. */
async function listFailures(fleet: fleets.TestFleet): Promise<readonly types.MemberState[]> {
  const states = new Set<types.MemberState>();
  for (const node of fleet.nodes) {
    node.membership.onChange((member) => states.add(member.state));
  }
  await fleet.clock.advance(20_000);
  states.delete(types.MEMBER_STATE.alive);
  return [...states];
}

test.describe("Gossip topics", () => {
  test.it("are received by the other nodes", async () => {
    await using fleet = await startFleet();
    const received = new Set<unknown>();
    for (const node of fleet.nodes) {
      node.membership.onGossip("topic", {
        create: () => node.vm,
        onReceive: (payload, from) => {
          earl.expect(payload).toEqual(from.vm);
          received.add(payload);
        },
      });
    }
    await fleet.clock.advance(5000);
    earl.expect(received.size).toEqual(NODES);
  });

  test.it(
    "do not disturb the probes when one is too large, throws, or rejects its payload",
    async () => {
      await using fleet = await startFleet();
      for (const node of fleet.nodes) {
        node.membership.onGossip("large", {
          create: () => "x".repeat(3_000_000),
          onReceive: () => undefined,
        });
        node.membership.onGossip("faulty", {
          create: () => {
            if (node.vm === "vm-1") throw new Error("no news");
            return 1;
          },
          onReceive: () => {
            throw new Error("rejected");
          },
        });
      }
      earl.expect(await listFailures(fleet)).toEqual([]);
    },
  );

  test.it("do not disturb the probes when a change listener throws", async () => {
    await using fleet = await startFleet();
    fleet.getNode("vm-0").membership.onChange(() => {
      throw new Error("faulty listener");
    });
    const restart = fleet.kill("vm-2").then(() => fleet.startNode("vm-2"));
    await fleet.waitUntil(() => fleet.nodes.length === NODES && fleet.isAliveCount(NODES), 20_000);
    await restart;
    earl.expect(await listFailures(fleet)).toEqual([]);
  });
});
