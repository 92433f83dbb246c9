/**
 * Model calls through node processes while callers, engines and nodes fail. Guards against engines
 * that keep working for a caller that is gone, answers with missing or repeated tokens after a
 * failover, requests lost with a killed or stopping node, and a poison prompt that crashes one
 * engine after another.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as demoChecks from "../../standins/demo-checks.js";
import type * as processFleet from "../../standins/process-fleet.js";
import * as fixture from "./fleet-fixture.js";
import * as modelTestClient from "./model-test-client.js";

test.describe("model calls between processes", () => {
  let fleet: processFleet.ProcessFleet;
  let client: modelTestClient.ModelTestClient;

  test.before(async () => {
    fleet = await fixture.startFleet();
    client = new modelTestClient.ModelTestClient(fleet);
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  test.it("releases the engines after a caller disconnects in mid-stream", async () => {
    const abort = new AbortController();
    const request = client.createRequest("closed early #tokens=4000");
    const stream = client
      .createClient()
      .streamModel(
        { ...request, maxTokens: modelTestClient.LONG_MAX_TOKENS },
        { signal: abort.signal },
      );
    let tokens = 0;
    for await (const event of stream) {
      if (event.type !== "token") break;
      tokens += 1;
      if (tokens === 3) abort.abort();
    }
    earl.expect(tokens).toBeGreaterThan(2);
    earl.expect(await demoChecks.waitUntilReleased(fleet)).toEqual(undefined);
  });

  test.it("returns a complete answer when the decode engine is killed in mid-stream", async () => {
    const prompt = "engine killed #tokens=150";
    let killed: string | undefined;
    let text = "";
    for await (const event of client.createClient().streamModel(client.createRequest(prompt))) {
      if (event.type === "failed") throw new Error(event.failure.message);
      if (event.type === "token") text += event.text;
      if (killed === undefined && event.type === "token" && event.offset === 10) {
        killed = await client.killDecodeEngine();
      }
    }
    earl.expect(text).toEqual(modelTestClient.computeExpected(prompt));
    await client.startEngine(killed ?? "");
  });

  test.it("loses no model request when a node is killed under load", async () => {
    const killedNode = fixture.getNodeAddress(fleet, 0);
    const results = await client.sendLoad("node killed", () => {
      fleet.getProcess(killedNode.vm).sendSignal("SIGKILL");
    });
    earl.expect(results).toEqual(Array<string>(modelTestClient.LOAD_REQUESTS).fill("whole"));
    earl.expect(await demoChecks.waitUntilReleased(fleet)).toEqual(undefined);
    await fleet.startNode(killedNode);
  });

  test.it("releases the engines when a caller and its node fail together", async () => {
    const killedNode = fixture.getNodeAddress(fleet, 3);
    const abort = new AbortController();
    const prompt = "both gone #tokens=4000";
    const readResult = client
      .readWithoutRetry(killedNode, prompt, abort.signal)
      .catch(() => "gone");
    await fixture.waitUntil("an engine generates", async () => {
      return (await demoChecks.waitUntilReleased(fleet, 0)) !== undefined;
    });
    abort.abort();
    fleet.getProcess(killedNode.vm).sendSignal("SIGKILL");
    earl.expect(await readResult).toEqual("gone");
    const held = await demoChecks.waitUntilReleased(fleet, modelTestClient.RELEASE_TIMEOUT_MS);
    earl.expect(held).toEqual(undefined);
    await fleet.startNode(killedNode);
  });

  test.it("quarantines a prompt that crashes decode after at most two runners", async () => {
    const crashed = await client.sendPoisonPrompt("poison #crash-decode");
    earl.expect(crashed).toBeGreaterThan(0);
    earl.expect(crashed).toBeLessThanOrEqual(2);
  });

  test.it("quarantines a prompt that crashes prefill and answers concurrent requests", async () => {
    const load = client.sendLoad("beside prefill");
    const crashed = await client.sendPoisonPrompt("poison beside others #crash-prefill");
    earl.expect(await load).toEqual(Array<string>(modelTestClient.LOAD_REQUESTS).fill("whole"));
    earl.expect(crashed).toBeGreaterThan(0);
    earl.expect(crashed).toBeLessThanOrEqual(2);
  });

  test.it(
    "completes running streams when their node receives SIGTERM, then exits with success",
    async () => {
      const leaving = fixture.getNodeAddress(fleet, 2);
      const streams = [1, 2, 3].map((number) => {
        const prompt = `drained ${number} #tokens=180`;
        return client.readWithoutRetry(leaving, prompt);
      });
      await fixture.sleep(1_000);
      fleet.getProcess(leaving.vm).sendSignal("SIGTERM");
      const texts = await Promise.all(streams);
      const expected = [1, 2, 3].map((number) =>
        modelTestClient.computeExpected(`drained ${number} #tokens=180`),
      );
      earl.expect(texts).toEqual(expected);
      earl
        .expect(await fleet.getProcess(leaving.vm).exited)
        .toEqual(modelTestClient.SUCCESS_EXIT_CODE);
    },
  );
});
