/** Parses request targets (RFC 9112, section 3.2) into what routes a request and what is forwarded. */
import * as resultCodes from "../protocol/result-codes.js";
import type * as types from "./types.js";

/** A request target. */
export interface RequestTarget {
  /** Path and query byte for byte, as the origin form states them. */
  readonly target: string;
  readonly path: string;
  /** Host and port that an absolute form states; they replace those of the `Host` header. */
  readonly authority: string | undefined;
}

/** Scheme, authority, and path with query of an absolute form. */
const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/is;
const SERVER_TARGET = "*";

/**
 * Parses a request target in origin, absolute or asterisk form.
 *
 * @throws RequestError `malformedRequest` when an absolute form names no host, or a user.
 * @example parseTarget("GET", "http://api.example?x=1").target; // "/?x=1"
 */
export function parseTarget(method: string, text: string): RequestTarget {
  const [, authority, rest = ""] = ABSOLUTE_FORM.exec(text) ?? [];
  if (authority === undefined) return createTarget(text, undefined);
  if (/^(:|$)|@/.test(authority)) {
    const detail = "malformed request: authority of the target";
    const { RESULT_CODES, RAN } = resultCodes;
    throw new resultCodes.RequestError(RESULT_CODES.malformedRequest, RAN.no, { detail });
  }
  if (rest === "" && method === "OPTIONS") return createTarget(SERVER_TARGET, authority);
  return createTarget(rest.startsWith("/") ? rest : `/${rest}`, authority);
}

function createTarget(target: string, authority: string | undefined): RequestTarget {
  const queryStart = target.indexOf("?");
  return { target, path: queryStart < 0 ? target : target.slice(0, queryStart), authority };
}

/** Returns headers with the authority of an absolute form in place of each `Host` header. */
export function replaceHost(
  headers: types.HeaderList,
  authority: string | undefined,
): types.HeaderList {
  if (authority === undefined) return headers;
  return [["Host", authority], ...headers.filter(([name]) => name.toLowerCase() !== "host")];
}
