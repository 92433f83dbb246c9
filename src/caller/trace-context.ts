/** Propagates the caller's trace context to the span of a request. */
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as spans from "../telemetry/spans.js";

/** Runs a handler in a new span, whose parent is the span of the caller's `traceparent`, if any. */
export function runInRequestSpan<Result>(
  kernel: kernels.Kernel,
  request: hapi.Request,
  name: string,
  work: () => Promise<Result>,
): Promise<Result> {
  const attributes = { path: request.path };
  const tracer = kernel.use("tracer");
  return spans.runInSpanFromHeaders(tracer, name, request.headers, attributes, work);
}
