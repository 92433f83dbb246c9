import * as test from "node:test";
import * as earl from "earl";
import * as random from "../../src/kernel/random.js";
import * as fleetSize from "../../src/membership/fleet-size.js";
import * as documents from "./documents.js";
import * as fleets from "./fleet.js";

const NODES = 7;
const SEEDS = ["vm-0", "vm-1", "vm-2"];
/** Time in which partitioned nodes notice it. */
const DETECT_MS = 12_000;

/** A fleet in which every node counts the VMs that share the limits. */
class SizedFleet extends fleets.TestFleet {
  readonly sizes = new Map<string, fleetSize.FleetSize>();

  constructor(seed: number) {
    super(seed);
    this.platform.publish(documents.createDocument(1));
    this.registerExtraServices = (kernel, vm) => {
      kernel.register("fleetSize", (services) => {
        const size = new fleetSize.FleetSize({
          clock: services.use("clock"),
          membership: services.use("membership"),
          listSeeds: () => SEEDS.map((name) => this.getPeerAddress(name)),
        });
        this.sizes.set(vm, size);
        return size;
      });
    };
    this.startExtraServices = (kernel) => {
      kernel.use("fleetSize");
      return Promise.resolve();
    };
  }

  /** Returns the part of a shared limit that all running nodes use together. */
  computeUsedShare(): number {
    const counts = this.nodes.map(({ vm }) => this.sizes.get(vm)?.findShare()?.vmCount);
    return counts.reduce((sum: number, count) => sum + (count === undefined ? 0 : 1 / count), 0);
  }

  countSettled(): number {
    return this.nodes.filter(({ vm }) => this.sizes.get(vm)?.findShare() !== undefined).length;
  }

  async restart(vms: readonly string[]): Promise<void> {
    for (const { vm } of this.nodes) if (vms.includes(vm)) await this.kill(vm);
    const starts = vms.map((vm) => this.startNode(vm));
    await this.clock.advance(3_000);
    await Promise.all(starts);
  }
}

async function startFleet(seed = 7): Promise<SizedFleet> {
  const fleet = new SizedFleet(seed);
  await fleet.start(NODES);
  await fleet.waitUntil(() => fleet.countSettled() === NODES, 60_000);
  return fleet;
}

function listNames(first: number, last: number): string[] {
  return Array.from({ length: last - first + 1 }, (_, index) => `vm-${first + index}`);
}

// Guards against BUDGET: VMs that started or were cut off divided shared limits by the few VMs that they saw.
test.describe("FleetSize", () => {
  test.it("counts all VMs once this VM has been in touch for some time, not before", async () => {
    await using fleet = new SizedFleet(3);
    await fleet.start(NODES);
    earl.expect(fleet.countSettled()).toEqual(0);
    await fleet.waitUntil(() => fleet.countSettled() === NODES, 60_000);
    earl.expect(Math.abs(fleet.computeUsedShare() - 1) < 1e-9).toEqual(true);
  });

  test.it("gives no share to VMs that start cut off from each other", async () => {
    await using fleet = await startFleet();
    const all = listNames(0, NODES - 1);
    for (const vm of all)
      fleet.setPartition(
        [vm],
        all.filter((other) => other !== vm),
        true,
      );
    await fleet.restart(all);
    await fleet.clock.advance(60_000);
    earl.expect(fleet.countSettled()).toEqual(0);
  });

  test.it("still counts VMs that look dead", async () => {
    await using fleet = await startFleet();
    await fleet.kill("vm-5");
    await fleet.kill("vm-6");
    await fleet.clock.advance(60_000);
    earl.expect(fleet.countSettled()).toEqual(NODES - 2);
    earl.expect(fleet.sizes.get("vm-0")?.findShare()?.vmCount).toEqual(NODES);
  });

  test.it("counts the seeds before any of them answers", async () => {
    await using fleet = new SizedFleet(5);
    fleet.platform.addVm(fleet.createListedVm("vm-0"));
    await fleet.restart(["vm-0"]);
    earl.expect(fleet.sizes.get("vm-0")?.countKnown()).toEqual(SEEDS.length);
  });

  test.it("takes the share from the smaller side of a partition", async () => {
    await using fleet = await startFleet();
    fleet.setPartition(listNames(0, 0), listNames(1, 6), true);
    await fleet.clock.advance(DETECT_MS);
    earl.expect(fleet.sizes.get("vm-0")?.findShare()).toEqual(undefined);
    earl.expect(fleet.countSettled()).toEqual(NODES - 1);
  });

  test.it(
    "takes the share from a VM that was paused until it has been in touch again",
    async () => {
      await using fleet = await startFleet();
      fleet.pause("vm-4");
      await fleet.clock.advance(4_000);
      fleet.resume("vm-4");
      earl.expect(fleet.sizes.get("vm-4")?.findShare()).toEqual(undefined);
      await fleet.clock.advance(60_000);
      earl.expect(fleet.sizes.get("vm-4")?.findShare()?.vmCount).toEqual(NODES);
    },
  );

  test.it(
    "never lets all VMs together use more than the limit, however links are cut",
    async () => {
      for (const seed of [11, 12, 13]) {
        const source = random.createSeededRandom(seed);
        await using fleet = await startFleet(seed);
        let most = 0;
        for (let round = 0; round < 4; round += 1) {
          const all = listNames(0, NODES - 1);
          const near = all.filter(() => source.nextInteger(2) === 0);
          const far = all.filter((vm) => !near.includes(vm));
          fleet.setPartition(near, far, true);
          await fleet.restart(far.filter(() => source.nextInteger(3) > 0));
          for (let check = 0; check < 30 + source.nextInteger(30); check += 1) {
            most = Math.max(most, fleet.computeUsedShare());
            await fleet.clock.advance(1_000);
          }
          fleet.setPartition(near, far, false);
          await fleet.clock.advance(source.nextInteger(40) * 1_000);
          most = Math.max(most, fleet.computeUsedShare());
        }
        earl
          .expect(most <= 1 + 1e-9 ? "within" : `${most} used with seed ${seed}`)
          .toEqual("within");
      }
    },
  );

  test.it(
    "sees nothing of the fleet until it has been in touch, and all of it afterwards",
    async () => {
      await using fleet = new SizedFleet(3);
      await fleet.start(NODES);
      const compute = (): number | undefined => fleet.sizes.get("vm-0")?.computeAlivePart();
      await fleet.waitUntil(() => compute() === 1, 10_000);
      fleet.setPartition(["vm-5"], listNames(0, 4), true);
      fleet.setPartition(["vm-5"], ["vm-6"], true);
      await fleet.restart(["vm-5"]);
      await fleet.clock.advance(10_000);
      earl.expect(fleet.sizes.get("vm-5")?.computeAlivePart()).toEqual(0);
    },
  );

  test.it(
    "sees only itself soon after it was cut off, while the others still look alive",
    async () => {
      await using fleet = await startFleet();
      fleet.setPartition(["vm-5"], [...listNames(0, 4), "vm-6"], true);
      await fleet.clock.advance(2_600);
      earl.expect(fleet.sizes.get("vm-5")?.computeAlivePart()).toEqual(1 / NODES);
    },
  );
});
