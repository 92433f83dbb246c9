/** Checks of what callers and runners saw against the promises. Each returns what was broken. */
import * as callers from "./callers.js";
import * as plainRunner from "./plain-runner.js";
import type * as soakCluster from "./soak-cluster.js";

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const HTTP_OK = 200;
/** Events of a whole stream. */
const EVENT_COUNT = 40;

/** What a soak saw. */
export interface Observations {
  readonly records: readonly callers.CallRecord[];
  readonly runs: ReadonlyMap<string, readonly soakCluster.ObservedRun[]>;
}

type GuaranteeCheck = (
  record: callers.CallRecord,
  runs: readonly soakCluster.ObservedRun[],
) => string | undefined;

function checkRunsOnce(
  record: callers.CallRecord,
  runs: readonly soakCluster.ObservedRun[],
): string | undefined {
  const isBroken = record.kind === callers.CALL_KIND.book && runs.length > 1;
  return isBroken ? `ran ${runs.length} times though it is not idempotent` : undefined;
}

function checkNotRun(
  record: callers.CallRecord,
  runs: readonly soakCluster.ObservedRun[],
): string | undefined {
  const isPromised = record.status !== undefined && NOT_RUN_STATUSES.has(record.status);
  return isPromised && runs.length > 0 ? `answered ${record.status} and ran` : undefined;
}

function checkOwnAnswer(record: callers.CallRecord): string | undefined {
  if (record.status !== HTTP_OK) return undefined;
  const { "request-id": id, "response-stamp": stamp } = record.headers;
  if (id !== record.id) return `got the answer to ${String(id)}`;
  return stamp === undefined ? "got a success that no runner signed" : undefined;
}

function checkWholeAnswer(
  record: callers.CallRecord,
  runs: readonly soakCluster.ObservedRun[],
): string | undefined {
  const isPlain = record.kind !== callers.CALL_KIND.notes;
  if (!isPlain || record.status !== HTTP_OK || !record.isComplete) return undefined;
  const expected = runs.map(({ runner }) => plainRunner.formatAnswer(record.id, runner));
  return expected.includes(record.body) ? undefined : "got a body that is none of its runners'";
}

function checkStream(record: callers.CallRecord): string | undefined {
  if (record.kind !== callers.CALL_KIND.notes || record.status !== HTTP_OK) return undefined;
  const events = record.body.split("\n\n").slice(0, -1);
  const isInOrder = events.every((event, index) => event === `id: ${index}\ndata: piece ${index}`);
  if (!isInOrder) return "got events out of order, twice or not whole";
  return record.isComplete && events.length !== EVENT_COUNT
    ? `got a complete stream of ${events.length} events`
    : undefined;
}

const GUARANTEE_CHECKS: Readonly<Record<string, GuaranteeCheck>> = {
  TWICE: checkRunsOnce,
  REFUSED: checkNotRun,
  OWN: checkOwnAnswer,
  WHOLE: checkWholeAnswer,
  ORDER: checkStream,
};

/** Returns the broken promises. */
export function listViolations(observed: Observations): string[] {
  return observed.records.flatMap((record) => {
    const runs = observed.runs.get(record.id) ?? [];
    return Object.entries(GUARANTEE_CHECKS).flatMap(([name, check]) => {
      const violation = check(record, runs);
      return violation === undefined
        ? []
        : [`${name}: ${record.id} by ${record.gateway} ${violation}`];
    });
  });
}

/** Returns the share of requests that were served. */
export function computeServedShare(records: readonly callers.CallRecord[]): number {
  const served = records.filter(({ status, isComplete }) => status === HTTP_OK && isComplete);
  return served.length / Math.max(1, records.length);
}
