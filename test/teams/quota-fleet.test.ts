import * as test from "node:test";
import * as earl from "earl";
import * as random from "../../src/kernel/random.js";
import * as fleets from "./quota-fleet.js";

const VMS = 16;
const NAMES = Array.from({ length: VMS }, (_, index) => `vm-${index}`);

function expectKept(fleet: fleets.QuotaFleet, what: string): void {
  const use = fleet.computeUse();
  earl.expect(use.worst <= use.allowed ? "kept" : `${what} ${JSON.stringify(use)}`).toEqual("kept");
}

// Guards against QUOTA: VMs that no longer see each other each granted the whole quota of a team.
test.describe("the VMs together grant no more than the quota of a team", () => {
  test.it("and nearly all of it while nothing disturbs them, also through one VM", async () => {
    for (const vms of [undefined, ["vm-3"]]) {
      await using fleet = await fleets.startFleet(VMS);
      await fleet.press(12_000, vms);
      expectKept(fleet, "undisturbed");
      const granted = fleet.requests.reduce((sum, { cost }) => sum + cost, 0);
      earl.expect(granted >= 0.9 * 12 * fleets.RULE.perSecond).toEqual(true);
    }
  });

  // Guards against refusals for seconds: a call given up after 150 ms left its silent connection in use.
  test.it("and nearly all of it again a second after open connections fell silent", async () => {
    await using fleet = await fleets.startFleet(VMS);
    await fleet.press(4_000);
    fleet.silenceConnections();
    await fleet.press(1_000);
    const from = fleet.clock.now();
    await fleet.press(6_000);
    expectKept(fleet, "silent");
    const used = fleet.computeGranted(from) / (6 * fleets.RULE.perSecond);
    earl.expect(used >= 0.9 ? "used" : used).toEqual("used");
  });

  test.it("when the VM that grants it is cut off", async () => {
    await using fleet = await fleets.startFleet(VMS);
    const holder = fleet.findHolder("vm-3") ?? "";
    fleet.setCutOff([holder], true);
    await fleet.press(16_000);
    expectKept(fleet, holder);
  });

  test.it("when VMs are cut off one after the other", async () => {
    await using fleet = await fleets.startFleet(VMS);
    for (const vm of NAMES.slice(0, 5)) {
      fleet.setCutOff([vm], true);
      await fleet.press(1_500);
    }
    await fleet.press(8_000);
    expectKept(fleet, "one after the other");
  });

  test.it("when a third of them is cut off from the others", async () => {
    await using fleet = await fleets.startFleet(VMS);
    fleet.setCutOff(NAMES.slice(0, 5), true);
    await fleet.press(16_000);
    fleet.setCutOff(NAMES.slice(0, 5), false);
    await fleet.press(8_000);
    expectKept(fleet, "a third");
  });

  test.it("when all are cut off from each other", async () => {
    await using fleet = await fleets.startFleet(VMS);
    for (const vm of NAMES) fleet.setCutOff([vm], true);
    await fleet.press(16_000);
    expectKept(fleet, "all");
  });

  test.it("when all start cut off from each other", async () => {
    await using fleet = await fleets.startFleet(VMS);
    for (const vm of NAMES) fleet.setCutOff([vm], true);
    await fleet.restart(NAMES);
    await fleet.press(16_000);
    expectKept(fleet, "all at their start");
  });

  test.it("when all are killed and start again", async () => {
    await using fleet = await fleets.startFleet(VMS);
    for (let time = 0; time < 3; time += 1) {
      await fleet.press(3_000);
      await fleet.restart(NAMES);
    }
    await fleet.press(6_000);
    expectKept(fleet, "killed");
  });

  test.it("when the VM that grants it is paused again and again", async () => {
    await using fleet = await fleets.startFleet(VMS);
    for (let time = 0; time < 3; time += 1) {
      const holder = fleet.findHolder("vm-3") ?? "";
      fleet.pause(holder);
      await fleet.press(3_000);
      fleet.resume(holder);
      await fleet.press(1_000);
    }
    expectKept(fleet, "paused");
  });

  test.it("when a side with most seeds starts again while it is cut off", async () => {
    await using fleet = await fleets.startFleet(VMS);
    fleet.setCutOff(NAMES.slice(0, 5), true);
    await fleet.restart(NAMES.slice(0, 5));
    await fleet.press(16_000);
    expectKept(fleet, "most seeds");
  });

  test.it("however groups are cut off, killed and started again", async () => {
    for (const seed of [11, 12, 13]) {
      const source = random.createSeededRandom(seed);
      await using fleet = await fleets.startFleet(VMS, seed);
      for (let round = 0; round < 4; round += 1) {
        const group = NAMES.filter(() => source.nextInteger(3) === 0);
        fleet.setCutOff(group, true);
        if (source.nextInteger(2) === 0) await fleet.restart(group);
        await fleet.press(2_000 + source.nextInteger(4_000));
        fleet.setCutOff(group, false);
        await fleet.press(source.nextInteger(3_000));
      }
      expectKept(fleet, `seed ${seed}`);
    }
  });
});
