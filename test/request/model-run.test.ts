import * as test from "node:test";
import * as earl from "earl";
import type * as callerTypes from "../../src/caller/types.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as modelRun from "../../src/request/model-run.js";

const END = {
  type: "end",
  finishReason: "stop",
  promptTokens: 5,
  cachedTokens: 0,
  completionTokens: 2,
} as const;

function createRun(): { run: modelRun.ModelRun; countAbandoned: () => number } {
  let abandoned = 0;
  const run = new modelRun.ModelRun("id.1", 1, {
    onAbandoned: () => {
      abandoned += 1;
    },
  });
  return { run, countAbandoned: () => abandoned };
}

async function collectEvents(answer: AsyncIterable<callerTypes.ModelEvent>): Promise<string[]> {
  const texts: string[] = [];
  for await (const event of answer) texts.push(event.type === "token" ? event.text : event.type);
  return texts;
}

test.describe("ModelRun", () => {
  test.it("yields each token once and ignores duplicates and tokens after the end", async () => {
    const { run } = createRun();
    run.addToken(0, "a");
    run.addToken(0, "a");
    run.addToken(1, "b");
    run.markEnd(END);
    run.addToken(2, "late");
    const texts = await collectEvents(run.attach(1, 0, new AbortController().signal));
    earl.expect(texts).toEqual(["a", "b", "end"]);
  });

  test.it("rejects a token after a gap", () => {
    const { run } = createRun();
    run.addToken(0, "a");
    earl
      .expect(() => {
        run.addToken(2, "c");
      })
      .toThrow("token 1 is missing before 2");
  });

  test.it("replaces the reader of an older attempt by that of a newer one", async () => {
    const { run, countAbandoned } = createRun();
    const signal = new AbortController().signal;
    const older = collectEvents(run.attach(1, 0, signal));
    const newer = collectEvents(run.attach(2, 0, signal));
    run.addToken(0, "a");
    run.markEnd(END);
    await earl.expect(older).toBeRejectedWith(codes.RequestError, "a newer attempt");
    earl.expect(await newer).toEqual(["a", "end"]);
    earl.expect(countAbandoned()).toEqual(0);
  });

  test.it("refuses an attempt older than that of its reader", async () => {
    const { run } = createRun();
    const signal = new AbortController().signal;
    const newer = collectEvents(run.attach(2, 0, signal));
    const older = collectEvents(run.attach(1, 0, signal));
    await earl.expect(older).toBeRejectedWith(codes.RequestError, "a newer attempt");
    run.markEnd(END);
    earl.expect(await newer).toEqual(["end"]);
  });

  test.it("reports that its only reader detached before the end", async () => {
    const { run, countAbandoned } = createRun();
    const controller = new AbortController();
    const reader = collectEvents(run.attach(1, 0, controller.signal));
    await Promise.resolve();
    controller.abort();
    await earl.expect(reader).toBeRejectedWith(codes.RequestError);
    earl.expect(countAbandoned()).toEqual(1);
  });

  test.it("rejects the reader of a failed run", async () => {
    const { run } = createRun();
    run.addToken(0, "a");
    run.markFailed(new codes.RequestError(codes.RESULT_CODES.upstreamFailed, codes.RAN.unknown));
    const reader = collectEvents(run.attach(1, 0, new AbortController().signal));
    await earl.expect(reader).toBeRejectedWith(codes.RequestError, "upstream failed");
  });
});
