import * as test from "node:test";
import * as earl from "earl";
import * as crashRecordSync from "../../src/request/crash-record-sync.js";
import * as fakes from "./fake-fleet.js";

const FINGERPRINT = "0123456789abcdef";
const START_MS = 2_500;

function addNode(fleet: fakes.FakeFleet, vm: string, incarnation: number) {
  const node = fleet.add(vm, "zone-a", incarnation);
  const sync = crashRecordSync.createCrashRecordSync(node.kernel);
  return { node, sync, crashes: node.kernel.use("crashes") };
}

async function startSync(fleet: fakes.FakeFleet, sync: crashRecordSync.CrashRecordSync) {
  const started = sync.start(0);
  await fleet.clock.advance(START_MS);
  await started;
}

test.describe("CrashRecordSync", () => {
  // Guards against BUDGET: a VM that started knew none of the requests that had ended runners.
  test.it("gives a starting node the records of its peers before it is ready", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a", 1);
    await startSync(fleet, first.sync);
    for (const name of ["u1", "u2"]) first.crashes.recordCrash(name, [FINGERPRINT]);
    const second = addNode(fleet, "b", 2);
    const started = second.sync.start(0);
    earl.expect(second.sync.ready).toEqual(false);
    await fleet.clock.advance(50);
    await started;
    earl
      .expect([second.sync.ready, second.crashes.isQuarantined(FINGERPRINT)])
      .toEqual([true, true]);
  });

  test.it("becomes ready within its time limit if no peer answers", async () => {
    const fleet = new fakes.FakeFleet();
    addNode(fleet, "a", 1);
    const second = addNode(fleet, "b", 2);
    fleet.lostRequests.add("b>a");
    await startSync(fleet, second.sync);
    earl.expect(second.sync.ready).toEqual(true);
  });

  test.it("announces a crash to the peers at once", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a", 1);
    const second = addNode(fleet, "b", 2);
    first.crashes.recordCrash("u1", [FINGERPRINT]);
    await fleet.clock.advance(50);
    earl.expect(second.crashes.isSuspect(FINGERPRINT)).toEqual(true);
  });

  // Guards against refusing a harmless request at one VM although it succeeds at the others.
  test.it("lifts the quarantine of a request that succeeds at a peer", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a", 1);
    const second = addNode(fleet, "b", 2);
    second.crashes.recordSuccess(FINGERPRINT);
    for (const name of ["u1", "u2"]) first.crashes.recordCrash(name, [FINGERPRINT]);
    earl.expect(first.crashes.isQuarantined(FINGERPRINT)).toEqual(true);
    await fleet.clock.advance(50);
    earl.expect(second.crashes.isQuarantined(FINGERPRINT)).toEqual(false);
    earl.expect(first.crashes.isQuarantined(FINGERPRINT)).toEqual(false);
  });

  // Guards against BUDGET: a VM that was cut off never learned what its peers had recorded meanwhile.
  test.it("pulls the records of a peer whose digest differs", async () => {
    const fleet = new fakes.FakeFleet();
    const first = addNode(fleet, "a", 1);
    const second = addNode(fleet, "b", 2);
    fleet.lostRequests.add("a>b");
    for (const name of ["u1", "u2"]) first.crashes.recordCrash(name, [FINGERPRINT]);
    await fleet.clock.advance(START_MS);
    earl.expect(second.crashes.isQuarantined(FINGERPRINT)).toEqual(false);
    const digest = first.node.gossip.get("crash-digest")?.create();
    second.node.gossip.get("crash-digest")?.onReceive(digest, { vm: "a", incarnation: 1 });
    await fleet.clock.advance(50);
    earl.expect(second.crashes.isQuarantined(FINGERPRINT)).toEqual(true);
  });
});
