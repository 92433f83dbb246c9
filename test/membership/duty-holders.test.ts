/**
 * Choice of the VM that does a duty for the fleet. A small VM with a slow link that placed all requests of a service could not
 * keep up, and the others placed alone on a share of the runners.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as dutyHolders from "../../src/membership/duty-holders.js";

const SMALL = { cores: 0.324, linkMbps: 10 };
const LARGE = { cores: 1.35, linkMbps: 140 };
const DUTIES = Array.from({ length: 50 }, (_, index) => `duty-${index}`);

function createMembers(
  count: number,
  prefix: string,
  capacity: dutyHolders.DutyCandidate["capacity"],
): dutyHolders.DutyCandidate[] {
  return Array.from({ length: count }, (_, index) => ({ vm: `${prefix}-${index}`, capacity }));
}

test.describe("chooseHolder", () => {
  test.it("gives no duty to a VM much smaller than the largest", () => {
    const members = [...createMembers(60, "small", SMALL), ...createMembers(6, "large", LARGE)];
    const holders = DUTIES.map((duty) => dutyHolders.chooseHolder(duty, members));
    earl.expect(holders.every((vm) => vm?.startsWith("large"))).toEqual(true);
    earl.expect(new Set(holders).size > 1).toEqual(true);
  });

  test.it("gives the duties to small VMs when no large one is left", () => {
    const members = createMembers(5, "small", SMALL);
    const holders = DUTIES.map((duty) => dutyHolders.chooseHolder(duty, members));
    earl.expect(new Set(holders).size).toEqual(5);
  });

  test.it("gives no duty to a VM with a fast processor and a slow link", () => {
    const slowLink = createMembers(5, "slow", { ...LARGE, linkMbps: 7 });
    const members = [...slowLink, ...createMembers(2, "large", LARGE)];
    const holders = DUTIES.map((duty) => dutyHolders.chooseHolder(duty, members));
    earl.expect(holders.every((vm) => vm?.startsWith("large"))).toEqual(true);
  });

  // While an update rolls, VMs of the earlier version neither state a capacity nor look at it.
  test.it("looks at no capacity while some VM states none", () => {
    const members = [...createMembers(3, "large", LARGE), ...createMembers(3, "old", undefined)];
    const holders = DUTIES.map((duty) => dutyHolders.chooseHolder(duty, members));
    earl.expect(holders.some((vm) => vm?.startsWith("old"))).toEqual(true);
  });
});

test.describe("chooseRanked", () => {
  test.it("returns the holder and the VM that holds the duty without it", () => {
    const members = [...createMembers(3, "small", SMALL), ...createMembers(2, "large", LARGE)];
    for (const duty of DUTIES) {
      const [holder, next] = dutyHolders.chooseRanked(duty, members);
      earl.expect(holder).toEqual(dutyHolders.chooseHolder(duty, members));
      const others = members.filter(({ vm }) => vm !== holder);
      earl.expect(next).toEqual(dutyHolders.chooseHolder(duty, others));
    }
  });

  test.it("returns as many VMs as there are, at most two", () => {
    earl.expect(dutyHolders.chooseRanked("duty", [])).toEqual([]);
    earl
      .expect(dutyHolders.chooseRanked("duty", createMembers(1, "small", SMALL)).length)
      .toEqual(1);
  });
});
