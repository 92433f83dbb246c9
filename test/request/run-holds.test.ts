import * as test from "node:test";
import * as earl from "earl";
import * as runHolds from "../../src/request/run-holds.js";
import * as fakes from "./fake-fleet.js";

const FINGERPRINT = "0123456789abcdef";
const OTHER = "fedcba9876543210";
const LIFETIME_MS = 5_000;
const NONE: ReadonlySet<string> = new Set();
const ONE: ReadonlySet<string> = new Set(["u9@1"]);

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
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual("inProgress");
    earl.expect(second.findReason(OTHER, NONE)).toEqual(undefined);
    hold.settle();
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual(undefined);
  });

  test.it("allows a second run after one unknown outcome, and a third only after a verdict", () => {
    const { first, second } = createPair();
    first.add(FINGERPRINT, "u1@1", LIFETIME_MS).markUnsettled();
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual(undefined);
    earl.expect(second.findReason(FINGERPRINT, ONE)).toEqual("unsettled");
    const hold = first.add(FINGERPRINT, "u2@1", LIFETIME_MS);
    hold.markUnsettled();
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual("unsettled");
    hold.settle();
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual(undefined);
  });

  test.it("counts the runs at one upstream as one outcome, and none at a crashed one", () => {
    const { first, second } = createPair();
    for (let run = 0; run < 3; run += 1) {
      first.add(FINGERPRINT, "u1@1", LIFETIME_MS).markUnsettled();
    }
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual(undefined);
    earl.expect(second.findReason(FINGERPRINT, new Set(["u1@1"]))).toEqual(undefined);
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
    earl.expect(second.listAbandoned()).toEqual(new Map());
    fleet.add("a", "zone-a", 2);
    earl.expect(second.listAbandoned()).toEqual(new Map([["u1@1", [FINGERPRINT]]]));
  });

  test.it("does not wait for a run in progress at a node that restarted", () => {
    const { fleet, first, second } = createPair();
    first.add(FINGERPRINT, "u1@1", LIFETIME_MS);
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual("inProgress");
    fleet.add("a", "zone-a", 2);
    earl.expect(second.findReason(FINGERPRINT, NONE)).toEqual(undefined);
    earl.expect(second.findReason(FINGERPRINT, ONE)).toEqual("unsettled");
  });
});

test.describe("RunHolds.findRequestReason", () => {
  const evidence: runHolds.TraitEvidence = {
    isTrusted: () => false,
    listCrashed: () => NONE,
  };

  /** Adds runs without a known outcome, each with all of the given traits. */
  function addUnsettled(holds: runHolds.RunHolds, traits: readonly string[]): void {
    for (const upstream of ["u1@1", "u2@1"])
      for (const trait of traits) holds.add(trait, upstream, LIFETIME_MS).markUnsettled();
  }

  // Guards against LOST: sound requests were held back for what they share with those that silenced runners.
  test.it("holds back only requests with all traits that the open runs have in common", () => {
    const { first } = createPair();
    addUnsettled(first, [FINGERPRINT, OTHER]);
    earl.expect(first.findRequestReason([FINGERPRINT, OTHER], evidence)).toEqual("unsettled");
    earl.expect(first.findRequestReason([FINGERPRINT], evidence)).toEqual(undefined);
    first.add(FINGERPRINT, "u3@1", LIFETIME_MS);
    earl.expect(first.findRequestReason([FINGERPRINT], evidence)).toEqual("inProgress");
  });

  // Guards against BUDGET: requests with the part ran on while the end of the last runner was not known yet.
  test.it("counts known crashes with the open runs of a trait, whatever else the runs have", () => {
    const { first } = createPair();
    const own = "aaaaaaaaaaaaaaaa";
    for (const trait of [OTHER, FINGERPRINT]) first.add(trait, "u3@1", LIFETIME_MS).markUnsettled();
    const crashes = (trait: string): ReadonlySet<string> =>
      trait === FINGERPRINT ? new Set(["u1@1", "u2@1"]) : NONE;
    const known = { ...evidence, listCrashed: crashes };
    earl.expect(first.findRequestReason([own, FINGERPRINT], known)).toEqual("unsettled");
    earl.expect(first.findRequestReason([OTHER], known)).toEqual(undefined);
  });

  test.it("trusts a trait that was answered lately", () => {
    const { first } = createPair();
    addUnsettled(first, [FINGERPRINT, OTHER]);
    const isTrusted = (trait: string): boolean => trait === OTHER;
    earl
      .expect(first.findRequestReason([FINGERPRINT], { ...evidence, isTrusted }))
      .toEqual("unsettled");
    earl.expect(first.findRequestReason([OTHER], { ...evidence, isTrusted })).toEqual(undefined);
  });
});
