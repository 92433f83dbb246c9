/** A kernel with the real HTTP server and sessions, and fakes for all other services. */
import * as otel from "@opentelemetry/api";
import * as sessions from "../../src/caller/sessions.js";
import type * as callerTypes from "../../src/caller/types.js";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as examples from "../settings/examples.js";

const SELF = {
  vm: "vm-1",
  incarnation: 1,
  region: "lagos",
  zone: "ikeja",
  state: "alive",
  peer: { host: "127.0.0.1", port: 1 },
  caller: { host: "127.0.0.1", port: 2 },
};

async function* streamResponse(): AsyncGenerator<callerTypes.ModelEvent> {
  await Promise.resolve();
  yield { type: "token", offset: 0, text: "delay" };
  const counts = { promptTokens: 2, cachedTokens: 0, completionTokens: 1 };
  yield { type: "end", finishReason: "stop", ...counts };
}

/** Imitates the plain-call service, which requires an id for non-idempotent operations. */
function runPlainCall(call: callerTypes.PlainCall) {
  if (call.operation.idempotent) return { status: 200, headers: {}, body: Buffer.from("{}") };
  if (call.id !== undefined) return { status: 201, headers: {}, body: Buffer.from("{}") };
  throw new codes.RequestError(codes.RESULT_CODES.sessionRequired, codes.RAN.no, {
    session: "fresh",
  });
}

/** Creates the kernel, with the example document `lagos.json`. */
export function createServerKernel(): container.Kernel {
  const kernel = container.createKernel();
  const services = {
    clock: clocks.createSystemClock(),
    random: random.createSeededRandom(1),
    settings: { host: "127.0.0.1", callerPort: 0, fleetKeys: ["fleet-key-for-tests"] },
    log: { write: () => undefined },
    metrics: { count: () => undefined, recordDuration: () => undefined, set: () => undefined },
    tracer: otel.trace.getTracer("test"),
    membership: { self: SELF, listAlive: () => [SELF] },
    configuration: {
      ready: true,
      current: { document: examples.readExample("lagos.json"), revision: 1, digest: "d" },
    },
    modelCalls: { activeCount: 0, has: () => false, run: streamResponse },
    plainCalls: {
      activeCount: 0,
      run: (call: callerTypes.PlainCall) => Promise.resolve().then(() => runPlainCall(call)),
    },
  };
  for (const [name, service] of Object.entries(services)) {
    kernel.register(name as "settings", () => service as never);
  }
  kernel.register("sessions", sessions.createSessions);
  return kernel;
}
