import * as test from "node:test";
import * as earl from "earl";
import * as runnerCodec from "../../platform/runner-codec.js";
import * as clocks from "../../src/kernel/clock.js";
import * as connectionStarts from "../../src/runners/connection-starts.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "./raw-runner.js";

const RUNNER = raw.createRunner("r", 1);
const RESTART_MS = 600;

/** Creates starts of a runner that answers a query after `delayMs`; the first ones fail or have the given statuses. */
function createStarts(delayMs: number, failures = 0, firstStatuses: readonly number[] = []) {
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
        const status = firstStatuses[state.queries - 1] ?? 200;
        const body = status === 200 ? JSON.stringify({ born: 7 }) : "";
        return { status, body: Buffer.from(body) };
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

  // Guards against taking a refusal that a runner wrote once more for a report that states no start.
  test.it("asks again after a refusal, and takes a runner without reports for one", async () => {
    for (const [statuses, expected, queries] of [
      [[503, 429], 7, 3],
      [[404], 0, 1],
    ] as const) {
      const { clock, state, starts } = createStarts(10, 0, statuses);
      const start = starts.readStart(RUNNER, { destroyed: false });
      await clock.advance(100);
      earl.expect([await start, state.queries]).toEqual([expected, queries]);
    }
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
