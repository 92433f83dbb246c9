import * as test from "node:test";
import * as otel from "@opentelemetry/api";
import * as earl from "earl";
import * as spans from "../../src/telemetry/spans.js";
import * as tracing from "../../src/telemetry/tracing.js";
import * as settings from "./settings.js";

const TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736";
const TRACEPARENT = `00-${TRACE_ID}-00f067aa0ba902b7-01`;

interface Headers {
  traceparent?: string;
}

/** Runs two nested spans under a caller's trace and returns what an upstream would be sent. */
async function readSentHeaders(tracer: otel.Tracer): Promise<Headers> {
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
  test.it("passes the caller's trace on unchanged when nothing is exported", async () => {
    await using kernel = settings.createSettingsKernel({ otlpUrl: undefined });
    const headers = await readSentHeaders(tracing.createTracer(kernel));
    earl.expect(headers).toEqual({ traceparent: TRACEPARENT });
  });

  test.it("continues the caller's trace with spans of its own when it exports", async () => {
    const otlpUrl = "http://127.0.0.1:9/v1/traces";
    await using kernel = settings.createSettingsKernel({ otlpUrl });
    const { traceparent } = await readSentHeaders(tracing.createTracer(kernel));
    earl.expect(traceparent ?? "").toMatchRegex(new RegExp(`^00-${TRACE_ID}-[0-9a-f]{16}-01$`));
    earl.expect(traceparent).not.toEqual(TRACEPARENT);
  });
});
