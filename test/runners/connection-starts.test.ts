import * as test from "node:test";
import * as earl from "earl";
import * as runnerCodec from "../../platform/runner-codec.js";
import * as clocks from "../../src/kernel/clock.js";
import * as connectionStarts from "../../src/runners/connection-starts.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "./raw-runner.js";

const RUNNER = raw.createRunner("r", 1);
const RESTART_MS = 600;

/** Creates starts of a runner that answers a query after `delayMs`, `failures` of which fail first. */
function createStarts(delayMs: number, failures = 0) {
  const clock = fakeClock.createFakeClock();
  const state = { queries: 0 };
  const starts = new connectionStarts.ConnectionStarts({
    clock,
    codec: runnerCodec.RUNNER_CODEC,
    calls: {
      sendMessage: async () => {
        state.queries += 1;
        await clocks.sleep(clock, delayMs);
        if (state.queries <= failures) throw new Error("no answer");
        return { status: 200, body: Buffer.from(JSON.stringify({ born: 7 })) };
      },
    },
  });
  return { clock, state, starts };
}

test.describe("ConnectionStarts", () => {
  test.it("asks once for each connection, and again after a failure", async () => {
    const { clock, state, starts } = createStarts(10, 1);
    const connection = { destroyed: false };
    const first = starts.readStart(RUNNER, connection);
    const second = starts.readStart(RUNNER, connection);
    await clock.advance(100);
    earl.expect(await Promise.all([first, second])).toEqual([7, 7]);
    earl.expect(state.queries).toEqual(2);
  });

  // Guards against taking the start that answers for the one that ended with its connection.
  test.it(
    "knows nothing if the connection ended and the process may have started again",
    async () => {
      const { clock, starts } = createStarts(RESTART_MS);
      const connection = { destroyed: false };
      const start = starts.readStart(RUNNER, connection);
      connection.destroyed = true;
      await clock.advance(RESTART_MS + 1);
      earl.expect(await start).toEqual(undefined);
      const kept = createStarts(RESTART_MS);
      const known = kept.starts.readStart(RUNNER, { destroyed: false });
      await kept.clock.advance(RESTART_MS + 1);
      earl.expect(await known).toEqual(7);
    },
  );
});
