import * as test from "node:test";
import * as earl from "earl";
import * as dutyHolders from "../../src/membership/duty-holders.js";
import * as runnerLimits from "../../src/runners/runner-limits.js";
import type * as runners from "../../src/runners/types.js";
import * as fakes from "../request/fake-fleet.js";

const SERVICE = "plain";
const MS_PER_S = 1_000;
const MESSAGE_MS = 50;
const { signal } = new AbortController();

function createRunner(bornAt = 1): runners.Runner {
  return { id: "r1", bornAt } as runners.Runner;
}

function addNode(fleet: fakes.FakeFleet, vm: string, knownVms: number) {
  const { kernel } = fleet.add(vm, "zone-a");
  const members = kernel.use("membership");
  const holders = new dutyHolders.DutyHolders(members);
  return new runnerLimits.RunnerLimits({
    clock: kernel.use("clock"),
    log: kernel.use("log"),
    metrics: { count: () => undefined, set: () => undefined } as never,
    network: kernel.use("network"),
    membership: kernel.use("membership"),
    fleetSize: {
      countKnown: () => knownVms,
      computeAlivePart: () => Math.min(1, members.listAlive().length / knownVms),
    },
    holders,
  });
}

function name(perSecond: number): runners.ReportedLimit {
  return { kind: "named", perSecond };
}

/** Asks for sends at all nodes for some seconds, every 20 ms; returns how many were granted. */
async function countGrants(
  fleet: fakes.FakeFleet,
  nodes: readonly runnerLimits.RunnerLimits[],
  seconds: number,
): Promise<number> {
  let granted = 0;
  for (let elapsedMs = 0; elapsedMs < seconds * MS_PER_S; elapsedMs += 20) {
    for (const node of nodes)
      void node.reserveSend(SERVICE, createRunner(), signal).then((waitMs) => {
        if (waitMs === 0) granted += 1;
      });
    await fleet.clock.advance(20);
  }
  return granted;
}

test.describe("RunnerLimits", () => {
  test.it("grants nearly the limit to all nodes together, from an empty start", async () => {
    const fleet = new fakes.FakeFleet();
    const nodes = ["a", "b", "c"].map((vm) => addNode(fleet, vm, 3));
    nodes[1]?.recordAnswer(createRunner(), name(4), fleet.clock.now());
    await fleet.clock.advance(MESSAGE_MS);
    const granted = await countGrants(fleet, nodes, 10);
    earl.expect(granted >= 36 && granted <= 40).toEqual(true);
  });

  test.it("grants a request every few seconds when a runner takes none", async () => {
    const fleet = new fakes.FakeFleet();
    const nodes = ["a", "b"].map((vm) => addNode(fleet, vm, 2));
    nodes[0]?.recordAnswer(createRunner(), name(0), fleet.clock.now());
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect(await countGrants(fleet, nodes, 20)).toEqual(3);
  });

  // Guards against LIMIT: a VM that nobody knew took the whole limit for itself.
  test.it("grants half of the limit at a VM that knows no other", async () => {
    const fleet = new fakes.FakeFleet();
    const nodes = [addNode(fleet, "a", 1)];
    nodes[0]?.recordAnswer(createRunner(), name(4), fleet.clock.now());
    const granted = await countGrants(fleet, nodes, 10);
    earl.expect(granted >= 18 && granted <= 20).toEqual(true);
  });

  // Guards against LIMIT: both sides of a partition granted the whole limit.
  test.it("grants the part of the limit of the VMs that it sees", async () => {
    const fleet = new fakes.FakeFleet();
    const nodes = [addNode(fleet, "a", 4)];
    nodes[0]?.recordAnswer(createRunner(), name(4), fleet.clock.now());
    const granted = await countGrants(fleet, nodes, 10);
    earl.expect(granted >= 9 && granted <= 11).toEqual(true);
  });

  test.it("keeps to a small share while the granting VM does not answer", async () => {
    const fleet = new fakes.FakeFleet();
    const nodes = ["a", "b"].map((vm) => addNode(fleet, vm, 2));
    for (const node of nodes) node.recordAnswer(createRunner(), name(4), fleet.clock.now());
    for (const link of ["a>b", "b>a"]) fleet.lostRequests.add(link);
    const granted = await countGrants(fleet, nodes, 10);
    // The granting VM uses the whole limit, the other a quarter of it.
    earl.expect(granted >= 40 && granted <= 50).toEqual(true);
  });

  test.it("ignores an answer to a request from before the last change", async () => {
    const fleet = new fakes.FakeFleet();
    const node = addNode(fleet, "a", 1);
    const runner = createRunner();
    await fleet.clock.advance(100);
    node.recordAnswer(runner, name(4), 50);
    node.recordAnswer(runner, { kind: "none" }, 80);
    earl.expect(node.computeWait(SERVICE, runner) > 0).toEqual(true);
    await fleet.clock.advance(100);
    node.recordAnswer(runner, { kind: "none" }, 150);
    node.recordAnswer(runner, name(4), 160);
    earl.expect(node.computeWait(SERVICE, runner)).toEqual(0);
  });

  test.it("knows no limit of another start, and none that is not readable", () => {
    const fleet = new fakes.FakeFleet();
    const node = addNode(fleet, "a", 1);
    node.recordAnswer(createRunner(), { kind: "unreadable", text: "4, 5" }, fleet.clock.now());
    earl.expect(node.computeWait(SERVICE, createRunner())).toEqual(0);
    node.recordAnswer(createRunner(), name(4), fleet.clock.now());
    earl.expect(node.computeWait(SERVICE, createRunner()) > 0).toEqual(true);
    earl.expect(node.computeWait(SERVICE, createRunner(2))).toEqual(0);
  });
});
