/** Judges outside the router: they read only the callers' answers and the service's executions. */
import * as codes from "../../src/protocol/result-codes.js";
import * as bookingCaller from "./booking-caller.js";
import type * as plainService from "./plain-service.js";

/** The promises that a plain request can show. */
export const PROMISE = {
  answeredOnce: "answered once, in time",
  wholeAnswer: "whole answer to its own request",
  notRunIsTrue: "not run is true",
  atMostOnce: "non-idempotent runs at most once",
  leavingIsEmpty: "leaving VM gets no new work after 3 s",
  drainIsGraceful: "shutdown cuts off nothing",
} as const;

/** One of the values of `PROMISE`. */
export type Promised = (typeof PROMISE)[keyof typeof PROMISE];

/** A node that left during the run, and what the other nodes still said of it 3 s later. */
export interface Departure {
  readonly vm: string;
  readonly at: number;
  /** Nodes whose address answer or session still named it. */
  readonly namedBy: readonly string[];
}

/** What the judges know of a run. */
export interface Evidence {
  readonly attempts: readonly bookingCaller.AttemptRecord[];
  readonly executions: readonly plainService.Execution[];
  readonly departure: Departure | undefined;
  /** Whether ids reach the service, so that executions can be told apart by id. */
  readonly hasIds: boolean;
}

/** Returns what speaks against a promise; nothing when it was kept. */
type Judge = (evidence: Evidence) => string | undefined;

const { ANSWER } = bookingCaller;

function checkAnsweredOnce({ attempts }: Evidence): string | undefined {
  const owed = attempts.filter(({ isEntryHealthy, isCancelled }) => isEntryHealthy && !isCancelled);
  const unanswered = owed.find(
    ({ answer }) => answer === ANSWER.timeout || answer === ANSWER.broken,
  );
  if (unanswered) return `no answer (${unanswered.answer}) from ${unanswered.vm}`;
  const successes = attempts.filter(({ answer }) => answer === ANSWER.success);
  const texts = new Set(successes.map(({ text }) => text));
  return texts.size > 1 ? `${texts.size} different answers` : undefined;
}

function checkWholeAnswer({ attempts }: Evidence): string | undefined {
  const wrong = attempts.find(
    ({ answer, text, body }) => answer === ANSWER.success && !isAnswerTo(text, body),
  );
  return wrong && `answer of another request or cut: ${wrong.text ?? "none"}`;
}

function isAnswerTo(text: string | undefined, body: string): boolean {
  try {
    return (JSON.parse(text ?? "") as { booked?: unknown }).booked === body;
  } catch {
    return false;
  }
}

function checkNotRun({ attempts, executions, hasIds }: Evidence): string | undefined {
  const refused = attempts.filter(({ ran }) => ran === codes.RAN.no);
  const wrong = refused.find((attempt) =>
    executions.some((execution) =>
      hasIds ? execution.id === attempt.id : execution.body === attempt.body,
    ),
  );
  return wrong && `ran though ${wrong.vm} said not run (${wrong.code ?? "no code"})`;
}

function checkAtMostOnce({ executions }: Evidence): string | undefined {
  const counts = new Map<string, number>();
  for (const { body } of executions) counts.set(body, (counts.get(body) ?? 0) + 1);
  const most = Math.max(0, ...counts.values());
  return most > 1 ? `ran ${most} times` : undefined;
}

function checkLeaving({ departure }: Evidence): string | undefined {
  if (!departure || departure.namedBy.length === 0) return undefined;
  return `still named by ${departure.namedBy.join(", ")}`;
}

function checkDrain({ attempts, departure }: Evidence): string | undefined {
  if (!departure) return undefined;
  const { at, vm } = departure;
  const cut = attempts.find(
    (attempt) =>
      attempt.vm === vm &&
      attempt.startedAt <= at &&
      !attempt.isCancelled &&
      (attempt.answer === ANSWER.broken || attempt.answer === ANSWER.timeout),
  );
  const unknown = attempts.find(
    ({ ran, startedAt }) => startedAt <= at && ran === codes.RAN.unknown,
  );
  if (cut) return `cut off at ${vm}: ${cut.answer}`;
  return unknown && `lost in the shutdown: ${unknown.code ?? "no code"}`;
}

/** The judge of each promise. */
export const JUDGES: Readonly<Record<Promised, Judge>> = {
  [PROMISE.answeredOnce]: checkAnsweredOnce,
  [PROMISE.wholeAnswer]: checkWholeAnswer,
  [PROMISE.notRunIsTrue]: checkNotRun,
  [PROMISE.atMostOnce]: checkAtMostOnce,
  [PROMISE.leavingIsEmpty]: checkLeaving,
  [PROMISE.drainIsGraceful]: checkDrain,
};

/** Promises that only a departure can show. */
export const DEPARTURE_PROMISES: ReadonlySet<Promised> = new Set([
  PROMISE.leavingIsEmpty,
  PROMISE.drainIsGraceful,
]);
