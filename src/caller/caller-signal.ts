/** Detects that a caller has disconnected. */
import type * as hapi from "@hapi/hapi";

/**
 * Returns a signal that aborts when the caller's connection closes before the response is fully
 * written.
 *
 * @example const signal = createCallerSignal(request);
 */
export function createCallerSignal(request: hapi.Request): AbortSignal {
  const controller = new AbortController();
  const response = request.raw.res;
  response.once("close", () => {
    if (!response.writableFinished) controller.abort(new Error("caller closed the connection"));
  });
  return controller.signal;
}
