/** Nothing told a VM that stood still from one whose peers were slow: delays of the event loop were not recorded. */
import * as test from "node:test";
import * as earl from "earl";
import * as logEvents from "../../src/telemetry/log-events.js";
import * as loopMonitors from "../../src/telemetry/loop-monitor.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as inertMetrics from "./inert-metrics.js";

test.describe("LoopMonitor", () => {
  test.it("records each delay, and logs the longest one when it is long", async () => {
    const clock = fakeClock.createFakeClock();
    let standstillMs = 0;
    const lateClock = {
      ...clock,
      now: () => clock.now(),
      wallTime: () => clock.wallTime(),
      schedule: (delayMs: number, callback: () => void) =>
        clock.schedule(delayMs + standstillMs, callback),
    };
    const delays: number[] = [];
    const logged: unknown[] = [];
    const log = {
      write: ({ number }: logEvents.LogEvent, fields: unknown) => logged.push([number, fields]),
    };
    const metrics = {
      ...inertMetrics.createInertMetrics(),
      recordDuration: (_name: string, delayMs: number) => delays.push(Math.round(delayMs)),
    };
    await using monitor = new loopMonitors.LoopMonitor({ clock: lateClock, log, metrics });
    void monitor.run();
    await clock.advance(250);
    standstillMs = 700;
    await clock.advance(250);
    await clock.advance(950);
    earl.expect(delays).toEqual([0, 0, 700]);
    earl.expect(logged).toEqual([[1006, { longestMs: 700 }]]);
  });
});
