/** An upstream that sends without end on many connections must not have all of them read at a time. */
import * as test from "node:test";
import * as earl from "earl";
import * as bulkReads from "../../src/upstream/bulk-reads.js";

test.describe("BulkReads", () => {
  test.it("grants two permits, and passes one on when it is given back", async () => {
    const reads = new bulkReads.BulkReads();
    const { signal } = new AbortController();
    const releaseFirst = await reads.reserve(signal);
    await reads.reserve(signal);
    const granted: number[] = [];
    for (const number of [3, 4]) void reads.reserve(signal).then(() => granted.push(number));
    await Promise.resolve();
    earl.expect(granted).toEqual([]);
    releaseFirst();
    releaseFirst();
    await new Promise(setImmediate);
    earl.expect(granted).toEqual([3]);
  });

  test.it("does not keep a permit for a call that ended while it waited", async () => {
    const reads = new bulkReads.BulkReads();
    const { signal } = new AbortController();
    const releases = [await reads.reserve(signal), await reads.reserve(signal)];
    const ended = new AbortController();
    const waiting = reads.reserve(ended.signal).then(() => "granted", String);
    ended.abort(new Error("call ended"));
    earl.expect(await waiting).toEqual("Error: call ended");
    for (const release of releases) release();
    await reads.reserve(signal);
    await reads.reserve(signal);
  });
});
