import * as test from "node:test";
import * as earl from "earl";
import * as routing from "../../src/routing/types.js";
import * as runnerTable from "../../src/runners/runner-table.js";
import * as raw from "../runners/raw-runner.js";
import * as fixture from "./serving-fixture.js";

const UNSAFE = { kind: routing.CALL_KIND.unsafe, maxAttempts: 2 };
const SAFE = { kind: routing.CALL_KIND.safe, maxAttempts: 2 };
const NOT_RUN = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/**
 * Starts two runners; `onFirst` handles the first request at either, and all later requests
 * succeed.
 */
async function startPair(
  onFirst: (socket: { write: (text: string) => void; destroy: () => void }) => void,
) {
  let requestCount = 0;
  const onRequest = (socket: Parameters<typeof onFirst>[0]): void => {
    requestCount += 1;
    if (requestCount === 1) onFirst(socket);
    else socket.write(raw.formatResponse("r1", "whole"));
  };
  const one = await raw.startRawRunner("one", onRequest);
  const two = await raw.startRawRunner("two", onRequest);
  return {
    plain: fixture.createPlainServing([one.runner, two.runner]),
    countRequests: () => requestCount,
    [Symbol.asyncDispose]: async () => {
      await one[Symbol.asyncDispose]();
      await two[Symbol.asyncDispose]();
    },
  };
}

