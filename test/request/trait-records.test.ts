import * as test from "node:test";
import * as earl from "earl";
import * as membership from "../../src/membership/types.js";
import * as crashRecordSync from "../../src/request/crash-record-sync.js";
import * as traitRecords from "../../src/request/trait-records.js";
import * as fakes from "./fake-fleet.js";

const DEAD = "dead567890abcdef";
const SHARED = "5a12ed7890abcdef";
const BYTES = ["b000000000000001", "b000000000000002", "b000000000000003"] as const;
const TRIAL_MS = 30_000;
/** Time in which an announcement reaches all nodes. */
const MESSAGE_MS = 50;

function addNode(fleet: fakes.FakeFleet, vm: string, incarnation = 1) {
  const node = fleet.add(vm, "zone-a", incarnation);
  const records = traitRecords.createTraitRecords(node.kernel);
  node.kernel.register("crashes", () => records);
  const sync = crashRecordSync.createCrashRecordSync(node.kernel);
  return { node, records, sync };
}

/** Two crashes under a request, then one under another with the same part. */
function crashThrice(records: traitRecords.TraitRecords): void {
  for (const start of ["u1@1", "u2@1"]) records.recordCrash(start, [BYTES[0], SHARED, DEAD]);
  records.recordCrash("u3@1", [BYTES[1], DEAD]);
}

function isRefused(records: traitRecords.TraitRecords, ...traits: readonly string[]): boolean {
  return records.findRefusal(traits) !== undefined;
}

