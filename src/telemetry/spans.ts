/** Runs work inside a span that records its failure. */
import * as otel from "@opentelemetry/api";

/**
 * Runs `work` in a new span that is active inside it.
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
