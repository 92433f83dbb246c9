/**
 * Checks of the guarantees. They are independent of the router: they read only the callers'
 * answers, what the upstreams executed and held, and which nodes still refer to a node that shuts
 * down.
 */
import * as engineModel from "../engine/engine-model.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as matrixCaller from "./matrix-caller.js";
import type * as plainService from "./plain-service.js";

/** The guarantees that the matrix checks; `listGuarantees` tells which apply to a request. */
export const GUARANTEE = {
  answeredOnce: "answered once, in time",
  wholeAnswer: "whole answer to its own request",
  notRunIsTrue: "not run is true",
  atMostOnce: "non-idempotent runs at most once",
  memoryReleased: "no engine memory for a caller that is gone",
  poisonStops: "poison stops after two runners",
  leavingVmUnused: "leaving VM gets no new work after 3 s",
  drainIsGraceful: "shutdown cuts off nothing",
} as const;

/** One of the values of `GUARANTEE`. */
export type Guarantee = (typeof GUARANTEE)[keyof typeof GUARANTEE];

/** The graceful shutdown of a node, and the nodes that still referred to it 3 s later. */
export interface GracefulShutdown {
  readonly vm: string;
  /** Time at which it began. */
  readonly startedAt: number;
  /** Nodes whose address answer or new session still named it. */
  readonly referencedBy: readonly string[];
}

/** What was observed from outside during a run. */
export interface Observations {
  readonly attempts: readonly matrixCaller.AttemptRecord[];
  readonly executions: readonly plainService.Execution[];
  readonly gracefulShutdown: GracefulShutdown | undefined;
  /** Whether the service receives request ids, so that an execution belongs to one id. */
  readonly hasIds: boolean;
  readonly path: "plain" | "model";
  /** Attempts whose work engines still held or queued some seconds after the caller was gone. */
  readonly heldResources: readonly string[];
  /** Number of engine crashes. */
  readonly crashes: number;
}

/** Returns how a guarantee was violated; `undefined` when it was upheld. */
type GuaranteeCheck = (observations: Observations) => string | undefined;

const { ANSWER } = matrixCaller;

function checkAnsweredOnce({ attempts, path }: Observations): string | undefined {
  const answerableAttempts = attempts.filter(
    ({ isEntryHealthy, isCancelled }) => isEntryHealthy && !isCancelled,
  );
  const unansweredAttempt = answerableAttempts.find(
    ({ answer }) => answer === ANSWER.timeout || answer === ANSWER.broken,
  );
  if (unansweredAttempt)
    return `no answer (${unansweredAttempt.answer}) from ${unansweredAttempt.vm}`;
  const successes = attempts.filter(({ answer }) => answer === ANSWER.success);
  if (path === "model" && hasOverlappingAnswers(successes))
    return "two overlapping attempts both got a whole answer";
  const texts = new Set(successes.map(({ text }) => text));
  return texts.size > 1 ? `${texts.size} different answers` : undefined;
}

/** A retry that is sent less than this before an answer arrives may cross it on the wire. */
const RETRY_RACE_WINDOW_MS = 10;

/**
 * Whether an attempt got a whole answer after a later one, which got one too, had superseded it.
 */
function hasOverlappingAnswers(successes: readonly matrixCaller.AttemptRecord[]): boolean {
  return successes.some((first, index) =>
    successes
      .slice(index + 1)
      .some((second) => second.startedAt + RETRY_RACE_WINDOW_MS < first.endedAt),
  );
}

/** Checks that every stream is a prefix of the expected answer, and a completed one all of it. */
function checkStreams(attempts: readonly matrixCaller.AttemptRecord[]): string | undefined {
  for (const { body, answer, text, tokens, vm } of attempts) {
    const expected = engineModel.computeExpectedTokens(body, Infinity);
    const wrongIndex = tokens.findIndex(
      (token, index) => token.offset !== index || token.text !== expected[index],
    );
    if (wrongIndex >= 0)
      return `wrong token ${wrongIndex} from ${vm}: ${tokens[wrongIndex]?.text ?? ""}`;
    const isWhole = text === expected.join("");
    if (answer === ANSWER.success && !isWhole)
      return `truncated after ${tokens.length} tokens by ${vm}`;
  }
  return undefined;
}

function checkWholeAnswer({ attempts, path }: Observations): string | undefined {
  if (path === "model") return checkStreams(attempts);
  const wrongAttempt = attempts.find(
    ({ answer, text, body }) => answer === ANSWER.success && !isAnswerTo(text, body),
  );
  return wrongAttempt && `answer truncated or of another request: ${wrongAttempt.text ?? "none"}`;
}

