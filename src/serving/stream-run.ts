/**
 * Decides whether the answer of a run begins or continues a stream. A runner's success alone does not show that: a faulty
 * runner, or another process at its address, can answer with a success that adds nothing.
 */
import type * as http from "node:http";

const HTTP_OK = 200;
const EVENT_STREAM_TYPE = "text/event-stream";
const IDENTITY_ENCODING = "identity";

/** Returns why a response is not a stream of events, if it is not. A response may leave its content type out. */
export function findHeadFault({
  statusCode = 0,
  headers,
}: Pick<http.IncomingMessage, "statusCode" | "headers">): string | undefined {
  if (statusCode !== HTTP_OK) return `status ${statusCode} is no stream`;
  const type = headers["content-type"]?.split(";")[0]?.trim().toLowerCase();
  if (type !== undefined && type !== EVENT_STREAM_TYPE) return `content of type ${type}`;
  const encoding = headers["content-encoding"]?.trim().toLowerCase();
  const isEncoded = encoding !== undefined && encoding !== IDENTITY_ENCODING;
  return isEncoded ? `content in encoding ${encoding}` : undefined;
}

const INTEGER_PATTERN = /^\d+$/;

/**
 * Returns why an event cannot follow the last one that the caller has, if it cannot. Ids of events increase; only numbers can
 * be compared.
 *
 * @param isConsecutive - whether each id so far was one above the id before.
 */
export function findOrderFault(
  lastId: string | undefined,
  id: string | undefined,
  isConsecutive: boolean,
): string | undefined {
  if (lastId === undefined) return undefined;
  if (id === undefined || id === "") return `event without an id after event ${lastId}`;
  const areNumbers = INTEGER_PATTERN.test(lastId) && INTEGER_PATTERN.test(id);
  const step = areNumbers ? Number(id) - Number(lastId) : Number(id !== lastId);
  const isGap = areNumbers && isConsecutive && step > 1;
  return step <= 0 || isGap ? `event ${id} after event ${lastId}` : undefined;
}
