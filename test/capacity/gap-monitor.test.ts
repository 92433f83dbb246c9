import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as gapMonitors from "../../src/capacity/gap-monitor.js";

test.describe("GapMonitor", () => {
  // Without probes no gaps would be measured at a slow runner, and it would stay excluded.
  test.it("allows one probe request per interval while the runner is slow", async () => {
    const clock = new virtualClock.VirtualClock();
    const monitor = new gapMonitors.GapMonitor(clock);
    monitor.record(90);
    earl.expect(monitor.isTooSlow(60)).toEqual(false);
    monitor.recordGrant(60);
    earl.expect(monitor.isTooSlow(60)).toEqual(true);
    earl.expect(monitor.isTooSlow(100)).toEqual(false);
    await clock.run(5001);
    earl.expect(monitor.isTooSlow(60)).toEqual(false);
  });

  test.it("allows requests again once the mean gap is below the target", () => {
    const monitor = new gapMonitors.GapMonitor(new virtualClock.VirtualClock());
    monitor.record(90);
    monitor.recordGrant(60);
    monitor.record(30);
    monitor.record(30);
    earl.expect(monitor.isTooSlow(60)).toEqual(false);
  });
});
