import * as test from "node:test";
import * as otel from "@opentelemetry/api";
import * as earl from "earl";
import * as spans from "../../src/telemetry/spans.js";
import * as tracing from "../../src/telemetry/tracing.js";
import * as settings from "./settings-kernel.js";

const TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
const TRACEPARENT = `00-${TRACE_ID}-00f067aa0ba902b7-01`;

interface Headers {
  traceparent?: string;
}

/**
 * Runs two nested spans with a caller's trace context and returns the headers that an upstream
 * would receive.
 */
async function captureSentHeaders(tracer: otel.Tracer): Promise<Headers> {
  const parent = otel.propagation.extract(otel.context.active(), { traceparent: TRACEPARENT });
  const headers: Headers = {};
  await otel.context.with(parent, () =>
    spans.runInSpan(tracer, "request", {}, () =>
      spans.runInSpan(tracer, "prefill", {}, () => {
        otel.propagation.inject(otel.context.active(), headers);
        return Promise.resolve();
      }),
    ),
  );
  return headers;
}

test.describe("createTracer", () => {
  test.it("propagates the caller's trace context unchanged if tracing is disabled", async () => {
    await using kernel = settings.createSettingsKernel({ otlpUrl: undefined });
    const headers = await captureSentHeaders(tracing.createTracer(kernel));
    earl.expect(headers).toEqual({ traceparent: TRACEPARENT });
  });

  test.it(
    "continues the caller's trace with its own spans if an endpoint is configured",
    async () => {
      const otlpUrl = "http://127.0.0.1:9/v1/traces";
      await using kernel = settings.createSettingsKernel({ otlpUrl });
      const { traceparent } = await captureSentHeaders(tracing.createTracer(kernel));
      earl.expect(traceparent ?? "").toMatchRegex(new RegExp(`^00-${TRACE_ID}-[0-9a-f]{16}-01$`));
      earl.expect(traceparent).not.toEqual(TRACEPARENT);
    },
  );
});
