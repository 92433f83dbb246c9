/** Checks request heads: the `Host` header, and the size of request line and headers. */
import type * as http from "node:http";
import * as resultCodes from "../protocol/result-codes.js";

/**
 * Bytes of a request line besides method and target: two spaces and the version, as in `GET /path
 * HTTP/1.1`.
 */
const REQUEST_LINE_EXTRA_BYTES = "  HTTP/1.1".length;
const LINE_END_BYTES = "\r\n".length;
const SEPARATOR_BYTES = ": ".length;

/** Computes the size of a request head as received, except for optional white space. */
export function computeHeadBytes(request: http.IncomingMessage): number {
  const { method = "", url = "", rawHeaders } = request;
  const requestLineBytes = method.length + url.length + REQUEST_LINE_EXTRA_BYTES + LINE_END_BYTES;
  const headerTextBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const headerSeparatorBytes = (rawHeaders.length / 2) * (SEPARATOR_BYTES + LINE_END_BYTES);
  return requestLineBytes + headerTextBytes + headerSeparatorBytes + LINE_END_BYTES;
}

/** @throws RequestError `malformedRequest` when the `Host` header is missing (RFC 9112, section 3.2). */
export function checkHost({ httpVersion, headers }: http.IncomingMessage): void {
  if (headers.host !== undefined || httpVersion === "1.0") return;
  const detail = "malformed request: no host";
  const { RESULT_CODES, RAN } = resultCodes;
  throw new resultCodes.RequestError(RESULT_CODES.malformedRequest, RAN.no, { detail });
}
