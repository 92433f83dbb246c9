import * as test from "node:test";
import * as earl from "earl";
import * as metrics from "../../src/telemetry/metrics.js";

const MANY_NAMES = 300;

test.describe("createMetrics", () => {
  test.it("formats counters, gauges and quantiles of durations", async () => {
    const nodeMetrics = metrics.createMetrics();
    nodeMetrics.count("requests", { result: "ok" });
    nodeMetrics.count("requests", { result: "ok" }, 2);
    nodeMetrics.set("members", 4);
    for (let durationMs = 1; durationMs <= 100; durationMs += 1) {
      nodeMetrics.recordDuration("first_token", durationMs);
    }
    const text = await nodeMetrics.format();
    earl.expect(text).toMatchRegex(/^ebonyhook_requests\{result="ok"\} 3$/m);
    earl.expect(text).toMatchRegex(/^ebonyhook_members 4$/m);
    earl.expect(text).toMatchRegex(/^ebonyhook_first_token_ms_count 100$/m);
    const median = /first_token_ms\{quantile="0.5"\} ([\d.]+)/.exec(text)?.[1];
    earl.expect(Math.abs(Number(median) - 50)).toBeLessThan(1);
  });

  test.it("ignores further names of counters above the limit", async () => {
    const nodeMetrics = metrics.createMetrics();
    for (let name = 0; name < MANY_NAMES; name += 1) nodeMetrics.count(`name_${name}`);
    const text = await nodeMetrics.format();
    earl.expect(text).toMatchRegex(/ebonyhook_name_0 1/);
    earl.expect(text).not.toMatchRegex(new RegExp(`ebonyhook_name_${MANY_NAMES - 1} 1`));
  });

  test.it("records durations that are out of range", async () => {
    const nodeMetrics = metrics.createMetrics();
    nodeMetrics.recordDuration("wait", -5);
    nodeMetrics.recordDuration("wait", Number.MAX_SAFE_INTEGER);
    earl.expect(await nodeMetrics.format()).toMatchRegex(/ebonyhook_wait_ms_count 2/);
  });
});
