import * as test from "node:test";
import * as otel from "@opentelemetry/api";
import * as earl from "earl";
import * as zod from "zod";
import * as front from "../../src/caller/front.js";
import * as sessions from "../../src/caller/sessions.js";
import type * as callerTypes from "../../src/caller/types.js";
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as examples from "../settings/examples.js";
import * as curl from "./curl.js";
import * as repository from "./repository.js";

const SELF = {
  vm: "vm-1",
  incarnation: 1,
  region: "lagos",
  zone: "ikeja",
  state: "alive",
  peer: { host: "127.0.0.1", port: 1 },
  caller: { host: "127.0.0.1", port: 2 },
};

async function* streamAnswer(): AsyncGenerator<callerTypes.ModelEvent> {
  await Promise.resolve();
  yield { type: "token", offset: 0, text: "delay" };
  const counts = { promptTokens: 2, cachedTokens: 0, completionTokens: 1 };
  yield { type: "end", finishReason: "stop", ...counts };
}

/** Answers as the service does: it requires an id for what is not idempotent. */
function runPlainCall(call: callerTypes.PlainCall) {
  if (call.operation.idempotent) return { status: 200, headers: {}, body: Buffer.from("{}") };
  if (call.id !== undefined) return { status: 201, headers: {}, body: Buffer.from("{}") };
  throw new codes.RequestError(codes.RESULT_CODES.sessionRequired, codes.RAN.no, {
    session: "fresh",
  });
}

/** Creates a node with the real front and sessions, and fakes behind them. */
function createKernel(): container.Kernel {
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
    modelCalls: { active: 0, run: streamAnswer },
    plainCalls: {
      active: 0,
      run: (call: callerTypes.PlainCall) => Promise.resolve().then(() => runPlainCall(call)),
    },
  };
  for (const [name, service] of Object.entries(services)) {
    kernel.register(name as "settings", () => service as never);
  }
  kernel.register("sessions", sessions.createSessions);
  return kernel;
}

test.describe("the examples of docs/CALLERS.md", () => {
  test.it("have the status that the page gives", async () => {
    await using kernel = createKernel();
    await using caller = await front.startFront(kernel, []);
    const node = { host: "127.0.0.1", port: caller.port };
    const page = repository.readRepositoryFile("docs/CALLERS.md");
    const variables: Record<string, string> = {
      NODE: `127.0.0.1:${caller.port}`,
      CREDENTIAL: "demo-surveyors",
    };
    const count = curl.parseCurlExamples(page, variables).length;
    earl.expect(count).toEqual(9);
    const results: number[] = [];
    const expected: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const example = curl.parseCurlExamples(page, variables)[index];
      if (example === undefined) throw new Error("no example");
      const { status, body } = await curl.sendExample(node, example);
      results.push(status);
      expected.push(example.status);
      if (index === 0) {
        variables.SESSION = zod.object({ session: zod.string() }).parse(JSON.parse(body)).session;
      }
      if (example.body?.includes('"stream":true')) earl.expect(body).toInclude("data: [DONE]");
    }
    earl.expect(results).toEqual(expected);
  });
});
