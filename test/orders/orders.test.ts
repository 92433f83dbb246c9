import * as test from "node:test";
import * as earl from "earl";
import type * as capacity from "../../src/capacity/types.js";
import * as rendezvous from "../../src/membership/rendezvous.js";
import type * as membership from "../../src/membership/types.js";
import * as orderAuthority from "../../src/orders/order-authority.js";
import * as orders from "../../src/orders/orders.js";
import * as runnerOrder from "../../src/orders/runner-order.js";
import type * as document from "../../src/settings/document.js";
import * as fleets from "../membership/fleet.js";
import * as fakeRunners from "./fake-runners.js";

const NODE_COUNT = 6;
/** Whether allocator lookups throw. */
let isCapacityFaulty = false;

interface OrdersFleet extends AsyncDisposable {
  readonly fleet: fleets.TestFleet;
  readonly runners: fakeRunners.FakeRunners;
}

/** Starts a fleet whose runners already serve version 1, as its document specifies. */
async function startFleet(checksFencing: boolean): Promise<OrdersFleet> {
  const fleet = new fleets.TestFleet();
  const runners = new fakeRunners.FakeRunners(fleet.clock);
  const first = fakeRunners.createRunnersDocument(1, "v1", checksFencing);
  for (const entry of runnerOrder.computeDesiredRunners(first)) {
    runners.setServed(entry.runner.name, entry.order);
  }
  fleet.registerExtraServices = (kernel, vm) => {
    kernel.register("engines", () => runners.createClient(vm));
    kernel.register("capacity", (services) => createFakeCapacity(services.use("membership")));
    kernel.register("orders", (services) => orders.createOrders(services));
  };
  fleet.startExtraServices = (kernel) => kernel.use("orders").start();
  fleet.platform.publish(first);
  await fleet.start(NODE_COUNT);
  await fleet.waitUntil(() => fleet.isAliveCount(NODE_COUNT) && fleet.isRevisionActive(1), 10_000);
  await fleet.clock.advance(orderAuthority.ORDER_LEASE_MS + 5000);
  return { fleet, runners, [Symbol.asyncDispose]: () => fleet[Symbol.asyncDispose]() };
}

function createFakeCapacity(members: membership.Membership): capacity.Capacity {
  const fake: Partial<capacity.Capacity> = {
    findAllocator: (runner) => {
      if (isCapacityFaulty) throw new Error("capacity failed");
      return findAllocator(members, runner);
    },
  };
  return fake as capacity.Capacity;
}

function findAllocator(members: membership.Membership, runner: string): string | undefined {
  const vms = members.listAlive().map((member) => member.vm);
  return rendezvous.chooseByRendezvous(runner, vms, 1)[0];
}

function isVersionServed(
  runners: fakeRunners.FakeRunners,
  wanted: document.FleetDocument,
): boolean {
  const version = wanted.models[0]?.version ?? "";
  return wanted.runners.every((runner) => runners.isServing(runner.name, version));
}

