import * as test from "node:test";
import * as earl from "earl";
import * as runnerPauses from "../../src/runners/runner-pauses.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";
import * as raw from "./raw-runner.js";

const RUNNER = raw.createRunner("one", 1);

function createPauses() {
  const clock = fakeClock.createFakeClock();
  const lines: unknown[] = [];
  const pauses = new runnerPauses.RunnerPauses({
    clock,
    log: {
      write: ({ number }, fields = {}) => {
        const { runner, pauseMs, value, request } = fields;
        lines.push([number, runner, pauseMs ?? value, request]);
      },
    },
    metrics: inertMetrics.createInertMetrics(),
  });
  const record = (durationMs: number, runner = RUNNER): void => {
    pauses.recordAnswer(runner, { kind: "named", durationMs }, "r1");
  };
  return { clock, lines, pauses, record };
}

test.describe("RunnerPauses", () => {
  test.it("holds for the time that was asked for, whatever later answers ask for", async () => {
    const { clock, lines, pauses, record } = createPauses();
    record(2_000);
    await clock.advance(500);
    record(100);
    pauses.recordAnswer(RUNNER, { kind: "none" }, "r2");
    earl.expect(pauses.computePause(RUNNER)).toEqual(1_500);
    await clock.advance(1_500);
    earl.expect(pauses.computePause(RUNNER)).toEqual(0);
    record(0);
    earl.expect(lines).toEqual([[6015, "one@1", 2_000, "r1"]]);
  });

  test.it("ends with a new start of the runner, and is no one else's", () => {
    const { pauses, record } = createPauses();
    record(2_000);
    earl.expect(pauses.computePause({ ...RUNNER, bornAt: 2 })).toEqual(0);
    earl.expect(pauses.computePause({ ...RUNNER, id: "two" })).toEqual(0);
  });

  test.it("lasts at most a minute, and ignores what is no time", () => {
    const { lines, pauses, record } = createPauses();
    for (let count = 0; count < 2; count += 1)
      pauses.recordAnswer(RUNNER, { kind: "unreadable", text: "-1" }, "r1");
    earl.expect(pauses.computePause(RUNNER)).toEqual(0);
    record(Infinity);
    earl.expect(pauses.computePause(RUNNER)).toEqual(60_000);
    earl.expect(lines).toEqual([
      [6014, "one@1", "-1", undefined],
      [6014, "one@1", "Infinity ms", undefined],
      [6015, "one@1", 60_000, "r1"],
    ]);
  });

  test.it("names the shortest time left only if all runners want one", () => {
    const { pauses, record } = createPauses();
    const two = { ...RUNNER, id: "two" };
    record(2_000);
    earl.expect(runnerPauses.computeCommonPause(pauses, [RUNNER, two])).toEqual(undefined);
    record(900, two);
    earl.expect(runnerPauses.computeCommonPause(pauses, [RUNNER, two])).toEqual(900);
    earl.expect(runnerPauses.computeCommonPause(pauses, [])).toEqual(undefined);
  });
});
