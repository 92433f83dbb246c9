import * as test from "node:test";
import * as earl from "earl";
import * as types from "../../src/membership/types.js";
import * as fleets from "./fleet.js";

const { MEMBER_STATE } = types;
const NODES = 8;

async function startFleet(): Promise<fleets.TestFleet> {
  const fleet = new fleets.TestFleet();
  await fleet.start(NODES);
  await fleet.waitUntil(() => fleet.isAliveCount(NODES), 10_000);
  return fleet;
}

test.describe("Membership", () => {
  test.it("discovers the whole fleet from the platform's list", async () => {
    await using fleet = await startFleet();
    earl.expect(fleet.isAliveCount(NODES)).toEqual(true);
  });

  test.it("detects a killed node", async () => {
    await using fleet = await startFleet();
    await fleet.kill("vm-3");
    await fleet.waitUntil(() => fleet.isSeenAs("vm-3", MEMBER_STATE.dead), 10_000);
    earl.expect(fleet.isAliveCount(NODES - 1)).toEqual(true);
  });

  test.it("sees a restarted node as a new incarnation", async () => {
    await using fleet = await startFleet();
    const before = fleet.getNode("vm-3").membership.self.incarnation;
    await fleet.kill("vm-3");
    const restart = fleet.startNode("vm-3");
    await fleet.waitUntil(
      () =>
        fleet.nodes.every((node) => {
          const member = node.membership.findMember("vm-3");
          return member?.state === MEMBER_STATE.alive && member.incarnation > before;
        }),
      10_000,
    );
    await restart;
  });

  test.it("marks a paused node as dead and sees it as alive again after it resumes", async () => {
    await using fleet = await startFleet();
    fleet.pause("vm-2");
    const others = fleet.nodes.filter((node) => node.vm !== "vm-2");
    await fleet.waitUntil(
      () => others.every((node) => node.membership.findMember("vm-2")?.state === MEMBER_STATE.dead),
      20_000,
    );
    await fleet.clock.advance(30_000);
    fleet.resume("vm-2");
    await fleet.waitUntil(() => fleet.isAliveCount(NODES), 20_000);
  });

  test.it("informs all nodes within three seconds that a node is leaving", async () => {
    await using fleet = await startFleet();
    void fleet.getNode("vm-1").membership.startLeaving();
    const tookMs = await fleet.waitUntil(() => fleet.isSeenAs("vm-1", MEMBER_STATE.leaving), 3000);
    earl.expect(tookMs < 3000).toEqual(true);
  });

  test.it("marks a VM as leaving when the platform's list does", async () => {
    await using fleet = await startFleet();
    fleet.platform.addVm({ ...fleet.createListedVm("vm-4"), state: "leaving" });
    await fleet.waitUntil(() => fleet.isSeenAs("vm-4", MEMBER_STATE.leaving), 10_000);
    earl.expect(fleet.getNode("vm-4").membership.self.state).toEqual(MEMBER_STATE.leaving);
  });

  test.it("converges after a partition while the platform is down", async () => {
    await using fleet = await startFleet();
    const first = ["vm-0", "vm-1", "vm-2"];
    const second = fleet.nodes.map((node) => node.vm).filter((vm) => !first.includes(vm));
    fleet.platform.isReachable = () => false;
    fleet.setPartition(first, second, true);
    await fleet.waitUntil(
      () =>
        fleet.nodes.every((node) => {
          const side = first.includes(node.vm) ? first : second;
          return node.membership.listAlive().length === side.length;
        }),
      30_000,
    );
    fleet.setPartition(first, second, false);
    await fleet.waitUntil(() => fleet.isAliveCount(NODES), 30_000);
  });

  test.it("does not mark a member as dead when its open connections deliver nothing", async () => {
    await using fleet = await startFleet();
    const states = new Set<types.MemberState>();
    for (const node of fleet.nodes) {
      node.membership.onChange((member) => states.add(member.state));
    }
    fleet.network.silence("vm-0", "vm-1");
    await fleet.clock.advance(10_000);
    earl.expect(states.has(MEMBER_STATE.dead)).toEqual(false);
    earl.expect(fleet.isAliveCount(NODES)).toEqual(true);
  });
});