test.describe("Orders", () => {
  test.it("sends no orders while runners match the document", async () => {
    await using ordersFleet = await startFleet(true);
    earl.expect(ordersFleet.runners.received).toEqual([]);
  });

  test.it(
    "updates every runner to a new version with one order each, while at most one runner loads weights",
    async () => {
      await using ordersFleet = await startFleet(true);
      const { fleet, runners } = ordersFleet;
      const next = fakeRunners.createRunnersDocument(2, "v2", true);
      fleet.platform.publish(next);
      await fleet.waitUntil(() => isVersionServed(runners, next), 120_000);
      earl.expect(runners.maxLoading).toEqual(1);
      earl.expect(runners.received).toHaveLength(next.runners.length);
    },
  );

  test.it("converges when responses to orders are lost", async () => {
    await using ordersFleet = await startFleet(true);
    const { fleet, runners } = ordersFleet;
    runners.isAnswerLost = () => true;
    const next = fakeRunners.createRunnersDocument(2, "v2", true);
    fleet.platform.publish(next);
    await fleet.waitUntil(() => isVersionServed(runners, next), 120_000);
  });

  test.it("sends an order to a runner whose role was changed by hand", async () => {
    await using ordersFleet = await startFleet(true);
    const { fleet, runners } = ordersFleet;
    runners.setServed("d1", { ...runners.getServed("d1"), role: "prefill" });
    await fleet.waitUntil(() => runners.getServed("d1").role === "decode", 5000);
  });

  test.it(
    "continues to reconcile after the allocator lookup of a pass threw an error",
    async () => {
      await using ordersFleet = await startFleet(true);
      const { fleet, runners } = ordersFleet;
      isCapacityFaulty = true;
      await fleet.clock.advance(5000);
      isCapacityFaulty = false;
      runners.setServed("d1", { ...runners.getServed("d1"), role: "prefill" });
      await fleet.waitUntil(() => runners.getServed("d1").role === "decode", 5000);
    },
  );

  test.it(
    "sends no order to a runner whose fencing number is higher than the document's revision",
    async () => {
      await using ordersFleet = await startFleet(true);
      const { fleet, runners } = ordersFleet;
      runners.setServed("d1", { ...runners.getServed("d1"), role: "prefill", fencing: 9 });
      await fleet.clock.advance(20_000);
      earl.expect(runners.received).toEqual([]);
    },
  );

  // Guards against orders of two allocators: after a change of allocator, the previous one may still send
  // orders until its confirmation expires.
  test.it(
    "waits for the order lease of the previous allocator if a runner does not check fencing numbers",
    async () => {
      await using ordersFleet = await startFleet(false);
      const { fleet, runners } = ordersFleet;
      const previous = findAllocator(fleet.getNode("vm-0").membership, "d1") ?? "";
      const killedAt = fleet.clock.now();
      await fleet.kill(previous);
      runners.setServed("d1", { ...runners.getServed("d1"), role: "prefill" });
      await fleet.waitUntil(() => runners.getServed("d1").role === "decode", 30_000);
      const first = runners.received[0];
      earl.expect((first?.at ?? 0) - killedAt >= orderAuthority.ORDER_LEASE_MS).toEqual(true);
    },
  );

  test.it("sends no outdated order from an allocator that resumes after a pause", async () => {
    await using ordersFleet = await startFleet(false);
    await checkPausedAllocator(ordersFleet);
  });

  test.it(
    "sends no outdated order after a pause if only the confirmation by peers can prevent it",
    async () => {
      await using ordersFleet = await startFleet(true);
      // The runners report fencing number 0, so the allocator cannot see that they have a newer order.
      ordersFleet.runners.reportsFencing = false;
      await checkPausedAllocator(ordersFleet);
    },
  );
});

/**
 * Pauses an allocator, changes the document and resumes the allocator. At that moment it still
 * holds the old document and must not send an order from it.
 */
async function checkPausedAllocator({ fleet, runners }: OrdersFleet): Promise<void> {
  const paused = findAllocator(fleet.getNode("vm-0").membership, "d1") ?? "";
  fleet.pause(paused);
  await fleet.clock.advance(10_000);
  const unchanged = fakeRunners.createRunnersDocument(2, "v1", true);
  const models = unchanged.models.map((model) => ({ ...model, adapters: ["adapter-2"] }));
  const changed: document.FleetDocument = { ...unchanged, models };
  fleet.platform.publish(changed);
  const isDone = (): boolean => runners.getServed("d1").adapters.includes("adapter-2");
  await fleet.waitUntil(isDone, 60_000);
  const resumedAt = fleet.clock.now();
  fleet.resume(paused);
  await fleet.clock.advance(60_000);
  const outdated = runners.received.filter(({ at, order }) => at > resumedAt && order.fencing < 2);
  earl.expect(outdated).toEqual([]);
  earl.expect(isDone()).toEqual(true);
}
