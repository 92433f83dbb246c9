import * as test from "node:test";
import * as earl from "earl";
import * as fakes from "./fake-fleet.js";

function createCrashes() {
  const fleet = new fakes.FakeFleet();
  const first = fleet.add("a", "zone-a");
  const second = fleet.add("b", "zone-b");
  const crashes = first.kernel.use("crashes");
  const create = (body: string): string => crashes.computeFingerprint("c", "s", body);
  return { fleet, first, second, crashes, create };
}

test.describe("createCrashRecords", () => {
  test.it("quarantines after the second distinct upstream", () => {
    const { crashes, create } = createCrashes();
    const poison = create("poison");
    crashes.recordCrash("u1", [poison]);
    crashes.recordCrash("u1", [poison]);
    earl.expect(crashes.isQuarantined(poison)).toEqual(false);
    crashes.recordCrash("u2", [poison]);
    earl.expect(crashes.isQuarantined(poison)).toEqual(true);
    earl.expect(crashes.listQuarantined()).toEqual([poison]);
  });

  test.it("spares bystanders and finds the one present at every crash", () => {
    const { crashes, create } = createCrashes();
    const poison = create("poison");
    const bystanders = Array.from({ length: 40 }, (_, index) => create(`innocent ${index}`));
    crashes.recordCrash("u1", [poison, ...bystanders.slice(0, 19)]);
    crashes.recordCrash("u2", [poison, ...bystanders.slice(16, 35)]);
    crashes.recordCrash("u3", [poison, ...bystanders.slice(0, 3), ...bystanders.slice(35)]);
    earl.expect(crashes.listQuarantined()).toEqual([poison]);
  });

  test.it("finds the one suspect that has not progressed since the first crash", () => {
    const { crashes, create } = createCrashes();
    const poison = create("poison");
    const bystanders = Array.from({ length: 6 }, (_, index) => create(`innocent ${index}`));
    crashes.recordCrash("u1", [poison, ...bystanders]);
    earl.expect(crashes.hasCrashRecord(poison)).toEqual(true);
    for (const bystander of bystanders) crashes.recordProgress(bystander);
    crashes.recordCrash("u2", [poison, ...bystanders, create("newcomer")]);
    earl.expect(crashes.listQuarantined()).toEqual([poison]);
  });

  test.it("clears what succeeds, also against late gossip", () => {
    const { crashes, create, first, second } = createCrashes();
    const bystander = create("bystander");
    crashes.recordCrash("u1", [bystander]);
    const late = first.gossip.get("crashes")?.create();
    const other = second.kernel.use("crashes");
    second.gossip.get("crashes")?.onReceive(late, { vm: "a", incarnation: 1 });
    other.recordSuccess(bystander);
    second.gossip.get("crashes")?.onReceive(late, { vm: "a", incarnation: 1 });
    other.recordCrash("u2", [bystander]);
    earl.expect(other.isQuarantined(bystander)).toEqual(false);
  });

  test.it("adds up crashes seen by different nodes", () => {
    const { crashes, create, first, second } = createCrashes();
    const poison = create("poison");
    const other = second.kernel.use("crashes");
    crashes.recordCrash("u1", [poison]);
    other.recordCrash("u2", [poison]);
    const told = second.gossip.get("crashes")?.create();
    first.gossip.get("crashes")?.onReceive(told, { vm: "b", incarnation: 1 });
    earl.expect(crashes.isQuarantined(poison)).toEqual(true);
  });

  test.it("forgets after ten minutes", async () => {
    const { fleet, crashes, create } = createCrashes();
    const poison = create("poison");
    crashes.recordCrash("u1", [poison]);
    crashes.recordCrash("u2", [poison]);
    await fleet.clock.advance(600_000);
    earl.expect(crashes.isQuarantined(poison)).toEqual(false);
  });
});
