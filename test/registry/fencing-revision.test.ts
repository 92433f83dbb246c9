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

  // A store that names no epoch, and one that begins to name it or names the next one.
  test.it("grows at a restore that was found without a newer epoch, and after it", () => {
    const positions = [
      { epoch: 0, rewinds: 0, revision: 500_000 },
      { epoch: 0, rewinds: 1, revision: 10 },
      { epoch: 0, rewinds: 2, revision: 9 },
      { epoch: 2, rewinds: 2, revision: 8 },
    ];
    const tokens = positions.map(computeFencingRevision);
    earl.expect(tokens).toEqual([...tokens].sort((one, other) => one - other));
  });

  test.it("is that of earlier builds until the first restore", () => {
    earl.expect(computeFencingRevision({ epoch: 0, revision: 7 })).toEqual(7);
    earl.expect(computeFencingRevision({ epoch: 1, revision: 7 })).toEqual(7);
  });
});
