import * as test from "node:test";
import * as earl from "earl";
import * as runHolds from "../../src/request/run-holds.js";
import * as fakes from "./fake-fleet.js";

const FINGERPRINT = "0123456789abcdef";
const OTHER = "fedcba9876543210";
const LIFETIME_MS = 5_000;

function createPair() {
  const fleet = new fakes.FakeFleet();
  const first = runHolds.createRunHolds(fleet.add("a", "zone-a").kernel);
  const second = runHolds.createRunHolds(fleet.add("b", "zone-b").kernel);
  first.onChange((id) => {
    second.merge([first.find(id)].filter((hold) => hold !== undefined));
  });
  return { fleet, first, second };
}

test.describe("RunHolds", () => {
  // Guards against BUDGET: a suspected request ran at several VMs at the same time.
  test.it("holds a request back at all nodes while a run of it is in progress", () => {
    const { first, second } = createPair();
    const hold = first.add(FINGERPRINT, "u1@1", LIFETIME_MS);
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual("inProgress");
    earl.expect(second.findReason(OTHER, 0)).toEqual(undefined);
    hold.settle();
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual(undefined);
  });

  test.it("allows a second run after one unknown outcome, and a third only after a verdict", () => {
    const { first, second } = createPair();
    first.add(FINGERPRINT, "u1@1", LIFETIME_MS).markUnsettled();
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual(undefined);
    earl.expect(second.findReason(FINGERPRINT, 1)).toEqual("unsettled");
    const hold = first.add(FINGERPRINT, "u2@1", LIFETIME_MS);
    hold.markUnsettled();
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual("unsettled");
    hold.settle();
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual(undefined);
  });

  test.it("ignores an older message about a settled run", () => {
    const { first, second } = createPair();
    const hold = first.add(FINGERPRINT, "u1@1", LIFETIME_MS);
    const older = first.list(10);
    hold.settle();
    second.merge(older);
    earl.expect(second.has(FINGERPRINT)).toEqual(false);
  });

  test.it("releases a request when its run exceeds its lifetime", async () => {
    const { fleet, first, second } = createPair();
    first.add(FINGERPRINT, "u1@1", LIFETIME_MS);
    await fleet.clock.advance(LIFETIME_MS);
    earl.expect([first.has(FINGERPRINT), second.has(FINGERPRINT)]).toEqual([false, false]);
  });

  test.it("lists the open runs of a node that restarted", () => {
    const { fleet, first, second } = createPair();
    first.add(FINGERPRINT, "u1@1", LIFETIME_MS).markUnsettled();
    earl.expect(second.listAbandoned()).toEqual([]);
    fleet.add("a", "zone-a", 2);
    const abandoned = [{ upstream: "u1@1", fingerprint: FINGERPRINT }];
    earl.expect(second.listAbandoned()).toEqual(abandoned);
  });

  test.it("does not wait for a run in progress at a node that restarted", () => {
    const { fleet, first, second } = createPair();
    first.add(FINGERPRINT, "u1@1", LIFETIME_MS);
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual("inProgress");
    fleet.add("a", "zone-a", 2);
    earl.expect(second.findReason(FINGERPRINT, 0)).toEqual(undefined);
    earl.expect(second.findReason(FINGERPRINT, 1)).toEqual("unsettled");
  });
});
