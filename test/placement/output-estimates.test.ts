import * as test from "node:test";
import * as earl from "earl";
import * as random from "../../src/kernel/random.js";
import * as outputEstimates from "../../src/placement/output-estimates.js";

const MEDIAN_OUTPUT = 3_800;
const SPREAD = 0.5;

/** Returns a factor around 1 whose logarithm is spread evenly to both sides. */
function drawFactor(source: random.RandomSource): number {
  const first = Math.sqrt(-2 * Math.log(1 - source.nextFloat()));
  return Math.exp(SPREAD * first * Math.cos(2 * Math.PI * source.nextFloat()));
}

/** Records answers whose estimates are right at the median and as widely spread as the answers. */
function createTaught(count: number): outputEstimates.OutputEstimates {
  const source = random.createSeededRandom(7);
  const estimates = new outputEstimates.OutputEstimates();
  for (let done = 0; done < count; done += 1) {
    const output = MEDIAN_OUTPUT * drawFactor(source);
    estimates.record(output * drawFactor(source), output);
  }
  return estimates;
}

test.describe("OutputEstimates", () => {
  test.it("trusts callers, with a long tail, while it knows no better", () => {
    const mean = new outputEstimates.OutputEstimates().computeMean(2_000);
    earl.expect(mean > 2_000 && mean < 2_400).toEqual(true);
  });

  test.it("expects half the deviation from those whose estimates are half chance", () => {
    const estimates = createTaught(400);
    // Spread of answers and of estimates is the same, so the line's slope is a half.
    const tail = Math.exp((SPREAD * SPREAD) / 4);
    for (const factor of [0.5, 1, 2]) {
      const expected = MEDIAN_OUTPUT * Math.sqrt(factor) * tail;
      const mean = estimates.computeMean(MEDIAN_OUTPUT * factor);
      earl.expect(Math.abs(mean / expected - 1) < 0.15).toEqual(true);
    }
  });

  test.it("goes on trusting estimates that come true", () => {
    const source = random.createSeededRandom(3);
    const estimates = new outputEstimates.OutputEstimates();
    for (let done = 0; done < 200; done += 1) {
      const output = MEDIAN_OUTPUT * drawFactor(source);
      estimates.record(output, output);
    }
    for (const factor of [0.5, 2]) {
      const mean = estimates.computeMean(MEDIAN_OUTPUT * factor);
      earl.expect(Math.abs(mean / (MEDIAN_OUTPUT * factor) - 1) < 0.05).toEqual(true);
    }
  });

  test.it("takes no harm from answers without output", () => {
    const estimates = new outputEstimates.OutputEstimates();
    estimates.record(0, 10);
    estimates.record(10, 0);
    earl.expect(Number.isFinite(estimates.computeMean(0))).toEqual(true);
  });
});