test.describe("TraitRecords", () => {
  // Guards against BUDGET: requests with a part that crashes runners have no exact bytes in common.
  test.it("refuses every request with the trait that all crashes have in common", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    crashThrice(records);
    earl.expect(records.listQuarantined()).toEqual([DEAD]);
    earl.expect(isRefused(records, BYTES[2], SHARED, DEAD)).toEqual(true);
    earl.expect(isRefused(records, BYTES[2], SHARED)).toEqual(false);
    earl.expect([records.isSuspect(SHARED), records.isSuspect(BYTES[0])]).toEqual([false, false]);
  });

  test.it("refuses only requests with all traits that cannot be told apart yet", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    for (const start of ["u1@1", "u2@1"]) records.recordCrash(start, [SHARED, DEAD]);
    earl.expect(isRefused(records, SHARED, DEAD, BYTES[0])).toEqual(true);
    earl.expect([isRefused(records, SHARED), records.isSuspect(SHARED)]).toEqual([false, true]);
    records.recordSuccess(SHARED);
    earl.expect([records.isSuspect(SHARED), isRefused(records, DEAD)]).toEqual([false, true]);
  });

  // Guards against LOST: crashes without a cause quarantined requests that were in flight at two of them.
  test.it("needs a third crash if most crashes have other causes", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    for (let index = 0; index < 5; index += 1) records.recordCrash(`accident${index}@1`, []);
    for (const start of ["u1@1", "u2@1"]) records.recordCrash(start, [DEAD]);
    earl.expect(isRefused(records, DEAD)).toEqual(false);
    records.recordCrash("u3@1", [DEAD]);
    earl.expect(isRefused(records, DEAD)).toEqual(true);
  });

  // Guards against BUDGET: a verdict was withdrawn when runners ended for other reasons later.
  test.it("keeps a verdict of two crashes when others follow", async () => {
    const fleet = new fakes.FakeFleet();
    const { records } = addNode(fleet, "a");
    for (const start of ["u1@1", "u2@1"]) records.recordCrash(start, [DEAD]);
    await fleet.clock.advance(MESSAGE_MS);
    for (const [index, bytes] of BYTES.entries())
      records.recordCrash(`accident${index}@1`, [bytes]);
    earl.expect(isRefused(records, DEAD)).toEqual(true);
  });

  // Guards against RECOVER: sound requests were refused for crashes whose cause only a VM out of reach had seen.
  test.it("blames a trait that was answered lately only after three crashes", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    records.recordSuccess(SHARED);
    for (const start of ["u1@1", "u2@1"]) records.recordCrash(start, [SHARED]);
    earl.expect(isRefused(records, SHARED)).toEqual(false);
    records.recordCrash("u3@1", [SHARED]);
    earl.expect(isRefused(records, SHARED)).toEqual(true);
  });

  // Guards against RECOVER: all requests of a caller were refused, whatever they held, after two crashes.
  test.it("blames a caller alone only after three crashes", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    records.markBroad(SHARED);
    records.recordCrash("u1@1", [SHARED, BYTES[0]]);
    records.recordCrash("u2@1", [SHARED, BYTES[1]]);
    earl.expect(isRefused(records, SHARED, BYTES[2])).toEqual(false);
    records.recordCrash("u3@1", [SHARED, BYTES[2]]);
    earl.expect(isRefused(records, SHARED, BYTES[0])).toEqual(true);
  });

  // Guards against RECOVER: traits that all requests share explained one crash more than the cause did.
  test.it("blames a trait that was never answered before one that was", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    records.recordSuccess(SHARED);
    for (const start of ["u1@1", "u2@1", "u3@1"]) records.recordCrash(start, [SHARED, DEAD]);
    records.recordCrash("u4@1", [SHARED]);
    earl.expect(records.listQuarantined()).toEqual([DEAD]);
  });

  // Guards against RECOVER: what could have told traits apart was refused with them.
  test.it("allows a request that lacks a trait of most of the crashes, to tell them apart", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    for (const start of ["u1@1", "u2@1", "u3@1"]) records.recordCrash(start, [SHARED, DEAD]);
    records.recordCrash("u4@1", [SHARED]);
    earl.expect(records.listQuarantined()).toEqual([SHARED]);
    earl.expect([isRefused(records, SHARED), records.isSuspect(SHARED)]).toEqual([false, true]);
    earl.expect(isRefused(records, SHARED, DEAD)).toEqual(true);
    records.recordCrash("u5@1", [SHARED]);
    earl.expect(isRefused(records, SHARED)).toEqual(true);
  });

  test.it("does not suspect a trait that was answered after the crash", async () => {
    const fleet = new fakes.FakeFleet();
    const { node, records } = addNode(fleet, "a");
    const crashedAt = node.kernel.use("clock").now();
    await fleet.clock.advance(MESSAGE_MS);
    records.recordSuccess(SHARED);
    records.recordCrash("u1@1", [SHARED, DEAD], crashedAt);
    earl.expect([records.isSuspect(SHARED), records.isSuspect(DEAD)]).toEqual([false, true]);
  });

  test.it("counts a crash that several nodes see once", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a");
    const second = addNode(fleet, "b");
    first.records.recordCrash("u1@1", [DEAD]);
    second.records.recordCrash("u1@1", [DEAD, SHARED]);
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect(isRefused(first.records, DEAD)).toEqual(false);
    second.records.recordCrash("u2@1", [DEAD]);
    await fleet.clock.advance(MESSAGE_MS);
    earl
      .expect([isRefused(first.records, DEAD), first.records.isSuspect(SHARED)])
      .toEqual([true, false]);
  });

  // Guards against BUDGET: what both sides of a partition knew was not joined afterwards.
  test.it("joins crashes that are no verdict on either side when a peer is back", async () => {
    const fleet = new fakes.FakeFleet();
    const [first, second] = [addNode(fleet, "a"), addNode(fleet, "b")];
    for (const link of ["a>b", "b>a"]) fleet.lostRequests.add(link);
    first.records.recordCrash("u1@1", [DEAD, BYTES[0]]);
    second.records.recordCrash("u2@1", [DEAD, BYTES[1]]);
    await fleet.clock.advance(TRIAL_MS / 2);
    fleet.lostRequests.clear();
    fleet.setState("b", membership.MEMBER_STATE.alive);
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect(isRefused(first.records, DEAD)).toEqual(true);
  });

  // Guards against BUDGET: a VM that started knew nothing of the part.
  test.it("reaches the same verdict at a node that starts later", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a");
    const started = first.sync.start(0);
    await fleet.clock.advance(2_500);
    await started;
    crashThrice(first.records);
    const second = addNode(fleet, "b", 2);
    const pulled = second.sync.start(0);
    await fleet.clock.advance(MESSAGE_MS);
    await pulled;
    earl.expect(second.records.listQuarantined()).toEqual([DEAD]);
    earl.expect(second.records.digest).toEqual(first.records.digest);
  });

  // Guards against LOST: a shared part stayed suspected at a VM although it was answered at others.
  test.it("tells a node that still suspects a trait of its earlier success", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a");
    const second = addNode(fleet, "b");
    fleet.lostRequests.add("a>b");
    first.records.recordCrash("u1@1", [SHARED]);
    await fleet.clock.advance(20);
    fleet.lostRequests.clear();
    second.records.recordSuccess(SHARED);
    earl.expect(first.records.isSuspect(SHARED)).toEqual(true);
    const payload = first.node.gossip.get("crashes")?.create();
    second.node.gossip.get("crashes")?.onReceive(payload, { vm: "a", incarnation: 1 });
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect(first.records.isSuspect(SHARED)).toEqual(false);
  });

  // Guards against LOST: a VM that started held requests back that its peers served.
  test.it("tells the peers of a success while the trait is held", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a");
    const second = addNode(fleet, "b");
    first.records.recordSuccess(SHARED, true);
    await fleet.clock.advance(MESSAGE_MS);
    earl.expect(second.records.hasSucceededLately(SHARED)).toEqual(true);
  });

  test.it("trusts a trait that was answered lately after one crash, but not after two", () => {
    const { records } = addNode(new fakes.FakeFleet(), "a");
    records.recordSuccess(SHARED);
    records.recordCrash("u1@1", [SHARED]);
    earl.expect(records.isSuspect(SHARED)).toEqual(false);
    records.recordCrash("u2@1", [SHARED]);
    earl.expect(records.isSuspect(SHARED)).toEqual(true);
  });

  // Guards against BUDGET: every VM tried a refused trait again by a timer of its own.
  test.it(
    "tries a refused trait at one node, more rarely after each crash, and then no more",
    async () => {
      const fleet = new fakes.FakeFleet();
      const nodes = ["a", "b", "c"].map((vm) => addNode(fleet, vm));
      const countTrials = (): number =>
        nodes.filter(({ records }) => !isRefused(records, DEAD)).length;
      nodes[0]?.records.recordCrash("u1@1", [DEAD]);
      for (let crashes = 2; crashes <= 6; crashes += 1) {
        nodes[0]?.records.recordCrash(`u${crashes}@1`, [DEAD]);
        await fleet.clock.advance(TRIAL_MS * 2 ** (crashes - 2) - 1_000);
        earl.expect(countTrials()).toEqual(0);
        await fleet.clock.advance(1_000 + MESSAGE_MS);
        earl.expect(countTrials()).toEqual(1);
      }
      nodes[0]?.records.recordCrash("u7@1", [DEAD]);
      await fleet.clock.advance(3_000_000);
      earl.expect(countTrials()).toEqual(0);
    },
  );

  test.it("ends a wrong verdict at all nodes when a run is answered", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a");
    const second = addNode(fleet, "b");
    crashThrice(first.records);
    await fleet.clock.advance(MESSAGE_MS);
    second.records.recordSuccess(DEAD);
    await fleet.clock.advance(MESSAGE_MS);
    earl
      .expect([isRefused(first.records, DEAD), isRefused(second.records, DEAD)])
      .toEqual([false, false]);
  });
});
