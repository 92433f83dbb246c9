import * as test from "node:test";
import * as earl from "earl";
import * as messages from "../../src/capacity/messages.js";
import * as prefixes from "../../src/capacity/prefix-index.js";

const QUERIED_PREFIXES = [
  { hash: "a", tokens: 64 },
  { hash: "b", tokens: 128 },
];

test.describe("PrefixIndex", () => {
  test.it("finds the longest stored prefix", () => {
    const index = new prefixes.PrefixIndex();
    index.add("p", ["a"], 0);
    earl.expect(index.findMatch("p", QUERIED_PREFIXES, 1)).toEqual(64);
    earl.expect(index.findMatch("q", QUERIED_PREFIXES, 1)).toEqual(0);
  });

  // A missed eviction would leave prefixes in the index that the runner no longer has cached.
  test.it("applies events and clears the entries when an event number is missing", () => {
    const index = new prefixes.PrefixIndex();
    index.applyEvents("p", [{ number: 1, type: "stored", prefix: "b" }], 0);
    earl.expect(index.findMatch("p", QUERIED_PREFIXES, 1)).toEqual(128);
    index.applyEvents("p", [{ number: 3, type: "stored", prefix: "a" }], 0);
    earl.expect(index.findMatch("p", QUERIED_PREFIXES, 1)).toEqual(64);
    earl.expect(index.getLastEventNumber("p")).toEqual(3);
    index.applyEvents("p", [{ number: 4, type: "evicted", prefix: "a" }], 0);
    earl.expect(index.findMatch("p", QUERIED_PREFIXES, 1)).toEqual(0);
  });

  test.it("ignores expired entries", () => {
    const index = new prefixes.PrefixIndex();
    index.add("p", ["a"], 0);
    earl.expect(index.findMatch("p", QUERIED_PREFIXES, 60_001)).toEqual(0);
  });
});

test.describe("choosePrefixes", () => {
  // Lengths that depend on the prompt's length would leave no prefix in common to match.
  test.it("chooses equal prefixes for prompts of different length with a common prefix", () => {
    const create = (count: number) => Array.from({ length: count }, (_, index) => `h${index}`);
    const short = messages.choosePrefixes(create(50), 3200);
    const long = messages.choosePrefixes(create(100), 6400);
    earl.expect(short.length <= 8 && long.length <= 8).toEqual(true);
    const shared = long.filter(({ hash }) => short.some((prefix) => prefix.hash === hash));
    earl.expect(shared.length).toEqual(3);
  });
});
