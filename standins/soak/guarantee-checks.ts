/**
 * Checks of the router's guarantees against what callers and runners observed. Each check returns
 * how a request violates the guarantee, or `undefined`.
 */
import * as budgetCheck from "../retry-budget-check.js";
import * as callers from "./callers.js";
import * as plainRunner from "./plain-runner.js";
import type * as soakCluster from "./soak-cluster.js";

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const HTTP_OK = 200;
/** Number of events in a complete stream. */
const EVENT_COUNT = 40;

const VERSION_LABEL = /( of \S+)$/;

/** Everything that callers and runners observed during a soak. */
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
  const isViolated = record.kind === callers.CALL_KIND.book && runs.length > 1;
  return isViolated ? `ran ${runs.length} times although it is not idempotent` : undefined;
}

function checkNotRun(
  record: callers.CallRecord,
  runs: readonly soakCluster.ObservedRun[],
): string | undefined {
  const isGuaranteed = record.status !== undefined && NOT_RUN_STATUSES.has(record.status);
  return isGuaranteed && runs.length > 0
    ? `was answered with status ${record.status} but ran`
    : undefined;
}

function checkOwnAnswer(record: callers.CallRecord): string | undefined {
  if (record.status !== HTTP_OK) return undefined;
  const { "request-id": id, "response-stamp": stamp } = record.headers;
  if (id !== record.id) return `got the answer to request ${String(id)}`;
  return stamp === undefined ? "got status 200 without the stamp of a runner" : undefined;
}

function checkWholeAnswer(
  record: callers.CallRecord,
  runs: readonly soakCluster.ObservedRun[],
): string | undefined {
  const isPlain = record.kind !== callers.CALL_KIND.notes;
  if (!isPlain || record.status !== HTTP_OK || !record.isComplete) return undefined;
  const expected = runs.map(({ runner }) => plainRunner.formatAnswer(record.id, runner));
  return expected.includes(record.body)
    ? undefined
    : "got a body that differs from the answers of all its runners";
}

function checkStream(record: callers.CallRecord): string | undefined {
  if (record.kind !== callers.CALL_KIND.notes || record.status !== HTTP_OK) return undefined;
  const events = record.body.split("\n\n").slice(0, -1);
  // Runners of several software versions name theirs in each event.
  const [, label = ""] = VERSION_LABEL.exec(events[0] ?? "") ?? [];
  const isInOrder = events.every(
    (event, index) => event === `id: ${index}\ndata: piece ${index}${label}`,
  );
  if (!isInOrder)
    return "got events that are out of order, repeated, incomplete or of two versions";
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

/** Returns a line for each violated guarantee, with its name and the request. */
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

/** `bounds` of the gateways' settings, and `max_attempts` of the routes. */
const BUDGET_LIMITS = { slack: 54, windowMs: 10_000 };
const MAX_ATTEMPTS = 2;
/** Requests that may run on more runners than `MAX_ATTEMPTS`. */
const MAX_OVER_ATTEMPTED = 3;

/** Returns a line for each service whose retries exceeded the shared budget, and one for requests on too many runners. */
export function listBudgetViolations({
  sentCalls,
  arrivals,
  retryRatio,
}: Pick<soakCluster.SoakCluster, "sentCalls" | "arrivals" | "retryRatio">): string[] {
  const rule = { ...BUDGET_LIMITS, ratio: retryRatio };
  const windows = ["plain", "model"].map((service) => {
    const isOwn = (one: { readonly service: string }): boolean => one.service === service;
    const worst = budgetCheck.computeWorstWindow(
      rule,
      sentCalls.filter(isOwn),
      arrivals.filter(isOwn),
    );
    return { service, ...worst };
  });
  const violations = windows
    .filter(({ repeats, allowed }) => repeats > allowed)
    .map(
      ({ service, repeats, allowed }) =>
        `BUDGET: ${repeats} repeats at ${service} in a window that allows ${allowed.toFixed(1)}`,
    );
  const overAttempted = budgetCheck.listOverAttempted(arrivals, MAX_ATTEMPTS);
  if (overAttempted.length > MAX_OVER_ATTEMPTED)
    violations.push(`BUDGET: ${overAttempted.length} requests ran on more than two runners`);
  return violations;
}

/** Returns the share of requests that got a complete response with status 200. */
export function computeServedShare(records: readonly callers.CallRecord[]): number {
  const served = records.filter(({ status, isComplete }) => status === HTTP_OK && isComplete);
  return served.length / Math.max(1, records.length);
}
