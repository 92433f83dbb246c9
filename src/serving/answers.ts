/** Errors that the router itself returns, and the meaning of status codes for retries. */
import * as resultCodes from "../protocol/result-codes.js";
import type * as sendAccount from "../request/send-account.js";

/** Returns a refusal, which guarantees that the request has not run and will not run. */
export function createRefusal(retryAfterMs: number, detail: string): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  return new resultCodes.RequestError(RESULT_CODES.overloaded, RAN.no, { retryAfterMs, detail });
}

/** A refusal because no runner could be reached, so that a VM with other paths to them may serve the request. */
export class UnreachableError extends resultCodes.RequestError {}

/**
 * Returns a refusal of a request of which nothing ran.
 *
 * @param hasReachedNone - whether it was sent to runners and reached none of them.
 */
export function createUnservedRefusal(
  retryAfterMs: number,
  detail: string,
  hasReachedNone: boolean,
): resultCodes.RequestError {
  if (!hasReachedNone) return createRefusal(retryAfterMs, detail);
  const { RESULT_CODES, RAN } = resultCodes;
  return new UnreachableError(RESULT_CODES.overloaded, RAN.no, { retryAfterMs, detail });
}

/** Returns a failure after which the request may have run. */
export function createFailure(detail: string, cause?: unknown): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  return new resultCodes.RequestError(RESULT_CODES.upstreamFailed, RAN.unknown, { detail, cause });
}

/** Returns a timeout at the caller's deadline or the route's timeout; the request may have run. */
export function createTimeout(detail: string): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  return new resultCodes.RequestError(RESULT_CODES.deadlineExceeded, RAN.unknown, { detail });
}

/** Retry time of requests that a leaving VM refuses; other VMs serve them. */
const LEAVING_RETRY_AFTER_MS = 50;

/** Returns the refusal of a request by a VM that is leaving; it has not run and will not run. */
export function createLeavingRefusal(): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  const options = { retryAfterMs: LEAVING_RETRY_AFTER_MS };
  return new resultCodes.RequestError(RESULT_CODES.leaving, RAN.no, options);
}

/**
 * Returns the error of a call. One that the router itself ended, with a `RequestError` as the reason of `signal`, is a
 * refusal if no runner may have run it.
 */
export function chooseEndError(
  error: unknown,
  { reason }: AbortSignal,
  { arrivalCount }: Pick<sendAccount.SendAccount, "arrivalCount">,
): unknown {
  const isEnded = reason instanceof resultCodes.RequestError && error === reason;
  return isEnded && arrivalCount === 0 ? createLeavingRefusal() : error;
}

const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_MISDIRECTED = 421;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;

/** Statuses that guarantee to a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  HTTP_REQUEST_TIMEOUT,
  HTTP_MISDIRECTED,
  HTTP_TOO_MANY,
  HTTP_UNAVAILABLE,
]);

/** Whether a status guarantees that the request has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

const FIRST_SUCCESS = 200;
const FIRST_REDIRECTION = 300;

/** Whether a status is in the 2xx range. */
export function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
}

const FIRST_SERVER_ERROR = 500;

/** Whether a status is a server error. */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR;
}
