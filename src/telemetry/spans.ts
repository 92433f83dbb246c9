/** Runs functions inside trace spans that record failures. */
import * as otel from "@opentelemetry/api";

const TRACER_NAME = "ebonyhook";

/** Creates a tracer that records nothing, at negligible cost, until a provider is registered. */
export function createNoopTracer(): otel.Tracer {
  return otel.trace.getTracer(TRACER_NAME);
}

/**
 * Runs `work` in a new span whose parent is taken from the trace context of the headers, if any.
 */
export function runInSpanFromHeaders<Result>(
  tracer: otel.Tracer,
  name: string,
  headers: Readonly<Record<string, unknown>>,
  attributes: otel.Attributes,
  work: () => Promise<Result>,
): Promise<Result> {
  const parent = otel.propagation.extract(otel.context.active(), headers);
  return otel.context.with(parent, () => runInSpan(tracer, name, attributes, work));
}

/**
 * Runs `work` in a new span, which is the active span meanwhile.
 *
 * @example await runInSpan(tracer, "prefill", { runner: "p1" }, () => engine.prefill(...));
 */
export function runInSpan<Result>(
  tracer: otel.Tracer,
  name: string,
  attributes: otel.Attributes,
  work: () => Promise<Result>,
): Promise<Result> {
  return tracer.startActiveSpan(name, { attributes }, async (span) => {
    try {
      return await work();
    } catch (error) {
      span.setStatus({ code: otel.SpanStatusCode.ERROR, message: String(error) });
      throw error;
    } finally {
      span.end();
    }
  });
}
