import * as test from "node:test";
import * as earl from "earl";
import * as signals from "../../src/kernel/signals.js";

test.describe("createJoinedSignal", () => {
  test.it("aborts with the reason of the source that aborts first", () => {
    const first = new AbortController();
    const second = new AbortController();
    using joined = signals.createJoinedSignal([first.signal, second.signal]);
    earl.expect(joined.signal.aborted).toEqual(false);
    second.abort("second");
    first.abort("first");
    earl.expect(joined.signal.reason).toEqual("second");
  });

  test.it("is aborted immediately by a source that is already aborted", () => {
    using joined = signals.createJoinedSignal([AbortSignal.abort("before")]);
    earl.expect(joined.signal.reason).toEqual("before");
  });

  test.it("does not abort with its sources after it was disposed of", () => {
    const source = new AbortController();
    const joined = signals.createJoinedSignal([source.signal]);
    joined[Symbol.dispose]();
    source.abort();
    earl.expect(joined.signal.aborted).toEqual(false);
  });
});
