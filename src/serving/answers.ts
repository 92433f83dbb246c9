/** What the router answers by itself, by what is known of the run. */
import * as resultCodes from "../protocol/result-codes.js";

/** A refusal that promises that the request has not run and never will. */
export function createRefusal(retryAfterMs: number, detail: string): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  return new resultCodes.RequestError(RESULT_CODES.overloaded, RAN.no, { retryAfterMs, detail });
}

/** A failure after which the request may have run. */
export function createFailure(detail: string, cause?: unknown): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  return new resultCodes.RequestError(RESULT_CODES.upstreamFailed, RAN.unknown, { detail, cause });
}

/** The time of the caller or of the route is over; the request may have run. */
export function createTimeout(detail: string): resultCodes.RequestError {
  const { RESULT_CODES, RAN } = resultCodes;
  return new resultCodes.RequestError(RESULT_CODES.deadlineExceeded, RAN.unknown, { detail });
}

const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_MISDIRECTED = 421;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;

/** Statuses that promise a caller that its request has not run. */
const PROMISES: ReadonlySet<number> = new Set([
  HTTP_REQUEST_TIMEOUT,
  HTTP_MISDIRECTED,
  HTTP_TOO_MANY,
  HTTP_UNAVAILABLE,
]);

/** Whether a status promises that the request has not run. */
export function isPromise(status: number): boolean {
  return PROMISES.has(status);
}

const FIRST_SUCCESS = 200;
const FIRST_REDIRECTION = 300;

/** Whether a status is a success. */
export function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
}

const FIRST_SERVER_ERROR = 500;

/** Whether a status says that the runner failed. */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR;
}
