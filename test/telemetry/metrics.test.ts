import * as test from "node:test";
import * as earl from "earl";
import * as metrics from "../../src/telemetry/metrics.js";

const MANY_NAMES = 300;

test.describe("createMetrics", () => {
  test.it("formats counters, gauges and quantiles of durations", async () => {
    const created = metrics.createMetrics();
    created.count("requests", { result: "ok" });
    created.count("requests", { result: "ok" }, 2);
    created.set("members", 4);
    for (let durationMs = 1; durationMs <= 100; durationMs += 1) {
      created.recordDuration("first_token", durationMs);
    }
    const text = await created.format();
    earl.expect(text).toMatchRegex(/^ebonyhook_requests\{result="ok"\} 3$/m);
    earl.expect(text).toMatchRegex(/^ebonyhook_members 4$/m);
    earl.expect(text).toMatchRegex(/^ebonyhook_first_token_ms_count 100$/m);
    const median = /first_token_ms\{quantile="0.5"\} ([\d.]+)/.exec(text)?.[1];
    earl.expect(Math.abs(Number(median) - 50)).toBeLessThan(1);
  });

  test.it("bounds the number of names", async () => {
    const created = metrics.createMetrics();
    for (let name = 0; name < MANY_NAMES; name += 1) created.count(`name_${name}`);
    const text = await created.format();
    earl.expect(text).toMatchRegex(/ebonyhook_name_0 1/);
    earl.expect(text).not.toMatchRegex(new RegExp(`ebonyhook_name_${MANY_NAMES - 1} 1`));
  });

  test.it("keeps a duration out of range within it", async () => {
    const created = metrics.createMetrics();
    created.recordDuration("wait", -5);
    created.recordDuration("wait", Number.MAX_SAFE_INTEGER);
    earl.expect(await created.format()).toMatchRegex(/ebonyhook_wait_ms_count 2/);
  });
});
