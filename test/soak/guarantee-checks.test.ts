import * as test from "node:test";
import * as earl from "earl";
import type * as callers from "../../standins/soak/callers.js";
import * as guaranteeChecks from "../../standins/soak/guarantee-checks.js";
import * as plainRunner from "../../standins/soak/plain-runner.js";

const RUN = { runner: "plain-1", at: 0 };

function createRecord(changes: Partial<callers.CallRecord>): callers.CallRecord {
  return {
    id: "r1",
    kind: "book",
    gateway: "gateway-1",
    startedAt: 0,
    endedAt: 1,
    status: 200,
    headers: { "request-id": "r1", "response-stamp": "s" },
    body: plainRunner.formatAnswer("r1", "plain-1"),
    isComplete: true,
    abortedAt: undefined,
    ...changes,
  };
}

/** Returns the names of the promises that a record breaks. */
function listViolatedGuarantees(changes: Partial<callers.CallRecord>, runs = [RUN]): string[] {
  const observed = { records: [createRecord(changes)], runs: new Map([["r1", runs]]) };
  return guaranteeChecks.listViolations(observed).map((line) => line.split(":")[0] ?? "");
}

function formatEvents(ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join("");
}

const WHOLE_STREAM = formatEvents(Array.from({ length: 40 }, (_, id) => id));

test.describe("the soak's judges", () => {
  test.it("find nothing in answers as they should be", () => {
    earl.expect(listViolatedGuarantees({})).toEqual([]);
    earl.expect(listViolatedGuarantees({ kind: "notes", body: WHOLE_STREAM })).toEqual([]);
    earl.expect(listViolatedGuarantees({ status: 503, headers: {} }, [])).toEqual([]);
    earl.expect(listViolatedGuarantees({ status: undefined, isComplete: false })).toEqual([]);
  });

  test.it("find a call that ran twice, and one that ran though it was said not to", () => {
    earl.expect(listViolatedGuarantees({}, [RUN, RUN])).toEqual(["TWICE"]);
    earl.expect(listViolatedGuarantees({ status: 503, headers: {} })).toEqual(["REFUSED"]);
  });

  test.it("find another's answer, an unsigned one, and one that is not whole", () => {
    const headers = { "request-id": "r2", "response-stamp": "s" };
    earl.expect(listViolatedGuarantees({ headers })).toEqual(["OWN"]);
    earl.expect(listViolatedGuarantees({ headers: { "request-id": "r1" } })).toEqual(["OWN"]);
    earl.expect(listViolatedGuarantees({ body: "answer to r1" })).toEqual(["WHOLE"]);
  });

  test.it("find events that are missing, doubled or cut, and a stream that ends early", () => {
    for (const ids of [
      [0, 2],
      [0, 1, 1],
      [1, 2],
    ]) {
      const stream = { kind: "notes" as const, body: formatEvents(ids), isComplete: false };
      earl.expect(listViolatedGuarantees(stream)).toEqual(["ORDER"]);
    }
    earl
      .expect(listViolatedGuarantees({ kind: "notes", body: formatEvents([0, 1]) }))
      .toEqual(["ORDER"]);
    const cut = { kind: "notes" as const, body: formatEvents([0, 1]), isComplete: false };
    earl.expect(listViolatedGuarantees(cut)).toEqual([]);
  });

  test.it("count as served only what is whole", () => {
    const records = [createRecord({}), createRecord({ isComplete: false })];
    earl.expect(guaranteeChecks.computeServedShare(records)).toEqual(0.5);
  });
});
