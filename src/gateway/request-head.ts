/** Checks request heads: the `Host` header, and the size of the headers. */
import type * as http from "node:http";
import * as pacedReader from "./paced-reader.js";
import * as resultCodes from "../protocol/result-codes.js";

const SEPARATOR_BYTES = ":".length;
const LINE_END_BYTES = "\r\n".length;

/**
 * Computes the size of the headers as received, without optional white space, which the parser drops. The request line does not
 * count: the limit of the configuration is one for headers.
 */
export function computeHeaderBytes({
  rawHeaders,
}: Pick<http.IncomingMessage, "rawHeaders">): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * (SEPARATOR_BYTES + LINE_END_BYTES);
}

/** Memory that holds a request in progress besides its head and body. */
const REQUEST_COST_BYTES = 8_192;

/** Returns about how much memory the head of a request and its state take while it is in progress. */
export function computeMemoryCost(request: Pick<http.IncomingMessage, "rawHeaders">): number {
  const lines = request.rawHeaders.length / 2;
  const linesBytes = lines * pacedReader.LINE_COST_BYTES;
  return REQUEST_COST_BYTES + computeHeaderBytes(request) + linesBytes;
}

/** @throws RequestError `malformedRequest` when the `Host` header is missing (RFC 9112, section 3.2). */
export function checkHost({ httpVersion, headers }: http.IncomingMessage): void {
  if (headers.host !== undefined || httpVersion === "1.0") return;
  const detail = "malformed request: no host";
  const { RESULT_CODES, RAN } = resultCodes;
  throw new resultCodes.RequestError(RESULT_CODES.malformedRequest, RAN.no, { detail });
}
