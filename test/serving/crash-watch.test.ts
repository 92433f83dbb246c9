import * as test from "node:test";
import * as earl from "earl";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./serving-fixture.js";

function createRecords() {
  const crashed: string[] = [];
  const succeeded: string[] = [];
  const records = {
    ...fixture.createNoRecords(),
    recordCrash: (runner: string) => crashed.push(runner),
    recordSuccess: (fingerprint: string) => succeeded.push(fingerprint),
  };
  return { records, crashed, succeeded };
}

test.describe("CrashWatch", () => {
  test.it("holds a broken connection against a request only if the runner is gone", async () => {
    const { records, crashed } = createRecords();
    await using sound = await raw.startRawRunner("sound", (socket) => {
      socket.destroy();
    });
    const one = fixture.createPlainServing([sound.runner], 0, records);
    await fixture.serve(one, fixture.createCall({ maxAttempts: 1 }));
    earl.expect(crashed).toEqual([]);
    const crashing = await raw.startRawRunner("crashing", () => {
      void crashing[Symbol.asyncDispose]();
    });
    const two = fixture.createPlainServing([crashing.runner], 0, records);
    await fixture.serve(two, fixture.createCall({ maxAttempts: 1 }));
    earl.expect(crashed).toEqual(["crashing"]);
  });

  test.it(
    "clears a request that is answered, and tells apart prompts, paths and callers",
    async () => {
      const { records, succeeded } = createRecords();
      await using sound = await raw.startRawRunner("sound", (socket) => {
        socket.write(raw.formatResponse("r1", "whole"));
      });
      const plain = fixture.createPlainServing([sound.runner], 0, records);
      const prompt = { model: "m", promptTokens: 1, maxOutputTokens: 1, expectedOutputTokens: 1 };
      await fixture.serve(plain, fixture.createCall({}));
      await fixture.serve(plain, fixture.createCall({}, { target: "/a/other" }));
      await fixture.serve(plain, fixture.createCall({}, { prompt: { ...prompt, parts: ["aa"] } }));
      await fixture.serve(plain, fixture.createCall({}, { prompt: { ...prompt, parts: ["bb"] } }));
      earl.expect(new Set(succeeded).size).toEqual(4);
    },
  );
});
