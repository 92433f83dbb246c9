/** What one attempt at a node came to, and whether the contract lets the caller try again. */
import * as codes from "../protocol/result-codes.js";

/** How an attempt ended without an answer to its request. */
export const ATTEMPT_FAILURE = {
  /** No connection was made: nothing was sent. */
  notConnected: "not-connected",
  /** The connection broke, went silent or ended before the answer was whole. */
  broken: "broken",
  /** The node answered with a numbered error. */
  refused: "refused",
} as const;

/** One of the values of `ATTEMPT_FAILURE`. */
export type AttemptFailureKind = (typeof ATTEMPT_FAILURE)[keyof typeof ATTEMPT_FAILURE];

/** An attempt that brought no answer. */
export class AttemptError extends Error {
  override readonly name = "AttemptError";
  readonly kind: AttemptFailureKind;
  /** Result code of a refusal. */
  readonly code: number | undefined;
  readonly ran: codes.Ran;
  readonly retryAfterMs: number | undefined;
  /** Fresh session that a refusal carried. */
  readonly session: string | undefined;

  constructor(
    kind: AttemptFailureKind,
    message: string,
    options: ErrorOptions & {
      readonly code?: number;
      readonly ran?: codes.Ran;
      readonly retryAfterMs?: number;
      readonly session?: string;
    } = {},
  ) {
    super(message, options);
    this.kind = kind;
    this.code = options.code;
    this.ran =
      options.ran ?? (kind === ATTEMPT_FAILURE.notConnected ? codes.RAN.no : codes.RAN.unknown);
    this.retryAfterMs = options.retryAfterMs;
    this.session = options.session;
  }
}

/** What the caller does after a failed attempt. */
export const NEXT_STEP = {
  /** Same id, next attempt number, next address. */
  retry: "retry",
  /** New id under a fresh session, from attempt 1. */
  retryWithNewId: "retry-with-new-id",
  /** The failure is final. */
  stop: "stop",
} as const;

/** One of the values of `NEXT_STEP`. */
export type NextStep = (typeof NEXT_STEP)[keyof typeof NEXT_STEP];

const SESSION_CODES: ReadonlySet<number> = new Set([
  codes.RESULT_CODES.sessionRequired.number,
  codes.RESULT_CODES.sessionInvalid.number,
  codes.RESULT_CODES.sessionExpired.number,
]);

const FINAL_CODES: ReadonlySet<number> = new Set([
  codes.RESULT_CODES.deadlineExceeded.number,
  codes.RESULT_CODES.callerGone.number,
]);

/** Codes from here on speak of the request id at its owner or backup, lower ones of one attempt. */
const FIRST_CODE_OF_REQUEST = 3000;
const FIRST_CODE_OF_CAPACITY = 2000;

/**
 * Chooses the step after a failed attempt of a idempotent request.
 *
 * @example chooseIdempotentStep(error) === NEXT_STEP.retry;
 */
export function chooseIdempotentStep(error: AttemptError): NextStep {
  if (error.kind !== ATTEMPT_FAILURE.refused || error.code === undefined) return NEXT_STEP.retry;
  if (SESSION_CODES.has(error.code)) return NEXT_STEP.retryWithNewId;
  const isFinal = isCallerFault(error.code) || FINAL_CODES.has(error.code);
  return isFinal ? NEXT_STEP.stop : NEXT_STEP.retry;
}

/**
 * Chooses the step after a failed attempt of a non-idempotent request.
 *
 * A new id is made only when the old one is known not to have run. Once an attempt broke off, a
 * refusal of a later one at another node proves that only if it speaks of the request itself.
 *
 * @param uncertain - whether an earlier attempt of the same id broke off after it was sent.
 */
export function chooseNonIdempotentStep(error: AttemptError, uncertain: boolean): NextStep {
  if (error.kind !== ATTEMPT_FAILURE.refused || error.code === undefined) return NEXT_STEP.retry;
  if (error.ran !== codes.RAN.no) return NEXT_STEP.stop;
  if (uncertain && error.code < FIRST_CODE_OF_REQUEST) {
    return isCallerFault(error.code) ? NEXT_STEP.stop : NEXT_STEP.retry;
  }
  const isFinal = isCallerFault(error.code) && !SESSION_CODES.has(error.code);
  return isFinal ? NEXT_STEP.stop : NEXT_STEP.retryWithNewId;
}

/**
 * Computes whether the request ran, from its last error and what went before.
 *
 * @param uncertain - whether any attempt of the id broke off after it was sent.
 */
export function computeRan(error: AttemptError, uncertain: boolean): codes.Ran {
  const provesNotRun =
    error.kind === ATTEMPT_FAILURE.refused &&
    error.code !== undefined &&
    error.code >= FIRST_CODE_OF_REQUEST;
  if (error.ran === codes.RAN.no && uncertain && !provesNotRun) return codes.RAN.unknown;
  return error.ran;
}

function isCallerFault(code: number): boolean {
  return code < FIRST_CODE_OF_CAPACITY;
}
