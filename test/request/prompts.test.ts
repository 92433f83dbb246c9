import * as test from "node:test";
import * as earl from "earl";
import * as prompts from "../../src/request/prompts.js";

const BLOCK = "x".repeat(prompts.PREFIX_BLOCK_TOKENS * 4);

test.describe("computePrefixHashes", () => {
  test.it(
    "returns equal hashes for equal prefixes and different hashes for different prefixes",
    () => {
      const first = prompts.computePrefixHashes("iono-1", undefined, `${BLOCK}${BLOCK}a`);
      const second = prompts.computePrefixHashes(
        "iono-1",
        undefined,
        `${BLOCK}${"y".repeat(BLOCK.length)}`,
      );
      earl.expect(first.length).toEqual(2);
      earl.expect(second[0]).toEqual(first[0]);
      earl.expect(second[1] === first[1]).toEqual(false);
    },
  );

  test.it(
    "returns different hashes for different models and adapters, and at most 64 hashes",
    () => {
      const long = BLOCK.repeat(70);
      earl.expect(prompts.computePrefixHashes("iono-1", undefined, long).length).toEqual(64);
      earl
        .expect(prompts.computePrefixHashes("iono-1", undefined, BLOCK))
        .not.toEqual(prompts.computePrefixHashes("iono-2", undefined, BLOCK));
      earl
        .expect(prompts.computePrefixHashes("iono-1", "tile-summary", BLOCK))
        .not.toEqual(prompts.computePrefixHashes("iono-1", undefined, BLOCK));
    },
  );
});
