/** Guards against checks of the soak that miss a violation or report a correct answer as one. */
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

/** Returns the names of the guarantees that a record violates. */
function listViolatedGuarantees(changes: Partial<callers.CallRecord>, runs = [RUN]): string[] {
  const observed = { records: [createRecord(changes)], runs: new Map([["r1", runs]]) };
  return guaranteeChecks.listViolations(observed).map((line) => line.split(":")[0] ?? "");
}

function formatEvents(ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join("");
}

const WHOLE_STREAM = formatEvents(Array.from({ length: 40 }, (_, id) => id));

test.describe("the soak's guarantee checks", () => {
  test.it("report nothing for correct answers", () => {
    earl.expect(listViolatedGuarantees({})).toEqual([]);
    earl.expect(listViolatedGuarantees({ kind: "notes", body: WHOLE_STREAM })).toEqual([]);
    earl.expect(listViolatedGuarantees({ status: 503, headers: {} }, [])).toEqual([]);
    earl.expect(listViolatedGuarantees({ status: undefined, isComplete: false })).toEqual([]);
  });

  test.it(
    "report a call that ran twice, and one that ran although its status says it did not",
    () => {
      earl.expect(listViolatedGuarantees({}, [RUN, RUN])).toEqual(["TWICE"]);
      earl.expect(listViolatedGuarantees({ status: 503, headers: {} })).toEqual(["REFUSED"]);
    },
  );

  test.it(
    "report an answer to another request, one without a runner's stamp, and one that is incomplete",
    () => {
      const headers = { "request-id": "r2", "response-stamp": "s" };
      earl.expect(listViolatedGuarantees({ headers })).toEqual(["OWN"]);
      earl.expect(listViolatedGuarantees({ headers: { "request-id": "r1" } })).toEqual(["OWN"]);
      earl.expect(listViolatedGuarantees({ body: "answer to r1" })).toEqual(["WHOLE"]);
    },
  );

  test.it(
    "report missing and repeated events and a complete stream that is too short, not one cut off",
    () => {
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
    },
  );

  test.it(
    "report a stream with events of two software versions, not one of a single version",
    () => {
      const label = (first: number): string =>
        WHOLE_STREAM.replace(
          /piece (\d+)/g,
          (text, id) => `${text} of v${Number(id) < first ? 1 : 2}`,
        );
      earl.expect(listViolatedGuarantees({ kind: "notes", body: label(0) })).toEqual([]);
      earl.expect(listViolatedGuarantees({ kind: "notes", body: label(20) })).toEqual(["ORDER"]);
    },
  );

  test.it("report retries beyond the shared budget, and requests on too many runners", () => {
    const createArrivals = (count: number, runners: number, isPrefill = false) =>
      Array.from({ length: count }, (_, call) =>
        Array.from({ length: runners }, (_, runner) => ({
          call: `r${call}`,
          service: "model",
          runner: `runner-${runner}`,
          at: call,
          isPrefill: isPrefill && runner === 0,
          hasRun: true,
        })),
      ).flat();
    const check = (arrivals: ReturnType<typeof createArrivals>): string[] =>
      guaranteeChecks
        .listBudgetViolations({ sentCalls: [], arrivals, retryRatio: 0 })
        .map((line) => line.replace(/\d+ /, ""));
    earl.expect(check(createArrivals(54, 2))).toEqual([]);
    earl
      .expect(check(createArrivals(55, 2)))
      .toEqual(["BUDGET: repeats at model in a window that allows 54.0"]);
    earl.expect(check(createArrivals(54, 3, true))).toEqual([]);
    earl
      .expect(check(createArrivals(4, 3)))
      .toEqual(["BUDGET: requests ran on more than two runners"]);
  });

  test.it("do not count an incomplete answer as served", () => {
    const records = [createRecord({}), createRecord({ isComplete: false })];
    earl.expect(guaranteeChecks.computeServedShare(records)).toEqual(0.5);
  });
});