function isAnswerTo(text: string | undefined, body: string): boolean {
  try {
    return (JSON.parse(text ?? "") as { booked?: unknown }).booked === body;
  } catch {
    return false;
  }
}

function checkNotRun({ attempts, executions, hasIds, path }: Observations): string | undefined {
  const notRunAttempts = attempts.filter(({ ran }) => ran === codes.RAN.no);
  const startedAttempt =
    path === "model" ? notRunAttempts.find((attempt) => attempt.executions > 0) : undefined;
  if (startedAttempt)
    return `engine had started when ${startedAttempt.vm} answered not run (${startedAttempt.code ?? "no code"})`;
  const executedAttempt = notRunAttempts.find((attempt) =>
    executions.some((execution) =>
      hasIds ? execution.id === attempt.id : execution.body === attempt.body,
    ),
  );
  return (
    executedAttempt &&
    `ran although ${executedAttempt.vm} answered not run (${executedAttempt.code ?? "no code"})`
  );
}

function checkAtMostOnce({ executions }: Observations): string | undefined {
  const counts = new Map<string, number>();
  for (const { body } of executions) counts.set(body, (counts.get(body) ?? 0) + 1);
  const most = Math.max(0, ...counts.values());
  return most > 1 ? `ran ${most} times` : undefined;
}

function checkReleased({ heldResources }: Observations): string | undefined {
  return heldResources.length === 0 ? undefined : heldResources.join(", ");
}

function checkPoison({ crashes }: Observations): string | undefined {
  return crashes > 2 ? `crashed ${crashes} times` : undefined;
}

function checkLeaving({ gracefulShutdown }: Observations): string | undefined {
  if (!gracefulShutdown || gracefulShutdown.referencedBy.length === 0) return undefined;
  return `still referred to by ${gracefulShutdown.referencedBy.join(", ")}`;
}

function checkDrain({ attempts, gracefulShutdown }: Observations): string | undefined {
  if (!gracefulShutdown) return undefined;
  const { startedAt: shutdownAt, vm } = gracefulShutdown;
  const cutOffAttempt = attempts.find(
    (attempt) =>
      attempt.vm === vm &&
      attempt.startedAt <= shutdownAt &&
      !attempt.isCancelled &&
      (attempt.answer === ANSWER.broken || attempt.answer === ANSWER.timeout),
  );
  const unknownAttempt = attempts.find(
    ({ ran, startedAt, isCancelled }) =>
      startedAt <= shutdownAt && ran === codes.RAN.unknown && !isCancelled,
  );
  if (cutOffAttempt) return `request cut off by the shutdown of ${vm}: ${cutOffAttempt.answer}`;
  return unknownAttempt && `outcome lost in the shutdown: ${unknownAttempt.code ?? "no code"}`;
}

/** The check of each guarantee. */
export const GUARANTEE_CHECKS: Readonly<Record<Guarantee, GuaranteeCheck>> = {
  [GUARANTEE.answeredOnce]: checkAnsweredOnce,
  [GUARANTEE.wholeAnswer]: checkWholeAnswer,
  [GUARANTEE.notRunIsTrue]: checkNotRun,
  [GUARANTEE.atMostOnce]: checkAtMostOnce,
  [GUARANTEE.memoryReleased]: checkReleased,
  [GUARANTEE.poisonStops]: checkPoison,
  [GUARANTEE.leavingVmUnused]: checkLeaving,
  [GUARANTEE.drainIsGraceful]: checkDrain,
};

/** Guarantees that apply only to the graceful shutdown of a node. */
export const SHUTDOWN_GUARANTEES: ReadonlySet<Guarantee> = new Set([
  GUARANTEE.leavingVmUnused,
  GUARANTEE.drainIsGraceful,
]);

/** Guarantees that apply to requests of one path only. */
const REQUIRED_PATH: Readonly<Partial<Record<Guarantee, "plain" | "model">>> = {
  [GUARANTEE.atMostOnce]: "plain",
  [GUARANTEE.memoryReleased]: "model",
  [GUARANTEE.poisonStops]: "model",
};

/**
 * Lists the guarantees that apply to a request on `path`.
 *
 * @param isGracefulShutdown - whether every injected fault is a graceful shutdown.
 * @param hasPoison - whether the request crashes the engines that run it.
 */
export function listGuarantees(
  path: "plain" | "model",
  isGracefulShutdown: boolean,
  hasPoison: boolean,
): readonly Guarantee[] {
  return Object.values(GUARANTEE).filter((guarantee) => {
    if ((REQUIRED_PATH[guarantee] ?? path) !== path) return false;
    if (guarantee === GUARANTEE.poisonStops) return hasPoison;
    return isGracefulShutdown || !SHUTDOWN_GUARANTEES.has(guarantee);
  });
}
