import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as modelRecords from "../../src/request/model-records.js";

const FIRST = { vm: "vm-1", incarnation: 1 };
const SECOND = { vm: "vm-2", incarnation: 1 };

function createRequest(claimant: typeof FIRST, replaces?: typeof FIRST) {
  return { id: "id.1", attempt: 1, claimant, replaces, expiresAt: Number.MAX_SAFE_INTEGER };
}

test.describe("ModelClaims", () => {
  test.it("returns the first claimant to every later claimant", () => {
    const claims = new modelRecords.ModelClaims(clocks.createSystemClock());
    earl.expect(claims.claim(createRequest(FIRST))).toEqual(FIRST);
    earl.expect(claims.claim(createRequest(SECOND))).toEqual(FIRST);
  });

  test.it("replaces the holder when a claimant found it gone", () => {
    const claims = new modelRecords.ModelClaims(clocks.createSystemClock());
    claims.claim(createRequest(FIRST));
    earl.expect(claims.claim(createRequest(SECOND, FIRST))).toEqual(SECOND);
    earl.expect(claims.claim(createRequest(FIRST))).toEqual(SECOND);
  });

  test.it("removes expired claims when it records a new one", () => {
    const claims = new modelRecords.ModelClaims(clocks.createSystemClock());
    claims.claim({ ...createRequest(FIRST), expiresAt: 1 });
    claims.claim({ ...createRequest(FIRST), id: "id.2" });
    earl.expect(claims.size).toEqual(1);
  });
});
