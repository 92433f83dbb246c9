import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as records from "../../src/membership/member-record.js";

const record: fastCheck.Arbitrary<records.MemberRecord> = fastCheck.record(
  {
    vm: fastCheck.constant("vm-1"),
    incarnation: fastCheck.nat({ max: 2 }),
    version: fastCheck.nat({ max: 2 }),
    liveness: fastCheck.constantFrom(...Object.values(records.LIVENESS)),
    leaving: fastCheck.boolean(),
    region: fastCheck.constant("region-1"),
    zone: fastCheck.constant("zone-a"),
    host: fastCheck.constant("10.0.0.1"),
    peerPort: fastCheck.constant(7001),
    callerPort: fastCheck.constant(7000),
  },
  { noNullPrototype: true },
);

test.describe("mergeRecords", () => {
  test.it("is commutative, associative and idempotent", () => {
    fastCheck.assert(
      fastCheck.property(record, record, record, (first, second, third) => {
        const { mergeRecords } = records;
        const merged = mergeRecords(mergeRecords(first, second), third);
        earl.expect(mergeRecords(first, mergeRecords(second, third))).toEqual(merged);
        earl.expect(mergeRecords(mergeRecords(third, second), first)).toEqual(merged);
        earl.expect(mergeRecords(merged, first)).toEqual(merged);
      }),
      { seed: 7, numRuns: 1000 },
    );
  });

  test.it("keeps `leaving` within an incarnation; a newer one replaces the flag", () => {
    fastCheck.assert(
      fastCheck.property(record, record, (first, second) => {
        const merged = records.mergeRecords(first, second);
        const sameProcess = [first, second].filter(
          (entry) => entry.incarnation === merged.incarnation,
        );
        earl.expect(merged.leaving).toEqual(sameProcess.some((entry) => entry.leaving));
      }),
      { seed: 7, numRuns: 1000 },
    );
  });
});
