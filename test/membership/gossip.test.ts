import * as test from "node:test";
import * as earl from "earl";
import * as fleets from "./fleet.js";
import * as types from "../../src/membership/types.js";

const NODES = 3;

async function startFleet(): Promise<fleets.TestFleet> {
  const started = new fleets.TestFleet();
  await started.start(NODES);
  await started.waitUntil(() => started.isAliveCount(NODES), 10_000);
  return started;
}

/** Runs for a while; returns the states other than alive that any node saw. */
async function listFailures(started: fleets.TestFleet): Promise<readonly types.MemberState[]> {
  const states = new Set<types.MemberState>();
  for (const node of started.nodes) {
    node.membership.onChange((member) => states.add(member.state));
  }
  await started.clock.advance(20_000);
  states.delete(types.MEMBER_STATE.alive);
  return [...states];
}

test.describe("Gossip topics", () => {
  test.it("reach the other nodes", async () => {
    await using started = await startFleet();
    const received = new Set<unknown>();
    for (const node of started.nodes) {
      node.membership.onGossip("topic", {
        create: () => node.vm,
        onReceive: (payload, from) => {
          earl.expect(payload).toEqual(from.vm);
          received.add(payload);
        },
      });
    }
    await started.clock.advance(5000);
    earl.expect(received.size).toEqual(NODES);
  });

  test.it(
    "don't hinder the probes when one is too large, throws, or rejects what it gets",
    async () => {
      await using started = await startFleet();
      for (const node of started.nodes) {
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
      earl.expect(await listFailures(started)).toEqual([]);
    },
  );

  test.it("don't hinder the probes when a listener of changes throws", async () => {
    await using started = await startFleet();
    started.getNode("vm-0").membership.onChange(() => {
      throw new Error("faulty listener");
    });
    const restart = started.kill("vm-2").then(() => started.startNode("vm-2"));
    await started.waitUntil(
      () => started.nodes.length === NODES && started.isAliveCount(NODES),
      20_000,
    );
    await restart;
    earl.expect(await listFailures(started)).toEqual([]);
  });
});
