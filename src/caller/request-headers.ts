/** Parses the request headers that the caller-facing HTTP server uses. */
import * as codes from "../protocol/result-codes.js";
import type * as configuration from "../configuration/types.js";
import type * as document from "../settings/document.js";
import * as credentials from "../settings/credentials.js";
import type * as types from "./types.js";

const MAX_ATTEMPT = 1_000;
const MAX_ID_LENGTH = 1_000;

/** Header values by lower-case name. */
export type Headers = Readonly<Record<string, unknown>>;

/**
 * Returns the caller whose bearer credential the headers carry.
 *
 * @throws RequestError `unknownCaller`
 */
export function getCallerByHeaders(
  activeConfiguration: configuration.ActiveConfiguration,
  headers: Headers,
): document.Caller {
  const credential = credentials.parseBearer(getHeader(headers, "authorization"));
  const caller =
    credential === undefined
      ? undefined
      : credentials.findCaller(activeConfiguration.document, credential);
  if (caller === undefined) {
    throw new codes.RequestError(codes.RESULT_CODES.unknownCaller, codes.RAN.no);
  }
  return caller;
}

/** Parses `X-Attempt`, which defaults to 1. @throws RequestError `headerOutOfRange` */
export function parseAttempt(headers: Headers): number {
  const text = getHeader(headers, "x-attempt") ?? "1";
  const attempt = /^\d{1,4}$/.test(text) ? Number(text) : 0;
  if (attempt < 1 || attempt > MAX_ATTEMPT) {
    throw new codes.RequestError(codes.RESULT_CODES.headerOutOfRange, codes.RAN.no, {
      detail: `X-Attempt must be 1 to ${MAX_ATTEMPT}`,
    });
  }
  return attempt;
}

/**
 * Parses and verifies `Idempotency-Key`, if present.
 *
 * @throws RequestError `headerOutOfRange`, `sessionInvalid` or `sessionExpired`.
 */
export function parseRequestId(
  headers: Headers,
  sessions: types.Sessions,
  caller: document.Caller,
): types.RequestId | undefined {
  const text = getHeader(headers, "idempotency-key");
  if (text === undefined) return undefined;
  if (text.length > MAX_ID_LENGTH) {
    throw new codes.RequestError(codes.RESULT_CODES.headerOutOfRange, codes.RAN.no);
  }
  return sessions.parse(text, caller.name);
}

/** Returns a header's value; `undefined` when it is absent or has several. */
export function getHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}
