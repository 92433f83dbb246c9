/** Fencing tokens that follow the platform's revision alone would go back when it is restored from a copy, and be refused. */
import * as test from "node:test";
import * as earl from "earl";
import * as registrySync from "../../src/registry/registry-sync.js";

const { computeFencingRevision } = registrySync;

test.describe("computeFencingRevision", () => {
  test.it("grows when the revision goes back at a restore", () => {
    const before = computeFencingRevision({ epoch: 3, revision: 500_000 });
    earl.expect(computeFencingRevision({ epoch: 4, revision: 10 }) > before).toEqual(true);
  });

  test.it("is that of earlier builds until the first restore", () => {
    earl.expect(computeFencingRevision({ epoch: 0, revision: 7 })).toEqual(7);
    earl.expect(computeFencingRevision({ epoch: 1, revision: 7 })).toEqual(7);
  });
});
