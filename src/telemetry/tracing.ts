/** Traces with a span for each hop; off unless an OTLP endpoint is set. */
import * as otel from "@opentelemetry/api";
import * as exporters from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdk from "@opentelemetry/sdk-trace-node";
import type * as kernels from "../kernel/container.js";
import type * as types from "./types.js";

const TRACER_NAME = "ebonyhook";

/**
 * Creates the tracer of a node. With `otlpUrl` in the settings, spans are exported there in batches
 * and the trace context travels in `traceparent` headers; without it spans cost nothing.
 *
 * @example createTracer(kernel).startActiveSpan("prefill", (span) => span.end());
 */
export function createTracer(kernel: kernels.Kernel): types.Tracer {
  const { otlpUrl, vm } = kernel.use("settings");
  if (otlpUrl === undefined) return otel.trace.getTracer(TRACER_NAME);
  const provider = new sdk.NodeTracerProvider({
    resource: resources.resourceFromAttributes({
      "service.name": TRACER_NAME,
      "service.instance.id": vm,
    }),
    spanProcessors: [new sdk.BatchSpanProcessor(new exporters.OTLPTraceExporter({ url: otlpUrl }))],
  });
  provider.register();
  return provider.getTracer(TRACER_NAME);
}
