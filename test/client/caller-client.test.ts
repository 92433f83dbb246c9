import * as test from "node:test";
import * as earl from "earl";
import type * as addressCache from "../../src/client/address-cache.js";
import * as callerClient from "../../src/client/caller-client.js";
import type * as results from "../../src/client/results.js";
import * as random from "../../src/kernel/random.js";
import * as fakeNode from "./fake-node.js";

const COMPLETION = { model: "iono-llm", prompt: "log", maxTokens: 8 };
const REGISTRATION = {
  service: "corr-api",
  method: "POST",
  path: "/registrations",
  body: "{}",
  idempotent: false,
};

function createClient(nodes: addressCache.NodeAddress[]): callerClient.CallerClient {
  return new callerClient.CallerClient({
    nodes,
    credential: "demo",
    random: random.createSeededRandom(1),
    maxAttempts: 4,
  });
}

function sendText(text: string): fakeNode.Responder {
  return (response) => response.end(text);
}

test.describe("CallerClient.streamModel", () => {
  test.it("retries a broken stream and delivers each offset once", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.sendTokens(["a ", "b "], true),
      fakeNode.sendTokens(["a ", "b ", "c"]),
    ]);
    const events: results.ModelStreamEvent[] = [];
    for await (const event of createClient([node.address]).streamModel(COMPLETION)) {
      events.push(event);
    }
    const tokens = events.flatMap((event) => (event.type === "token" ? [event] : []));
    earl.expect(tokens.map((token) => token.text)).toEqual(["a ", "b ", "c"]);
    earl.expect(tokens.map((token) => token.offset)).toEqual([0, 1, 2]);
    const last = events.at(-1);
    earl.expect(last?.type === "end" && last.answer.text).toEqual("a b c");
    earl.expect(node.received.map((one) => one.attempt)).toEqual(["1", "2"]);
    earl.expect(new Set(node.received.map((one) => one.id)).size).toEqual(1);
  });

  // A retry may sample other tokens than the broken attempt; joining both would deliver a text that
  // no run generated.
  test.it("fails when a retry differs from the tokens already delivered", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.sendTokens(["a "], true),
      fakeNode.sendTokens(["x ", "y "]),
      fakeNode.sendTokens(["x ", "y "]),
      fakeNode.sendTokens(["x ", "y "]),
    ]);
    const texts: string[] = [];
    let failed = false;
    for await (const event of createClient([node.address]).streamModel(COMPLETION)) {
      if (event.type === "token") texts.push(event.text);
      failed = event.type === "failed";
    }
    earl.expect(texts).toEqual(["a "]);
    earl.expect(failed).toEqual(true);
  });
});

test.describe("CallerClient.sendModel", () => {
  test.it("retries at another address when a node is unreachable", async () => {
    await using node = await fakeNode.createFakeNode([fakeNode.sendCompletion("done")]);
    const unreachable = await fakeNode.createFakeNode([]);
    await unreachable[Symbol.asyncDispose]();
    node.advertised.push(unreachable.address, node.address);
    const result = await createClient([unreachable.address, node.address]).sendModel(COMPLETION);
    earl.expect(result.ok && result.text).toEqual("done");
    earl.expect(node.received[0]?.attempt).toEqual("2");
  });

  test.it("does not retry caller errors", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.sendRefusal(404, { code: 1003, ran: "no" }),
    ]);
    const result = await createClient([node.address]).sendModel(COMPLETION);
    earl.expect(!result.ok && result.code).toEqual(1003);
    earl.expect(node.received.length).toEqual(1);
  });
});

test.describe("CallerClient.callService, non-idempotent", () => {
  test.it("keeps the id after a broken connection", async () => {
    await using node = await fakeNode.createFakeNode([fakeNode.breakConnection, sendText("once")]);
    const result = await createClient([node.address]).callService(REGISTRATION);
    earl.expect(result.ok && result.body.toString()).toEqual("once");
    earl.expect(node.received.map((one) => one.attempt)).toEqual(["1", "2"]);
    earl.expect(new Set(node.received.map((one) => one.id)).size).toEqual(1);
  });

  test.it("uses a new id in the session of a refusal when the call did not run", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.sendRefusal(503, { code: 4001, ran: "no", session: "fresh", retryAfterMs: 1 }),
      sendText("once"),
    ]);
    const result = await createClient([node.address]).callService(REGISTRATION);
    earl.expect(result.ok).toEqual(true);
    earl.expect(node.received.map((one) => one.id)).toEqual(["session1.1", "fresh.2"]);
    earl.expect(node.received.map((one) => one.attempt)).toEqual(["1", "1"]);
  });

  test.it("uses a new id when the deadline expired before the call ran", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.sendRefusal(504, { code: 3001, ran: "no", session: "fresh" }),
      sendText("once"),
    ]);
    const result = await createClient([node.address]).callService(REGISTRATION);
    earl.expect(result.ok && result.id).toEqual("fresh.2");
  });

  test.it("does not retry when the outcome is unknown", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.sendRefusal(504, { code: 4003, ran: "unknown" }),
    ]);
    const result = await createClient([node.address]).callService(REGISTRATION);
    earl.expect(!result.ok && result.ran).toEqual("unknown");
    earl.expect(node.received.length).toEqual(1);
  });

  // The leaving node does not know whether the broken attempt ran through another node. With a new id
  // the call could run twice.
  test.it("keeps the id when a leaving node refuses after a broken attempt", async () => {
    await using node = await fakeNode.createFakeNode([
      fakeNode.breakConnection,
      fakeNode.sendRefusal(503, { code: 2003, ran: "no", session: "fresh", retryAfterMs: 1 }),
      sendText("once"),
    ]);
    await createClient([node.address]).callService(REGISTRATION);
    earl.expect(new Set(node.received.map((one) => one.id)).size).toEqual(1);
  });
});
