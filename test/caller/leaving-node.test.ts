import * as test from "node:test";
import * as otel from "@opentelemetry/api";
import * as earl from "earl";
import * as callerServer from "../../src/caller/caller-server.js";
import * as container from "../../src/kernel/container.js";
import * as clocks from "../../src/kernel/clock.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as exchange from "../../src/client/exchange.js";
import * as examples from "../settings/examples.js";

/** Creates the kernel of a leaving node on which the request has already run. */
function createLeavingKernel(): container.Kernel {
  const kernel = container.createKernel();
  const session = { nonce: "n", caller: "surveyors", owner: { vm: "vm-1", incarnation: 1 } };
  const document = examples.readExample("lagos.json");
  const services = {
    clock: clocks.createSystemClock(),
    settings: { host: "127.0.0.1", callerPort: 0 },
    log: { write: () => undefined },
    metrics: { count: () => undefined, recordDuration: () => undefined, set: () => undefined },
    membership: { self: { vm: "vm-1", incarnation: 1, state: "leaving" } },
    configuration: { ready: true, current: { document, revision: 1, digest: "d" } },
    sessions: {
      create: () => "fresh",
      parse: (text: string) => ({ text, session: { ...session, expiresAt: 1 }, sequence: 1 }),
    },
    plainCalls: {
      activeCount: 0,
      run: () =>
        Promise.resolve({ status: 201, headers: {}, body: Buffer.from("registered once") }),
    },
  };
  for (const [name, service] of Object.entries(services)) {
    kernel.register(name as "settings", () => service as never);
  }
  return kernel;
}

test.describe("a leaving node", () => {
  // Guards against a request that runs twice: a refusal with `ran: no` would make the caller retry
  // with a new id. It would be sent if the leaving state were checked before the stored results.
  test.it("replays a completed request and never reports that it did not run", async () => {
    await using kernel = createLeavingKernel();
    kernel.register("tracer", () => otel.trace.getTracer("test"));
    await using caller = await callerServer.startCallerServer(kernel, []);
    const clock = clocks.createSystemClock();
    const response = await exchange.sendRequest(
      clock,
      { host: "127.0.0.1", port: caller.port },
      {
        method: "POST",
        path: "/services/corr-api/registrations",
        headers: {
          authorization: "Bearer demo-surveyors",
          "idempotency-key": "session.1",
          "x-attempt": "2",
        },
        body: "{}",
        timeoutMs: 2000,
      },
      new AbortController().signal,
    );
    const body = await exchange.readBody(clock, response, 10_000, 2000);
    const refusal = exchange.parseRefusal(exchange.parseJson(body));
    earl.expect(refusal?.ran === codes.RAN.no).toEqual(false);
    earl.expect(body.toString()).toEqual("registered once");
  });
});
