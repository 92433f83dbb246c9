import * as test from "node:test";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as earl from "earl";
import * as timelines from "../../standins/rollout/timeline.js";

test.describe("the timeline of a gateway's log", () => {
  test.it("has the versions in force, the counted events and the load; skips other lines", () => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "ebonyhook-timeline-"));
    const file = path.join(directory, "front-1.log");
    const timestamp = "2026-12-06T10:00:00.250Z";
    const lines = [
      JSON.stringify({ event: 3001, version: 7, timestamp }),
      JSON.stringify({ event: 3005, timestamp }),
      JSON.stringify({ event: 4001, timestamp }),
      JSON.stringify({ load: { at: 5, delayMs: 20, cpuMs: 90 } }),
      "{ cut off",
      "a warning",
    ];
    fs.writeFileSync(file, lines.join("\n"));
    const { applications, events, loads } = timelines.readTimeline("front-1", file);
    fs.rmSync(directory, { recursive: true });
    const at = Date.parse(timestamp);
    earl.expect(applications.map((one) => [one.version, one.at])).toEqual([[7, at]]);
    earl.expect(events).toEqual([{ name: "pull failed", at }]);
    earl.expect(loads).toEqual([{ at: 5, delayMs: 20, cpuMs: 90 }]);
  });

  test.it("gives quantiles of any number of values", () => {
    earl.expect(timelines.computeQuantile([], 0.5)).toEqual(0);
    earl.expect(timelines.computeQuantile([3, 1, 2], 0.5)).toEqual(2);
    earl.expect(timelines.computeQuantile([3, 1, 2], 1)).toEqual(3);
  });
});
