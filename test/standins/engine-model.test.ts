import * as test from "node:test";
import * as earl from "earl";
import type * as upstream from "../../src/upstream/types.js";
import * as engineModel from "../../standins/engine/engine-model.js";
import * as transferLink from "../../standins/engine/transfer-link.js";
import * as fixture from "./engine-fixture.js";

const PROMPT = "summary of tile 7 #tokens=30";

async function runPrefill(
  pair: fixture.EnginePair,
  command: upstream.PrefillCommand,
): Promise<upstream.PrefillResult> {
  const result = pair.prefill.prefill(command);
  await pair.clock.advance(150);
  return result;
}

test.describe("EngineModel", () => {
  test.it("generates the complete expected answer", async () => {
    const pair = fixture.createEnginePair();
    const result = await runPrefill(pair, fixture.createPrefillCommand(PROMPT));
    const output = fixture.readOutput(
      pair.decode.decode(fixture.createDecodeCommand(result.handle)),
    );
    await pair.clock.advance(2_000);
    earl.expect(output.tokens).toEqual(engineModel.computeExpectedTokens(PROMPT, 100));
    earl.expect(output.end).toEqual("stop");
    earl.expect(pair.decode.getReport().slotsHeld).toEqual([]);
    earl.expect(pair.decode.getReport().piecesHeld).toEqual(0);
    earl.expect(pair.prefill.getReport().wastedPrefillTokens).toEqual(0);
  });

  test.it("continues a partial answer with the same tokens", async () => {
    const pair = fixture.createEnginePair();
    const expected = engineModel.computeExpectedTokens(PROMPT, 25);
    const continuation = expected.slice(0, 10).join("");
    const command = fixture.createPrefillCommand(PROMPT, { continuation });
    const result = await runPrefill(pair, command);
    const decode = fixture.createDecodeCommand(result.handle, { offset: 10, maxTokens: 15 });
    const output = fixture.readOutput(pair.decode.decode(decode));
    await pair.clock.advance(2_000);
    earl.expect(output.tokens).toEqual(expected.slice(10));
    earl.expect(output.end).toEqual("length");
    earl.expect(pair.decode.getReport().badContinuations).toEqual(0);
  });

  test.it("expires a result that is not fetched and counts it as wasted", async () => {
    const pair = fixture.createEnginePair();
    const result = await runPrefill(pair, fixture.createPrefillCommand(PROMPT));
    await pair.clock.advance(1_000);
    const output = fixture.readOutput(
      pair.decode.decode(fixture.createDecodeCommand(result.handle)),
    );
    await pair.clock.advance(100);
    earl.expect(output.error).toEqual("EngineRefusal");
    earl.expect(pair.prefill.getReport().wastedPrefillTokens).toEqual(result.promptTokens);
  });

  test.it("runs at most as many requests as it has slots and queues the rest", async () => {
    const pair = fixture.createEnginePair({ slots: 2, resultLifeMs: 60_000 });
    const outputs: fixture.Output[] = [];
    for (const id of ["r1", "r2", "r3"]) {
      const result = await runPrefill(pair, fixture.createPrefillCommand(PROMPT, { id }));
      const decode = fixture.createDecodeCommand(result.handle, { id });
      outputs.push(fixture.readOutput(pair.decode.decode(decode)));
    }
    earl.expect(pair.decode.getReport().slotsHeld.length).toEqual(2);
    earl.expect(pair.decode.getReport().queued).toEqual([{ id: "r3", attempt: 1 }]);
    await pair.clock.advance(3_000);
    earl.expect(outputs.map((output) => output.end)).toEqual(["stop", "stop", "stop"]);
    earl.expect(pair.decode.getReport().peakSlots).toEqual(2);
  });

  test.it("releases a cancelled attempt and refuses it afterwards", async () => {
    const pair = fixture.createEnginePair();
    const result = await runPrefill(pair, fixture.createPrefillCommand(PROMPT));
    const output = fixture.readOutput(
      pair.decode.decode(fixture.createDecodeCommand(result.handle)),
    );
    await pair.clock.advance(200);
    pair.decode.cancel({ id: "r1", attempt: 1 });
    await pair.clock.settle();
    earl.expect(output.end).toEqual("cancelled");
    earl.expect(pair.decode.getReport().slotsHeld).toEqual([]);
    earl
      .expect(() => pair.decode.decode(fixture.createDecodeCommand(result.handle)))
      .toThrow("attempt was cancelled");
  });

  test.it("releases a request when its deadline passes", async () => {
    const pair = fixture.createEnginePair();
    const result = await runPrefill(pair, fixture.createPrefillCommand(PROMPT));
    const decode = fixture.createDecodeCommand(result.handle, { deadlineMs: 200 });
    const output = fixture.readOutput(pair.decode.decode(decode));
    await pair.clock.advance(1_000);
    earl.expect(output.end).toEqual("cancelled");
    earl.expect(pair.decode.getReport().slotsHeld).toEqual([]);
  });

  test.it("resumes a stream from an offset while the request keeps running", async () => {
    const pair = fixture.createEnginePair();
    const result = await runPrefill(pair, fixture.createPrefillCommand(PROMPT));
    pair.decode.decode(fixture.createDecodeCommand(result.handle));
    await pair.clock.advance(300);
    const output = fixture.readOutput(pair.decode.resume({ id: "r1", attempt: 1 }, 5));
    await pair.clock.advance(2_000);
    const expected = engineModel.computeExpectedTokens(PROMPT, 100);
    earl.expect(output.tokens).toEqual(expected.slice(5));
    earl.expect(output.end).toEqual("stop");
  });

  test.it(
    "fails running and queued prefills and drops results when a prompt crashes the engine",
    async () => {
      const pair = fixture.createEnginePair();
      const failures: string[] = [];
      const prompts = { r1: "x".repeat(4_000), r2: "#crash-prefill", r3: "innocent" };
      for (const [id, prompt] of Object.entries(prompts)) {
        pair.prefill
          .prefill(fixture.createPrefillCommand(prompt, { id }))
          .catch((error: unknown) => failures.push(`${id} ${(error as Error).name}`));
      }
      await pair.clock.advance(1_000);
      earl.expect(failures).toEqual(["r3 EngineBreak", "r2 EngineBreak"]);
      earl.expect(pair.prefill.alive).toEqual(false);
      earl.expect(pair.prefill.getReport().slotsHeld).toEqual([]);
    },
  );

  test.it("uses cached prefixes and publishes cache events after a delay", async () => {
    const pair = fixture.createEnginePair({ cacheEventLossPeriod: 0 });
    const prompt = "y".repeat(4_096);
    await runPrefill(pair, fixture.createPrefillCommand(prompt));
    await pair.clock.advance(100);
    earl.expect(pair.prefill.listCacheEvents(0)).toEqual([]);
    await pair.clock.advance(300);
    earl.expect(pair.prefill.listCacheEvents(0).map((event) => event.number)).toEqual([1, 2, 3, 4]);
    const command = fixture.createPrefillCommand(`${prompt}${"z".repeat(400)}`, { id: "r2" });
    earl.expect((await runPrefill(pair, command)).cachedTokens).toEqual(1_024);
  });

  test.it(
    "loads weights at the weight store's rate when ordered, and refuses a lower fencing number",
    async () => {
      const pair = fixture.createEnginePair({ weightBytes: 10e9 });
      const order = { model: "model", adapters: [], role: "decode" as const };
      pair.decode.applyOrder({ ...order, version: "2", fencing: 7 });
      earl
        .expect(() => {
          pair.decode.applyOrder({ ...order, version: "1", fencing: 6 });
        })
        .toThrow("old fencing number");
      await pair.clock.advance(500);
      earl.expect(pair.decode.getLoad().version).toEqual("1");
      await pair.clock.advance(1_100);
      earl.expect(pair.decode.getLoad().version).toEqual("2");
      earl.expect(pair.decode.getLoad().fencing).toEqual(7);
    },
  );

  test.it("accepts a lower fencing number if fencing is not checked", async () => {
    const pair = fixture.createEnginePair({ checksFencing: false });
    const order = { model: "model", version: "1", role: "decode" as const };
    pair.decode.applyOrder({ ...order, adapters: ["a"], fencing: 7 });
    pair.decode.applyOrder({ ...order, adapters: ["b"], fencing: 6 });
    await pair.clock.advance(1_000);
    earl.expect(pair.decode.getLoad().adapters).toEqual(["b"]);
    earl.expect(pair.decode.getLoad().fencing).toEqual(6);
  });

  test.it(
    "reports its load with a delay and counts the tokens computed before a cancel",
    async () => {
      const pair = fixture.createEnginePair();
      const result = pair.prefill.prefill(fixture.createPrefillCommand("x".repeat(40_000)));
      await pair.clock.advance(100);
      earl.expect(pair.prefill.getLoad().queuedPrefillTokens).toEqual(0);
      await pair.clock.advance(450);
      earl.expect(pair.prefill.getLoad().queuedPrefillTokens).toEqual(10_000);
      earl.expect(pair.prefill.getLoad().ageMs).toEqual(50);
      pair.prefill.cancel({ id: "r1", attempt: 1 });
      await earl.expect(result).toBeRejectedWith("cancelled");
      earl.expect(pair.prefill.getReport().cancelledPrefillTokens).toEqual(4_400);
    },
  );
});

test.describe("TransferLink", () => {
  test.it("shares its rate equally between concurrent transfers", async () => {
    const pair = fixture.createEnginePair();
    const link = new transferLink.TransferLink(pair.clock, 1_000);
    const { signal } = new AbortController();
    const finished: number[] = [];
    for (const bytes of [100, 300]) {
      void link.send(bytes, signal).then(() => finished.push(pair.clock.now()));
    }
    await pair.clock.advance(1_000);
    earl.expect(finished).toEqual([200, 400]);
  });

  test.it("transfers nothing while stalled", async () => {
    const pair = fixture.createEnginePair();
    const link = new transferLink.TransferLink(pair.clock, 1_000);
    let finished = false;
    void link.send(100, new AbortController().signal).then(() => (finished = true));
    link.setStalled(true);
    await pair.clock.advance(10_000);
    earl.expect(finished).toEqual(false);
    link.setStalled(false);
    await pair.clock.advance(200);
    earl.expect(finished).toEqual(true);
  });
});
