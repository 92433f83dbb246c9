import * as test from "node:test";
import * as earl from "earl";
import * as virtualClock from "../../bench/virtual-clock.js";
import * as gapMonitors from "../../src/capacity/gap-monitor.js";

test.describe("GapMonitor", () => {
  // Without probe requests no latency would be measured at a slow runner, which would stay excluded.
  test.it("refuses requests as slow except one probe per interval", async () => {
    const clock = new virtualClock.VirtualClock();
    const monitor = new gapMonitors.GapMonitor(clock);
    monitor.record(90);
    earl.expect(monitor.isRefusedAsSlow(60)).toEqual(false);
    monitor.recordGrant(60);
    earl.expect(monitor.isRefusedAsSlow(60)).toEqual(true);
    earl.expect(monitor.isRefusedAsSlow(100)).toEqual(false);
    await clock.run(5001);
    earl.expect(monitor.isRefusedAsSlow(60)).toEqual(false);
  });

  test.it("does not refuse requests once the mean latency is below the target", () => {
    const monitor = new gapMonitors.GapMonitor(new virtualClock.VirtualClock());
    monitor.record(90);
    monitor.recordGrant(60);
    monitor.record(30);
    monitor.record(30);
    earl.expect(monitor.isRefusedAsSlow(60)).toEqual(false);
  });
});
