import * as test from "node:test";
import * as earl from "earl";
import * as backupRecords from "../../src/request/backup-records.js";
import * as outcomes from "../../src/request/outcome.js";
import * as expiring from "../../src/request/expiring-records.js";
import * as fakes from "./fake-fleet.js";

const OWNER = { vm: "owner", incarnation: 1 };

function createBackup(limits?: expiring.RecordLimits) {
  const fleet = new fakes.FakeFleet();
  const { kernel } = fleet.add("backup", "zone-a");
  const backup = new backupRecords.BackupRecords(kernel, limits);
  const createRef = (key: string, lifetimeMs = 1000) => ({
    key,
    expiresAt: fleet.clock.wallTime() + lifetimeMs,
    incarnation: 1,
  });
  return { fleet, backup, createRef };
}

function createResponse(bytes: number): outcomes.Outcome {
  return { type: "response", status: 200, headers: {}, body: new Uint8Array(bytes) };
}

test.describe("BackupRecords", () => {
  test.it("keeps the first record of an id, whether an intent or a tombstone", () => {
    const { backup, createRef } = createBackup();
    const first = createRef("a");
    earl.expect(backup.handleIntent(first, OWNER)).toEqual("accepted");
    earl.expect(backup.handleIntent(first, OWNER)).toEqual("exists");
    earl.expect(backup.handleResolve(first).reply).toEqual("intent-only");
    earl.expect(backup.handleResult(first, createResponse(1), OWNER)).toEqual(true);
    earl.expect(backup.handleResolve(first).reply).toEqual("result");
    const second = createRef("b");
    earl.expect(backup.handleResolve(second).reply).toEqual("tombstoned");
    earl.expect(backup.handleIntent(second, OWNER)).toEqual("tombstoned");
    earl.expect(backup.handleResult(second, createResponse(1), OWNER)).toEqual(false);
  });

  test.it(
    "rejects an intent for, and replies `unknown` about, another incarnation of the backup",
    () => {
      const { backup, createRef } = createBackup();
      const ref = { ...createRef("a"), incarnation: 2 };
      earl.expect(backup.handleIntent(ref, OWNER)).toEqual("other-incarnation");
      earl.expect(backup.handleResolve(ref).reply).toEqual("unknown");
    },
  );

  test.it("accepts a result only from the owner that recorded the intent", () => {
    const { backup, createRef } = createBackup();
    const ref = createRef("a");
    backup.handleIntent(ref, OWNER);
    const otherIncarnation = { vm: "owner", incarnation: 2 };
    earl.expect(backup.handleResult(ref, createResponse(1), otherIncarnation)).toEqual(false);
  });

  test.it(
    "refuses new intents when full, evicts no unexpired record and never accepts a refused id",
    async () => {
      const { fleet, backup, createRef } = createBackup({ maxRecords: 1, maxBytes: 1e6 });
      const first = createRef("a");
      const refusedRef = createRef("b", 500);
      earl.expect(backup.handleIntent(first, OWNER)).toEqual("accepted");
      earl.expect(backup.handleIntent(refusedRef, OWNER)).toEqual("full");
      // Without room no tombstone is stored, as a later intent is refused anyway.
      earl.expect(backup.handleResolve(createRef("c", 400)).reply).toEqual("tombstoned");
      earl.expect(backup.handleIntent(createRef("c", 400), OWNER)).toEqual("full");
      await fleet.clock.advance(expiring.CLOCK_SKEW_MARGIN_MS + 1001);
      earl.expect(backup.handleIntent(refusedRef, OWNER)).toEqual("expired");
      earl.expect(backup.handleIntent(createRef("d"), OWNER)).toEqual("accepted");
      earl.expect(backup.size).toEqual(1);
      earl.expect(backup.handleResolve(first).reply).toEqual("unknown");
    },
  );

  test.it("for a large result, stores only that the request ran", () => {
    const { backup, createRef } = createBackup();
    const ref = createRef("a");
    backup.handleIntent(ref, OWNER);
    backup.handleResult(ref, createResponse(outcomes.MAX_STORED_OUTCOME_BYTES + 1), OWNER);
    const { outcome } = backup.handleResolve(ref);
    earl.expect(outcome).toEqual({ type: "refusal", code: 4004, ran: "yes" });
  });
});

test.describe("ExpiringRecords", () => {
  test.it("still treats an id as expired after the wall clock was set back", () => {
    const fleet = new fakes.FakeFleet();
    let wallTime = 10_000;
    const clock = { ...fleet.clock, wallTime: () => wallTime, now: () => 0 };
    const records = new expiring.ExpiringRecords(clock, { maxRecords: 9, maxBytes: 9 });
    earl.expect(records.checkAdmission(9000)).toEqual("expired");
    wallTime = 1000;
    earl.expect(records.checkAdmission(9000)).toEqual("expired");
  });
});
