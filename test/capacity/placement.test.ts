import * as test from "node:test";
import * as earl from "earl";
import * as placement from "../../src/capacity/placement.js";
import * as membership from "../../src/membership/types.js";

function createMember(vm: string, zone: string, region: string): membership.Member {
  return {
    vm,
    incarnation: 1,
    region,
    zone,
    peer: { host: "127.0.0.1", port: 1 },
    caller: { host: "127.0.0.1", port: 2 },
    state: membership.MEMBER_STATE.alive,
  };
}

const RUNNER = { name: "d1", zone: "ikeja", region: "lagos" };
const FAR = createMember("vm9", "sk-west-a", "slovakia");
const NEAR = createMember("vm5", "lekki", "lagos");
const OWN = [createMember("vm1", "ikeja", "lagos"), createMember("vm2", "ikeja", "lagos")];

test.describe("findAllocator", () => {
  test.it("prefers members of the runner's zone, then of its region, then any", () => {
    const chosen = placement.findAllocator(RUNNER, [FAR, NEAR, ...OWN]);
    earl.expect(OWN.map(({ vm }) => vm)).toInclude(chosen ?? "");
    earl.expect(placement.findAllocator(RUNNER, [FAR, NEAR])).toEqual("vm5");
    earl.expect(placement.findAllocator(RUNNER, [FAR])).toEqual("vm9");
    earl.expect(placement.findAllocator(RUNNER, [])).toEqual(undefined);
  });

  // Nodes list members in different orders. If the order mattered, they would compute different
  // allocators for a runner.
  test.it("ignores the order of members and reassigns only the runners of a lost node", () => {
    const runners = Array.from({ length: 50 }, (_, index) => ({ ...RUNNER, name: `d${index}` }));
    const members = Array.from({ length: 5 }, (_, index) =>
      createMember(`vm${index}`, "ikeja", "lagos"),
    );
    const rest = members.slice(1);
    for (const runner of runners) {
      const before = placement.findAllocator(runner, members);
      earl.expect(placement.findAllocator(runner, [...members].reverse())).toEqual(before);
      if (before === "vm0") continue;
      earl.expect(placement.findAllocator(runner, rest)).toEqual(before);
    }
  });
});