test.describe("PlainServing", () => {
  // Guards against executing a non-idempotent call twice: when a response is lost, truncated or not the
  // runner's own, the call may have run all the same.
  test.it("sends a non-idempotent call only once, however its response fails", async () => {
    const faults: ((socket: { write: (text: string) => void; destroy: () => void }) => void)[] = [
      (socket) => {
        socket.destroy();
      },
      (socket) => {
        socket.write("no answer at all\r\n\r\n");
      },
      (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nha");
        socket.destroy();
      },
      (socket) => {
        socket.write(raw.formatResponse("r0", "another's"));
      },
      (socket) => {
        socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      },
    ];
    for (const fault of faults) {
      await using pair = await startPair(fault);
      const result = await fixture.serve(pair.plain, fixture.createCall(UNSAFE));
      earl.expect(result).toEqual("502 ran unknown");
      earl.expect(pair.countRequests()).toEqual(1);
    }
  });

  // Guards against taking the end of a runner for the end of its answer.
  test.it("returns no answer without a length whose runner stops with it", async () => {
    const start =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\n";
    for (const [isStopped, body, kind, expected] of [
      [true, "wh", UNSAFE, "502 ran unknown"],
      [true, "", UNSAFE, "502 ran unknown"],
      [false, "whole", UNSAFE, "200 whole"],
    ] as const) {
      const runner: raw.RawRunner = await raw.startRawRunner("one", (socket) => {
        socket.end(start + body);
        if (isStopped) void runner[Symbol.asyncDispose]();
      });
      await using _stopped = runner;
      const plain = fixture.createPlainServing([runner.runner]);
      earl.expect(await fixture.serve(plain, fixture.createCall(kind))).toEqual(expected);
    }
  });

  test.it("times out at the deadline if no response to a non-idempotent call arrives", async () => {
    await using pair = await startPair(() => undefined);
    const result = await fixture.serve(pair.plain, fixture.createCall(UNSAFE));
    earl.expect(result).toEqual("504 ran unknown");
  });

  test.it("retries on another runner if the runner states that the call has not run", async () => {
    await using pair = await startPair((socket) => {
      socket.write(NOT_RUN);
    });
    earl.expect(await fixture.serve(pair.plain, fixture.createCall(UNSAFE))).toEqual("200 whole");
  });

  // Guards against taking a pause that a runner asked for as a failure of its health.
  test.it("counts a rejection as a failure of the runner unless it asks for a pause", async () => {
    for (const [header, isSound] of [
      ["", false],
      ["Retry-After: 0.4\r\n", true],
      ["Retry-After: -1\r\n", false],
      // Such a runner looked sound and idle, and drew the calls.
      ["Retry-After: 0\r\n", false],
    ] as const) {
      await using full = await raw.startRawRunner("full", (socket) => {
        socket.write(NOT_RUN.replace("\r\n", `\r\n${header}`));
      });
      const table = new runnerTable.RunnerTable(fixture.clock, fixture.log);
      const plain = fixture.createPlainServing([full.runner], 0.2, undefined, table);
      const result = await fixture.serve(plain, fixture.createCall(UNSAFE));
      earl.expect(result).toEqual("503 ran no");
      earl.expect(table.find("full")?.failureRate === 0).toEqual(isSound);
    }
  });

  // Guards against counting a connection that was refused as an attempt and as a repeat.
  test.it("sends a call elsewhere without a retry when no connection is made", async () => {
    const ended = await raw.startRawRunner("ended", () => undefined);
    await ended[Symbol.asyncDispose]();
    await using healthy = await raw.startRawRunner("healthy", (socket) => {
      socket.write(raw.formatResponse("r1", "whole"));
    });
    for (const listed of [
      [ended.runner, healthy.runner],
      [healthy.runner, ended.runner],
    ]) {
      const plain = fixture.createPlainServing(listed, 0);
      const call = fixture.createCall({ kind: routing.CALL_KIND.unsafe, maxAttempts: 1 });
      earl.expect(await fixture.serve(plain, call)).toEqual("200 whole");
    }
  });

  test.it(
    'refuses a call with "ran no" if every runner states that it has not run, or no runner is listed',
    async () => {
      await using full = await raw.startRawRunner("full", (socket) => {
        socket.write(NOT_RUN);
      });
      const plain = fixture.createPlainServing([full.runner]);
      earl.expect(await fixture.serve(plain, fixture.createCall(UNSAFE))).toEqual("503 ran no");
      const none = fixture.createPlainServing([]);
      earl.expect(await fixture.serve(none, fixture.createCall(UNSAFE))).toEqual("503 ran no");
    },
  );

  test.it(
    "retries an idempotent call once after a failure, if the retry budget allows it",
    async () => {
      await using pair = await startPair((socket) => {
        socket.destroy();
      });
      earl.expect(await fixture.serve(pair.plain, fixture.createCall(SAFE))).toEqual("200 whole");
      await using failing = await raw.startRawRunner("f", (socket) => {
        socket.destroy();
      });
      const withoutSlack = fixture.createPlainServing(
        [failing.runner, { ...failing.runner, id: "g" }],
        0,
      );
      await fixture.serve(withoutSlack, fixture.createCall(SAFE));
      await fixture.serve(withoutSlack, fixture.createCall(SAFE));
      earl.expect(failing.requests.length <= 3).toEqual(true);
    },
  );

  test.it("retries an idempotent call in time if no response arrives", async () => {
    await using pair = await startPair(() => undefined);
    earl.expect(await fixture.serve(pair.plain, fixture.createCall(SAFE))).toEqual("200 whole");
  });

  // Guards against passing on a success that the runner may not have created itself: it would lack the
  // runner's signature header.
  test.it(
    "returns a runner's error unchanged, but not a success without a signature header",
    async () => {
      await using failing = await raw.startRawRunner("f", (socket) => {
        socket.write(raw.formatResponse("r1", "sorry", "500 Error"));
      });
      const plain = fixture.createPlainServing([failing.runner]);
      earl.expect(await fixture.serve(plain, fixture.createCall(SAFE))).toEqual("500 sorry");
      await using unsigned = await raw.startRawRunner("u", (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi");
      });
      const other = fixture.createPlainServing([unsigned.runner]);
      earl.expect(await fixture.serve(other, fixture.createCall(SAFE))).toEqual("502 ran unknown");
    },
  );
});
