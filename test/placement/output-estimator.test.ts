import * as test from "node:test";
import * as earl from "earl";
import * as random from "../../src/kernel/random.js";
import * as outputEstimator from "../../src/placement/output-estimator.js";

const MEDIAN_OUTPUT_TOKENS = 3_800;
const LOG_STANDARD_DEVIATION = 0.5;

/** Returns a log-normally distributed factor with median 1 (Box-Muller transform). */
function drawFactor(source: random.RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - source.nextFloat()));
  return Math.exp(LOG_STANDARD_DEVIATION * radius * Math.cos(2 * Math.PI * source.nextFloat()));
}

/**
 * Creates an estimator trained on estimates whose median error factor is 1 and whose errors have the
 * same log standard deviation as the outputs.
 */
function createTrainedEstimator(count: number): outputEstimator.OutputEstimator {
  const source = random.createSeededRandom(7);
  const estimator = new outputEstimator.OutputEstimator();
  for (let done = 0; done < count; done += 1) {
    const output = MEDIAN_OUTPUT_TOKENS * drawFactor(source);
    estimator.record(output * drawFactor(source), output);
  }
  return estimator;
}

test.describe("OutputEstimator", () => {
  test.it(
    "returns the mean of a log-normal distribution around the caller's estimate if there are no samples",
    () => {
      const mean = new outputEstimator.OutputEstimator().computeExpectedOutput(2_000);
      earl.expect(mean > 2_000 && mean < 2_400).toEqual(true);
    },
  );

  test.it(
    "shrinks estimates halfway to the median (in log space) when half of their variance is error",
    () => {
      const estimator = createTrainedEstimator(400);
      // Outputs and the errors of the estimates have the same log variance, so the slope of the
      // regression line is 0.5.
      const meanToMedianRatio = Math.exp((LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION) / 4);
      for (const factor of [0.5, 1, 2]) {
        const expected = MEDIAN_OUTPUT_TOKENS * Math.sqrt(factor) * meanToMedianRatio;
        const mean = estimator.computeExpectedOutput(MEDIAN_OUTPUT_TOKENS * factor);
        earl.expect(Math.abs(mean / expected - 1) < 0.15).toEqual(true);
      }
    },
  );

  test.it("returns about the caller's estimate when all estimates were exact", () => {
    const source = random.createSeededRandom(3);
    const estimator = new outputEstimator.OutputEstimator();
    for (let done = 0; done < 200; done += 1) {
      const output = MEDIAN_OUTPUT_TOKENS * drawFactor(source);
      estimator.record(output, output);
    }
    for (const factor of [0.5, 2]) {
      const mean = estimator.computeExpectedOutput(MEDIAN_OUTPUT_TOKENS * factor);
      earl.expect(Math.abs(mean / (MEDIAN_OUTPUT_TOKENS * factor) - 1) < 0.05).toEqual(true);
    }
  });

  // Guards against the logarithm of 0 in the averages.
  test.it("returns a finite number after samples with a zero estimate or output", () => {
    const estimator = new outputEstimator.OutputEstimator();
    estimator.record(0, 10);
    estimator.record(10, 0);
    earl.expect(Number.isFinite(estimator.computeExpectedOutput(0))).toEqual(true);
  });
});
