import * as test from "node:test";
import * as earl from "earl";
import type * as types from "../../src/upstream/types.js";
import * as engineModel from "../../standins/engine/engine-model.js";
import * as engineFixture from "../standins/engine-fixture.js";
import * as fixture from "./kernel-fixture.js";

const PROMPT = "log of tile 9 #tokens=40";
const { signal } = new AbortController();

async function readTokens(stream: AsyncIterable<types.DecodeEvent>): Promise<string[]> {
  const tokens: string[] = [];
  for await (const event of stream) if (event.type === "token") tokens.push(event.text);
  return tokens;
}

test.describe("createEngineClient", () => {
  test.it("runs prefill on one engine and decode on another", async () => {
    await using kernel = fixture.createClientKernel();
    await using prefill = await fixture.startEngine({ name: "p1", role: "prefill" });
    await using decode = await fixture.startEngine({ name: "d1" });
    const engines = kernel.use("engines");
    const command = engineFixture.createPrefillCommand(PROMPT);
    const result = await engines.prefill(prefill.runner, command, signal);
    const decodeCommand = engineFixture.createDecodeCommand(result.handle, {
      source: prefill.runner,
    });
    const tokens = await readTokens(engines.decode(decode.runner, decodeCommand, signal));
    earl.expect(tokens).toEqual(engineModel.computeExpectedTokens(PROMPT, 100));
    const resumed = engines.resume(decode.runner, { id: "r1", attempt: 1, offset: 38 }, signal);
    earl.expect(await readTokens(resumed)).toEqual(tokens.slice(38));
    earl.expect((await engines.readLoad(decode.runner, signal)).role).toEqual("decode");
  });

  test.it("reports the status of a refusal that arrives in a stream or as a response", async () => {
    await using kernel = fixture.createClientKernel();
    await using decode = await fixture.startEngine({ name: "d1" });
    const engines = kernel.use("engines");
    const command = engineFixture.createDecodeCommand("nothing", { source: decode.runner });
    const expired = readTokens(engines.decode(decode.runner, command, signal));
    earl.expect(await fixture.getFailure(expired)).toEqual("refused 410");
    await engines.cancel(decode.runner, { id: "r1", attempt: 3 }, signal);
    const cancelled = readTokens(engines.decode(decode.runner, command, signal));
    earl.expect(await fixture.getFailure(cancelled)).toEqual("refused 409");
  });

  test.it("reports not-connected only when no connection was established", async () => {
    await using kernel = fixture.createClientKernel();
    const engines = kernel.use("engines");
    const unreachable = await fixture.createUnreachableUpstream();
    await using resetting = await fixture.startRawServer((socket) => {
      socket.once("data", () => socket.destroy());
    });
    const command = engineFixture.createPrefillCommand(PROMPT);
    const refused = engines.prefill(unreachable, command, signal);
    earl.expect(await fixture.getFailure(refused)).toEqual("not-connected");
    const broken = engines.prefill(resetting.upstream, command, signal);
    earl.expect(await fixture.getFailure(broken)).toEqual("broken");
  });

  test.it("reports broken when a stream delivers nothing within the idle timeout", async () => {
    await using kernel = fixture.createClientKernel();
    await using silent = await fixture.startRawServer((socket) => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n");
    });
    const command = engineFixture.createDecodeCommand("handle");
    const tokens = readTokens(kernel.use("engines").decode(silent.upstream, command, signal));
    earl.expect(await fixture.getFailure(tokens)).toEqual("broken");
  });

  test.it("reports broken when the engine crashes during a stream", async () => {
    await using kernel = fixture.createClientKernel();
    await using prefill = await fixture.startEngine({ name: "p1", role: "prefill" });
    await using decode = await fixture.startEngine({ name: "d1", stepMs: 10 });
    const engines = kernel.use("engines");
    const command = engineFixture.createPrefillCommand(PROMPT);
    const { handle } = await engines.prefill(prefill.runner, command, signal);
    const decodeCommand = engineFixture.createDecodeCommand(handle, { source: prefill.runner });
    const stream = engines.decode(decode.runner, decodeCommand, signal);
    const readUntilCrash = async (): Promise<void> => {
      for await (const event of stream) if (event.type === "token") decode.engine.crash();
    };
    earl.expect(await fixture.getFailure(readUntilCrash())).toEqual("broken");
  });

  test.it("closes the connection when its signal aborts", async () => {
    await using kernel = fixture.createClientKernel();
    let onClosed: () => void = () => undefined;
    const closed = new Promise<void>((resolve) => (onClosed = resolve));
    await using server = await fixture.startRawServer((socket) => {
      socket.once("close", () => {
        onClosed();
      });
      socket.once("data", () => {
        controller.abort(new Error("caller gone"));
      });
    });
    const controller = new AbortController();
    const command = engineFixture.createPrefillCommand(PROMPT);
    const prefill = kernel.use("engines").prefill(server.upstream, command, controller.signal);
    earl.expect(await fixture.getFailure(prefill)).toEqual("broken");
    await closed;
  });

  test.it("rejects a response that does not match the schema", async () => {
    await using kernel = fixture.createClientKernel();
    await using malformed = await fixture.startRawServer((socket) => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{"handle":1}');
    });
    const command = engineFixture.createPrefillCommand(PROMPT);
    const prefill = kernel.use("engines").prefill(malformed.upstream, command, signal);
    earl.expect(await fixture.getFailure(prefill)).toEqual("broken");
  });
});
