import type * as http from "node:http";
import * as test from "node:test";
import * as earl from "earl";
import * as streamRun from "../../src/serving/stream-run.js";

/** Returns whether a response with the given status and headers can be a stream. */
function isStream(statusCode: number, headers: http.IncomingHttpHeaders): boolean {
  return streamRun.findHeadFault({ statusCode, headers }) === undefined;
}

test.describe("findHeadFault", () => {
  test.it("accepts only 200 with events, or without a type, that are not encoded", () => {
    earl.expect(isStream(200, {})).toEqual(true);
    earl
      .expect(isStream(200, { "content-type": "Text/Event-Stream; charset=utf-8" }))
      .toEqual(true);
    earl.expect(isStream(200, { "content-encoding": "identity" })).toEqual(true);
    earl.expect(isStream(200, { "content-type": "application/json" })).toEqual(false);
    earl.expect(isStream(200, { "content-encoding": "gzip" })).toEqual(false);
    for (const status of [201, 204, 205, 206]) earl.expect(isStream(status, {})).toEqual(false);
  });
});

test.describe("findOrderFault", () => {
  const follows = (last: string | undefined, id: string | undefined, isConsecutive = false) =>
    streamRun.findOrderFault(last, id, isConsecutive) === undefined;

  test.it("accepts any event where none has been sent", () => {
    earl.expect([follows(undefined, "7"), follows(undefined, undefined)]).toEqual([true, true]);
  });

  test.it("accepts later events only, and the next one only where ids are consecutive", () => {
    earl
      .expect([follows("9", "10"), follows("9", "9"), follows("10", "9")])
      .toEqual([true, false, false]);
    earl.expect([follows("9", "12"), follows("9", "12", true)]).toEqual([true, false]);
    earl.expect([follows("9", undefined), follows("9", "")]).toEqual([false, false]);
  });

  test.it("compares ids that are no numbers for equality only", () => {
    earl
      .expect([follows("a", "b", true), follows("b", "a"), follows("a", "a")])
      .toEqual([true, true, false]);
  });
});
