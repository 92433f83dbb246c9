/** Tells when the caller of a request is gone. */
import type * as hapi from "@hapi/hapi";

/**
 * Returns a signal that aborts when the caller's connection closes before the answer is complete.
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
