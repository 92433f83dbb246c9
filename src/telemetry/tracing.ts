/** Distributed tracing with a span per hop; disabled unless an OTLP endpoint is configured. */
import * as otel from "@opentelemetry/api";
import * as exporters from "@opentelemetry/exporter-trace-otlp-http";
import * as resources from "@opentelemetry/resources";
import * as sdk from "@opentelemetry/sdk-trace-node";
import type * as kernels from "../kernel/container.js";
import * as spans from "./spans.js";
import type * as types from "./types.js";

const SERVICE_NAME = "ebonyhook";

/**
 * Creates the tracer of a node. If `otlpUrl` is configured, spans are exported there in batches;
 * otherwise none is recorded. In both cases the caller's trace context is propagated to the
 * upstreams in `traceparent` headers.
 *
 * @example createTracer(kernel).startActiveSpan("prefill", (span) => span.end());
 */
export function createTracer(kernel: kernels.Kernel): types.Tracer {
  const { otlpUrl, vm } = kernel.use("settings");
  if (otlpUrl === undefined) return createPropagatingTracer();
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
 * Creates a tracer that records nothing and propagates the caller's trace context unchanged.
 * Registering a provider installs the context manager and the header propagator; disabling tracing
 * afterwards leaves these in place.
 */
function createPropagatingTracer(): types.Tracer {
  new sdk.NodeTracerProvider().register();
  otel.trace.disable();
  return spans.createNoopTracer();
}
