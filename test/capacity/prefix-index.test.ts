import * as test from "node:test";
import * as earl from "earl";
import * as messages from "../../src/capacity/messages.js";
import * as prefixes from "../../src/capacity/prefix-index.js";

const ASKED = [
  { hash: "a", tokens: 64 },
  { hash: "b", tokens: 128 },
];

test.describe("PrefixIndex", () => {
  test.it("finds the longest prefix that was stored", () => {
    const index = new prefixes.PrefixIndex();
    index.add("p", ["a"], 0);
    earl.expect(index.findMatch("p", ASKED, 1)).toEqual(64);
    earl.expect(index.findMatch("q", ASKED, 1)).toEqual(0);
  });

  test.it("follows events, and drops what it knew when some were lost", () => {
    const index = new prefixes.PrefixIndex();
    index.applyEvents("p", [{ number: 1, type: "stored", prefix: "b" }], 0);
    earl.expect(index.findMatch("p", ASKED, 1)).toEqual(128);
    index.applyEvents("p", [{ number: 3, type: "stored", prefix: "a" }], 0);
    earl.expect(index.findMatch("p", ASKED, 1)).toEqual(64);
    earl.expect(index.getLastEvent("p")).toEqual(3);
    index.applyEvents("p", [{ number: 4, type: "evicted", prefix: "a" }], 0);
    earl.expect(index.findMatch("p", ASKED, 1)).toEqual(0);
  });

  test.it("lets entries expire", () => {
    const index = new prefixes.PrefixIndex();
    index.add("p", ["a"], 0);
    earl.expect(index.findMatch("p", ASKED, 60_001)).toEqual(0);
  });
});

test.describe("choosePrefixes", () => {
  test.it("chooses the same lengths of prompts that begin alike", () => {
    const create = (count: number) => Array.from({ length: count }, (_, index) => `h${index}`);
    const short = messages.choosePrefixes(create(50), 3200);
    const long = messages.choosePrefixes(create(100), 6400);
    earl.expect(short.length <= 8 && long.length <= 8).toEqual(true);
    const shared = long.filter(({ hash }) => short.some((prefix) => prefix.hash === hash));
    earl.expect(shared.length).toEqual(3);
  });
});
