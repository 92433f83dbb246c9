/** Classifies failed attempts and chooses whether and how to retry. */
import * as codes from "../protocol/result-codes.js";

/** Why an attempt failed. */
export const ATTEMPT_FAILURE = {
  /** No connection was established, so nothing was sent. */
  notConnected: "not-connected",
  /** The connection was lost, timed out or closed before the response was complete. */
  broken: "broken",
  /** The node responded with an error, with or without a result code. */
  refused: "refused",
} as const;

/** One of the values of `ATTEMPT_FAILURE`. */
export type AttemptFailureKind = (typeof ATTEMPT_FAILURE)[keyof typeof ATTEMPT_FAILURE];

/** A failed attempt. */
export class AttemptError extends Error {
  override readonly name = "AttemptError";
  readonly kind: AttemptFailureKind;
  /** Result code of a refusal. */
  readonly code: number | undefined;
  readonly ran: codes.Ran;
  readonly retryAfterMs: number | undefined;
  /** New session that came with a refusal. */
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

/** The step after a failed attempt. */
export const NEXT_STEP = {
  /** Retry with the same id, the next attempt number and the next address. */
  retry: "retry",
  /** Retry with a new id of a new session, starting at attempt 1. */
  retryWithNewId: "retry-with-new-id",
  /** Do not retry. */
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

/**
 * Result codes from here on are issued by the owner or backup of a request id and apply to the id;
 * lower ones apply to one attempt only.
 */
const FIRST_REQUEST_ID_CODE = 3000;
/** Result codes below this one are errors of the caller. */
const FIRST_CAPACITY_CODE = 2000;

/**
 * Chooses the step after a failed attempt of an idempotent request.
 *
 * @example chooseIdempotentStep(error) === NEXT_STEP.retry;
 */
export function chooseIdempotentStep(error: AttemptError): NextStep {
  if (error.kind !== ATTEMPT_FAILURE.refused || error.code === undefined) return NEXT_STEP.retry;
  if (SESSION_CODES.has(error.code)) return NEXT_STEP.retryWithNewId;
  const isFinal = isCallerError(error.code) || FINAL_CODES.has(error.code);
  return isFinal ? NEXT_STEP.stop : NEXT_STEP.retry;
}

/**
 * Chooses the step after a failed attempt of a non-idempotent request.
 *
 * A new id is used only when the old one is known not to have run. After an attempt broke off, a
 * refusal of a later attempt at another node proves that only if its code applies to the id.
 *
 * @param mayHaveRun - whether an earlier attempt with the same id broke off after it was sent.
 */
export function chooseNonIdempotentStep(error: AttemptError, mayHaveRun: boolean): NextStep {
  if (error.kind !== ATTEMPT_FAILURE.refused || error.code === undefined) return NEXT_STEP.retry;
  if (error.ran !== codes.RAN.no) return NEXT_STEP.stop;
  if (mayHaveRun && error.code < FIRST_REQUEST_ID_CODE) {
    return isCallerError(error.code) ? NEXT_STEP.stop : NEXT_STEP.retry;
  }
  const isFinal = isCallerError(error.code) && !SESSION_CODES.has(error.code);
  return isFinal ? NEXT_STEP.stop : NEXT_STEP.retryWithNewId;
}

/**
 * Computes whether the request ran, from its last error and its earlier attempts.
 *
 * @param mayHaveRun - whether any attempt with the id broke off after it was sent.
 */
export function computeRan(error: AttemptError, mayHaveRun: boolean): codes.Ran {
  const provesNotRun =
    error.kind === ATTEMPT_FAILURE.refused &&
    error.code !== undefined &&
    error.code >= FIRST_REQUEST_ID_CODE;
  if (error.ran === codes.RAN.no && mayHaveRun && !provesNotRun) return codes.RAN.unknown;
  return error.ran;
}

function isCallerError(code: number): boolean {
  return code < FIRST_CAPACITY_CODE;
}
