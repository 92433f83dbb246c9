import * as test from "node:test";
import * as earl from "earl";
import * as random from "../../src/kernel/random.js";
import * as outputEstimator from "../../src/placement/output-estimator.js";

const MEDIAN_OUTPUT_TOKENS = 3_800;
const SPREAD = 0.5;

/** Returns a log-normally distributed factor with median 1. */
function drawFactor(source: random.RandomSource): number {
  const first = Math.sqrt(-2 * Math.log(1 - source.nextFloat()));
  return Math.exp(SPREAD * first * Math.cos(2 * Math.PI * source.nextFloat()));
}

/**
 * Trains an estimator on estimates that are right at the median and spread as widely as the
 * outputs.
 */
function createTrained(count: number): outputEstimator.OutputEstimator {
  const source = random.createSeededRandom(7);
  const estimator = new outputEstimator.OutputEstimator();
  for (let done = 0; done < count; done += 1) {
    const output = MEDIAN_OUTPUT_TOKENS * drawFactor(source);
    estimator.record(output * drawFactor(source), output);
  }
  return estimator;
}

test.describe("OutputEstimator", () => {
  test.it("follows the caller's estimate, plus the tail, without any samples", () => {
    const mean = new outputEstimator.OutputEstimator().computeExpectedOutput(2_000);
    earl.expect(mean > 2_000 && mean < 2_400).toEqual(true);
  });

  test.it("halves the deviation of an estimate when half of its variance is noise", () => {
    const estimator = createTrained(400);
    // Outputs and the errors of the estimates have the same spread, so the slope of the line is a
    // half.
    const tail = Math.exp((SPREAD * SPREAD) / 4);
    for (const factor of [0.5, 1, 2]) {
      const expected = MEDIAN_OUTPUT_TOKENS * Math.sqrt(factor) * tail;
      const mean = estimator.computeExpectedOutput(MEDIAN_OUTPUT_TOKENS * factor);
      earl.expect(Math.abs(mean / expected - 1) < 0.15).toEqual(true);
    }
  });

  test.it("keeps following estimates that are exact", () => {
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

  test.it("ignores samples without estimate or output", () => {
    const estimator = new outputEstimator.OutputEstimator();
    estimator.record(0, 10);
    estimator.record(10, 0);
    earl.expect(Number.isFinite(estimator.computeExpectedOutput(0))).toEqual(true);
  });
});
