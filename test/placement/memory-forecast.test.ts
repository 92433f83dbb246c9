import * as test from "node:test";
import * as earl from "earl";
import * as memoryForecast from "../../src/placement/memory-forecast.js";

function createRun(startsAt: number, expected = 1_000): memoryForecast.ForecastRun {
  return {
    promptTokens: 5_000,
    expectedOutputTokens: expected,
    maxOutputTokens: 8_000,
    startsAt,
  };
}

test.describe("computePeakTokens", () => {
  test.it("counts a run's prompt and its whole expected output", () => {
    const peak = memoryForecast.computePeakTokens([createRun(0)], 0, 1);
    earl.expect(Math.round(peak)).toEqual(6_000);
  });

  test.it("does not add the memory of a run that ends before another starts", () => {
    const early = createRun(-900);
    const late = createRun(5_000);
    const peak = memoryForecast.computePeakTokens([early, late], 0, 1);
    earl.expect(peak < 12_000).toEqual(true);
  });

  test.it("predicts that runs which fit now will not fit later", () => {
    const runs = Array.from({ length: 10 }, () => createRun(0, 4_400));
    const now = runs.reduce((sum, run) => sum + run.promptTokens, 0);
    earl.expect(memoryForecast.computePeakTokens(runs, 0, 1) > 1.8 * now).toEqual(true);
  });

  test.it(
    "expects a run that exceeds its estimate to continue, at most up to its maximum output",
    () => {
      const overdue = memoryForecast.computePeakTokens([createRun(-4_000)], 0, 1);
      earl.expect(Math.round(overdue)).toEqual(5_000 + 5_400);
      const longest = memoryForecast.computePeakTokens([createRun(-7_900)], 0, 1);
      earl.expect(Math.round(longest)).toEqual(13_000);
    },
  );
});
