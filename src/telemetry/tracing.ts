/** Traces with a span for each hop; off unless an OTLP endpoint is set. */
import * as otel from "@opentelemetry/api";
import * as exporters from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdk from "@opentelemetry/sdk-trace-node";
import type * as kernels from "../kernel/container.js";
import * as spans from "./spans.js";
import type * as types from "./types.js";

const SERVICE_NAME = "ebonyhook";

/**
 * Creates the tracer of a node. With `otlpUrl` in the settings, spans are exported there in batches;
 * without it none is recorded. Either way a caller's trace goes on to the upstreams in
 * `traceparent` headers.
 *
 * @example createTracer(kernel).startActiveSpan("prefill", (span) => span.end());
 */
export function createTracer(kernel: kernels.Kernel): types.Tracer {
  const { otlpUrl, vm } = kernel.use("settings");
  if (otlpUrl === undefined) return createPassingTracer();
  const provider = new sdk.NodeTracerProvider({
    resource: resources.resourceFromAttributes({
      "service.name": SERVICE_NAME,
      "service.instance.id": vm,
    }),
    spanProcessors: [new sdk.BatchSpanProcessor(new exporters.OTLPTraceExporter({ url: otlpUrl }))],
  });
  provider.register();
  return provider.getTracer(SERVICE_NAME);
}

/**
 * Creates a tracer whose spans stand for the caller's own, which passes unchanged. Registering a
 * provider sets up context and headers; disabling it afterwards leaves only these.
 */
function createPassingTracer(): types.Tracer {
  new sdk.NodeTracerProvider().register();
  otel.trace.disable();
  return spans.createNoopTracer();
}
