import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as runnerTable from "../../src/runners/runner-table.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./serving-fixture.js";

/** Time after the end of a call within which its runner was probed. */
const PROBE_MARGIN_MS = 300;

/** Time for which an entry is missing. */
const ENTRY_GAP_MS = 50;

function createRecords() {
  const crashed: string[] = [];
  const succeeded: string[] = [];
  const records = {
    ...fixture.createInertCrashRecords(),
    recordCrash: (runner: string) => crashed.push(runner),
    recordSuccess: (fingerprint: string) => succeeded.push(fingerprint),
  };
  return { records, crashed, succeeded };
}

/**
 * Guards against quarantining harmless requests: a runner also breaks connections for other reasons
 * than a crash, and a fingerprint that is too coarse would attribute a crash to other requests.
 */
test.describe("CrashDetector", () => {
  test.it(
    "records a crash for a broken connection only if the runner then refuses connections",
    async () => {
      const { records, crashed } = createRecords();
      await using healthy = await raw.startRawRunner("sound", (socket) => {
        socket.destroy();
      });
      const one = fixture.createPlainServing([healthy.runner], 0, records);
      await fixture.serve(one, fixture.createCall({ maxAttempts: 1 }));
      earl.expect(crashed).toEqual([]);
      const crashing = await raw.startRawRunner("crashing", () => {
        void crashing[Symbol.asyncDispose]();
      });
      const two = fixture.createPlainServing([crashing.runner], 0, records);
      await fixture.serve(two, fixture.createCall({ maxAttempts: 1 }));
      earl.expect(crashed).toEqual(["crashing@1"]);
    },
  );

  // Guards against BUDGET: the end of a runner that fell silent was never attributed to its request.
  test.it("records a crash when a runner that fell silent is no longer listed", async () => {
    const { records, crashed } = createRecords();
    await using silent = await raw.startRawRunner("one", () => undefined, raw.IGNORED_PROBE);
    const table = new runnerTable.RunnerTable(fixture.clock, fixture.log);
    const plain = fixture.createPlainServing([silent.runner], 0, records, table);
    await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
    await clocks.sleep(fixture.clock, PROBE_MARGIN_MS);
    earl.expect(crashed).toEqual([]);
    table.setRunner("one", undefined);
    earl.expect(crashed).toEqual(["one@1"]);
  });

  // Guards against RECOVER: answers between a crash and the time at which it became known cleared nothing.
  test.it("dates a crash by the end of the run, not by when it became known", async () => {
    const crashedAt: (number | undefined)[] = [];
    const records = {
      ...fixture.createInertCrashRecords(),
      recordCrash: (_runner: string, _traits: readonly string[], at?: number) => crashedAt.push(at),
    };
    await using silent = await raw.startRawRunner("one", () => undefined, raw.IGNORED_PROBE);
    const table = new runnerTable.RunnerTable(fixture.clock, fixture.log);
    const plain = fixture.createPlainServing([silent.runner], 0, records, table);
    await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
    const endedBy = fixture.clock.now();
    await clocks.sleep(fixture.clock, PROBE_MARGIN_MS);
    table.setRunner("one", undefined);
    earl.expect(crashedAt.map((at) => at !== undefined && at <= endedBy)).toEqual([true]);
  });

  test.it(
    "records the crash of a runner whose entry had been missing for a time before",
    async () => {
      const { records, crashed } = createRecords();
      await using runner = await raw.startRawRunner(
        "one",
        (socket, count) => {
          if (count > 1) socket.write(raw.formatResponse("r1", "whole"));
        },
        raw.IGNORED_PROBE,
      );
      const table = new runnerTable.RunnerTable(fixture.clock, fixture.log);
      const plain = fixture.createPlainServing([runner.runner], 0, records, table);
      const silentCall = fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
      await clocks.sleep(fixture.clock, ENTRY_GAP_MS);
      table.setRunner("one", undefined);
      await clocks.sleep(fixture.clock, ENTRY_GAP_MS);
      table.setRunner("one", runner.runner);
      await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
      await silentCall;
      await clocks.sleep(fixture.clock, PROBE_MARGIN_MS);
      table.setRunner("one", undefined);
      earl.expect(crashed).toEqual(["one@1"]);
    },
  );

  test.it("records no crash when a runner that was silent answers or leaves", async () => {
    const { records, crashed } = createRecords();
    await using healthy = await raw.startRawRunner("one", () => undefined);
    await using leaving = await raw.startRawRunner("two", () => undefined, raw.IGNORED_PROBE);
    for (const { runner } of [healthy, leaving]) {
      const table = new runnerTable.RunnerTable(fixture.clock, fixture.log);
      const plain = fixture.createPlainServing([runner], 0, records, table);
      await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
      await clocks.sleep(fixture.clock, PROBE_MARGIN_MS);
      if (runner.id === "two") table.setRunner("two", { ...runner, leaving: true });
      table.setRunner(runner.id, undefined);
    }
    earl.expect(crashed).toEqual([]);
  });

  // Guards against BUDGET: runs with an unknown outcome did not hold further runs of the request back.
  test.it("refuses a request at once while two of its runs have no known outcome", async () => {
    const { records } = createRecords();
    const holds = fixture.createHolds();
    const serve = async (listed: readonly raw.RawRunner[]): Promise<string> => {
      const runners = listed.map(({ runner }) => runner);
      const plain = fixture.createPlainServing(runners, 0, records, undefined, holds);
      return await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
    };
    await using first = await raw.startRawRunner("one", () => undefined, raw.IGNORED_PROBE);
    await using second = await raw.startRawRunner("two", () => undefined, raw.IGNORED_PROBE);
    await using healthy = await raw.startRawRunner("three", (socket) => {
      socket.write(raw.formatResponse("r1", "whole"));
    });
    for (const silent of [first, second]) {
      await serve([silent]);
      await clocks.sleep(fixture.clock, PROBE_MARGIN_MS);
    }
    earl.expect(await serve([healthy])).toEqual("503 ran no");
    earl.expect(healthy.requests).toEqual([]);
  });

  test.it("records no crash for a call that was not sent", async () => {
    const { records, crashed } = createRecords();
    const gone = await raw.startRawRunner("one", () => undefined);
    await gone[Symbol.asyncDispose]();
    const plain = fixture.createPlainServing([gone.runner], 0, records);
    await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
    earl.expect(crashed).toEqual([]);
  });

  // Guards against BUDGET: two crashes of a runner that kept its id counted as one.
  test.it("tells the starts of a runner that keeps its id apart", async () => {
    const { records, crashed } = createRecords();
    for (const bornAt of [1, 2]) {
      const crashing = await raw.startRawRunner("one", () => {
        void crashing[Symbol.asyncDispose]();
      });
      const plain = fixture.createPlainServing([{ ...crashing.runner, bornAt }], 0, records);
      await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
    }
    earl.expect(new Set(crashed).size).toEqual(2);
  });

  // Guards against BUDGET: a request in progress went on to further runners after its quarantine.
  test.it("sends a request that is quarantined meanwhile to no further runner", async () => {
    const { records } = createRecords();
    let isQuarantined = false;
    await using first = await raw.startRawRunner("one", (socket) => {
      isQuarantined = true;
      socket.destroy();
    });
    const listed = [first.runner, { ...first.runner, id: "two" }];
    const crashes = { ...records, findRefusal: () => (isQuarantined ? 1_000 : undefined) };
    const plain = fixture.createPlainServing(listed, 0.2, crashes);
    const result = await fixture.serve(plain, fixture.createCall({ maxAttempts: 2 }));
    earl.expect([result, first.requests.length]).toEqual(["502 ran unknown", 1]);
  });

  // Guards against BUDGET: a full runner's refusal cleared the record of a request that had ended runners.
  test.it("records no success for a request that did not run or failed", async () => {
    for (const status of ["503 Busy", "421 Misdirected", "500 Error", "504 Late"]) {
      const { records, succeeded } = createRecords();
      await using runner = await raw.startRawRunner("one", (socket) => {
        const head = `HTTP/1.1 ${status}\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n`;
        socket.write(`${head}Content-Length: 0\r\n\r\n`);
      });
      const plain = fixture.createPlainServing([runner.runner], 0, records);
      await fixture.serve(plain, fixture.createCall({ maxAttempts: 1 }));
      earl.expect(succeeded).toEqual([]);
    }
  });

  test.it(
    "records a success for an answered request, with a fingerprint that depends on path and prompt",
    async () => {
      const { records, succeeded } = createRecords();
      await using healthy = await raw.startRawRunner("sound", (socket) => {
        socket.write(raw.formatResponse("r1", "whole"));
      });
      const plain = fixture.createPlainServing([healthy.runner], 0, records);
      const prompt = { model: "m", promptTokens: 1, maxOutputTokens: 1, expectedOutputTokens: 1 };
      await fixture.serve(plain, fixture.createCall({}));
      await fixture.serve(plain, fixture.createCall({}, { target: "/a/other" }));
      await fixture.serve(
        plain,
        fixture.createCall({}, { prompt: { ...prompt, partIds: ["aa"] } }),
      );
      await fixture.serve(
        plain,
        fixture.createCall({}, { prompt: { ...prompt, partIds: ["bb"] } }),
      );
      // The other traits of the requests are hashed without the caller.
      const fingerprints = succeeded.filter((one) => one.startsWith("10.0.0.1 "));
      earl.expect(new Set(fingerprints).size).toEqual(4);
    },
  );
});
