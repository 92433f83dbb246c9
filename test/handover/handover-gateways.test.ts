/**
 * Guards against callers of a VM that reaches no runner being refused while other VMs reach some, and against a request that two
 * VMs serve being counted twice, getting more time than its caller gave, or needing unbounded memory.
 */
import * as diagnosticsChannel from "node:diagnostics_channel";
import * as events from "node:events";
import * as http from "node:http";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as earl from "earl";
import * as requestHead from "../../src/gateway/request-head.js";
import * as handoverCalls from "../../src/handover/handover-calls.js";
import * as handoverTypes from "../../src/handover/types.js";
import * as clocks from "../../src/kernel/clock.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as gatewayFixture from "../gateway/gateway-fixture.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./handover-fixture.js";

const NET = 227;
const EVENTS = [0, 1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`);
const LARGE_BODY_BYTES = 6_000_000;
const LARGE_ANSWER_BYTES = 12_000_000;
const HEAD_CHANNEL = "http.server.request.start";

/** Records the requests that the retry budget of a gateway counts. */
function watchBudget({ running }: gatewayFixture.TestGateway): string[] {
  const counted: string[] = [];
  const budgets = running.kernel.use("retryBudgets");
  const recordCall = budgets.recordCall.bind(budgets);
  budgets.recordCall = (service) => {
    counted.push(service);
    recordCall(service);
  };
  return counted;
}

/** Waits until the HTTP server of a gateway has read the head of a request and passed it on. */
async function waitForHead(id: string): Promise<void> {
  await new Promise<void>((resolve) => {
    const onRequest = (message: unknown): void => {
      const { request } = message as { readonly request: http.IncomingMessage };
      if (request.headers["request-id"] !== id) return;
      diagnosticsChannel.unsubscribe(HEAD_CHANNEL, onRequest);
      resolve();
    };
    diagnosticsChannel.subscribe(HEAD_CHANNEL, onRequest);
  });
  await timers.setImmediate();
}

test.describe("a gateway that is partitioned from all runners", () => {
  test.it("has safe and unsafe requests and streams served by another one", async () => {
    await using fleet = await fixture.startFleet(NET, 2);
    await using plain = await fixture.startPlainRunner(fleet, fixture.answerBooking);
    const { ip } = fleet.partitioned;
    const booked = await gatewayFixture.send(ip, "/book/x", { "request-id": "b1" });
    earl.expect([booked.status, booked.body]).toEqual([200, "booked"]);
    earl.expect(booked.headers["response-stamp"]).toEqual("s");
    const read = await gatewayFixture.send(ip, "/status/x", { "request-id": "s1" });
    earl.expect([read.status, read.body]).toEqual([200, "booked"]);
    const stream = await gatewayFixture.send(ip, "/notes/x", gatewayFixture.PROMPT);
    earl.expect([stream.status, stream.body]).toEqual([200, EVENTS.join("")]);
    const unknown = await gatewayFixture.send(ip, "/none/x");
    earl.expect(unknown.status).toEqual(404);
    earl.expect(plain.requests.length).toEqual(2);
    earl.expect(await fixture.countMetric(fleet.other, "taken_over_calls")).toEqual(3);
    earl.expect(await fixture.countMetric(fleet.partitioned, "handed_over_calls")).toEqual(3);
  });

  test.it("has a stream that its caller resumes served from the event after its last", async () => {
    await using fleet = await fixture.startFleet(NET, 2);
    const { ip } = fleet.partitioned;
    await gatewayFixture.send(ip, "/notes/x", gatewayFixture.PROMPT);
    const headers = { "request-id": "r2", "last-event-id": "2", resumes: "r1" };
    const resumed = await gatewayFixture.send(ip, "/notes/x", {
      ...gatewayFixture.PROMPT,
      ...headers,
    });
    earl.expect([resumed.status, resumed.body]).toEqual([200, EVENTS.slice(3).join("")]);
  });

  test.it("hands over what it could not send itself, and the request is counted once", async () => {
    await using fleet = await fixture.startFleet(NET, 2);
    await using plain = await fixture.startPlainRunner(fleet, fixture.answerBooking);
    const { partitioned, other } = fleet;
    const counted = [watchBudget(partitioned), watchBudget(other)];
    partitioned.paths.state = handoverTypes.PATH_STATE.reachable;
    partitioned.paths.checkedState = handoverTypes.PATH_STATE.partitioned;
    const first = await gatewayFixture.send(partitioned.ip, "/book/x", { "request-id": "b1" });
    earl.expect([first.status, counted]).toEqual([200, [["plain"], []]]);
    const second = await gatewayFixture.send(partitioned.ip, "/book/x", { "request-id": "b2" });
    earl.expect([second.status, counted]).toEqual([200, [["plain"], ["plain"]]]);
    earl.expect(plain.requests.length).toEqual(2);
  });

  test.it("refuses with a time to come back when the other one is as far off", async () => {
    await using fleet = await fixture.startFleet(NET, 2);
    await using plain = await fixture.startPlainRunner(fleet, fixture.answerBooking);
    fleet.other.setCut(true);
    const refused = await gatewayFixture.send(fleet.partitioned.ip, "/book/x");
    earl.expect(refused.status).toEqual(503);
    earl.expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
    earl.expect(fleet.partitioned.paths.withoutPath).toEqual(["front-2"]);
    earl.expect(plain.requests.length).toEqual(0);
  });

  test.it("passes a refusal of the other one on unchanged", async () => {
    await using fleet = await fixture.startFleet(NET, 2);
    const refused = await gatewayFixture.send(fleet.partitioned.ip, "/book/x");
    const local = await gatewayFixture.send(fleet.other.ip, "/book/x");
    const retryAfter = refused.headers["retry-after"];
    earl
      .expect([refused.status, refused.body, retryAfter])
      .toEqual([local.status, local.body, local.headers["retry-after"]]);
    earl.expect(refused.body.includes("no runner is listed")).toEqual(true);
  });

  test.it("passes large bodies on, and holds a part of an answer that is read slowly", async () => {
    const maxBodyBytes = 2 * LARGE_BODY_BYTES;
    await using fleet = await fixture.startFleet(NET, 2, { maxBodyBytes, timeoutMs: 30_000 });
    const received = { bytes: 0 };
    await using _plain = await fixture.startPlainRunner(fleet, (socket, _count, text) => {
      received.bytes += text.length;
      if (received.bytes < LARGE_BODY_BYTES) return;
      received.bytes = 0;
      socket.write(raw.formatResponse("b1", "a".repeat(LARGE_ANSWER_BYTES)));
    });
    const { partitioned, other } = fleet;
    const listHeld = (): readonly number[] =>
      [partitioned, other].map(({ running }) => running.kernel.use("buffers").usedBytes);
    const headers = { host: "api.example", "request-id": "b1", "deadline-ms": "30000" };
    const sentHeaders = { ...headers, connection: "close", "content-length": LARGE_BODY_BYTES };
    const rawHeaders = Object.entries(sentHeaders).flat().map(String);
    const headCost = requestHead.computeMemoryCost({ rawHeaders });
    const expected = [
      headCost + LARGE_BODY_BYTES + handoverCalls.MAX_BYTES_ON_WAY,
      LARGE_BODY_BYTES + LARGE_ANSWER_BYTES,
    ];
    const response = await fixture.startBooking(
      partitioned.ip,
      Buffer.alloc(LARGE_BODY_BYTES, "b"),
      { "deadline-ms": "30000" },
    );
    earl.expect(response.statusCode).toEqual(200);
    await gatewayFixture.waitFor("the whole answer is held", () =>
      listHeld().every((bytes, index) => bytes === expected[index]),
    );
    await clocks.sleep(gatewayFixture.clock, 300);
    earl.expect(listHeld()).toEqual(expected);
    let bytes = 0;
    for await (const chunk of response) bytes += (chunk as Buffer).byteLength;
    earl
      .expect([response.statusCode, response.complete, bytes])
      .toEqual([200, true, LARGE_ANSWER_BYTES]);
    await gatewayFixture.waitFor("nothing is held", () =>
      fleet.gateways.every(({ running }) => running.kernel.use("buffers").usedBytes === 0),
    );
  });

  test.it("refuses without a run what the other one has no room for", async () => {
    await using fleet = await fixture.startFleet(NET, 2, {
      maxBodyBytes: 2 * LARGE_BODY_BYTES,
      createChanges: (number) => (number === 2 ? { maxBufferedBytes: LARGE_BODY_BYTES } : {}),
    });
    await using plain = await fixture.startPlainRunner(fleet, fixture.answerBooking);
    const { ip } = fleet.partitioned;
    const refused = await fixture.startBooking(ip, Buffer.alloc(LARGE_BODY_BYTES, "b"));
    refused.resume();
    earl.expect([refused.statusCode, plain.requests.length]).toEqual([503, 0]);
    earl.expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
    const small = await gatewayFixture.send(ip, "/book/x");
    earl.expect([small.status, plain.requests.length]).toEqual([200, 1]);
  });

  // The gateway cannot know how long a request lay in its socket while its process was busy.
  for (const busyMs of [0, 300])
    test.it(
      `states the time that is left, less what the request has waited since it was read ${busyMs} ms late`,
      async () => {
        await using fleet = await fixture.startFleet(NET, 2);
        await using plain = await fixture.startPlainRunner(fleet, fixture.answerBooking);
        const { clock } = gatewayFixture;
        const headers = { host: "api.example", "request-id": "b1", "deadline-ms": "2000" };
        const options = { host: fleet.partitioned.ip, port: examples.PORTS.front, method: "POST" };
        const isRead = waitForHead("b1");
        const startedAt = clock.now();
        const request = http.request({ ...options, path: "/book/x", headers, agent: false });
        request.write("a");
        while (clock.now() < startedAt + busyMs);
        await isRead;
        const readAt = clock.now();
        await clocks.sleep(clock, 700);
        const waitedMs = clock.now() - readAt;
        request.end("b");
        const [response] = (await events.default.once(request, "response")) as [
          http.IncomingMessage,
        ];
        const tookMs = Math.ceil(clock.now() - startedAt);
        response.resume();
        earl.expect(response.statusCode).toEqual(200);
        const leftMs = Number(/deadline-ms: (\d+)/i.exec(plain.requests[0] ?? "")?.[1]);
        earl.expect([leftMs <= 2_000 - waitedMs, leftMs >= 2_000 - tookMs]).toEqual([true, true]);
      },
    );
});
