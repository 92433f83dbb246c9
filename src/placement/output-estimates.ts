/**
 * Learns how far callers' estimates of their output can be trusted. Load pattern: estimates that are
 * right at the median only, some by a factor of two off; the true mean of all who gave one estimate
 * lies between it and the usual output (regression towards the mean). Outputs and estimates are
 * spread evenly on a logarithmic scale, so the line is fitted there.
 */

/** Weight that remains of the older answers with each new one: about the last two hundred count. */
const KEPT_SHARE = 0.995;
/** Answers after which what was learned counts as much as the caller's own estimate. */
const TRUST_COUNT = 10;
/** Spread of the logarithms that is assumed before any were seen. */
const FIRST_VARIANCE = 0.25;
/** Variance of the logarithm of outputs around their estimates before any were seen. */
const FIRST_RESIDUAL = 0.2;

/** Expected outputs by the estimates of the callers of one service. */
export class OutputEstimates {
  #count = 0;
  #meanEstimate = 0;
  #meanOutput = 0;
  #sumEstimates = 0;
  #sumOutputs = 0;
  #sumProducts = 0;

  /** Records an answer that ended by itself. */
  record(estimatedTokens: number, outputTokens: number): void {
    if (estimatedTokens <= 0 || outputTokens <= 0) return;
    const estimate = Math.log(estimatedTokens);
    const output = Math.log(outputTokens);
    this.#count = this.#count * KEPT_SHARE + 1;
    const estimateShift = estimate - this.#meanEstimate;
    const outputShift = output - this.#meanOutput;
    this.#meanEstimate += estimateShift / this.#count;
    this.#meanOutput += outputShift / this.#count;
    const kept = KEPT_SHARE;
    this.#sumEstimates =
      kept * this.#sumEstimates + estimateShift * (estimate - this.#meanEstimate);
    this.#sumOutputs = kept * this.#sumOutputs + outputShift * (output - this.#meanOutput);
    this.#sumProducts = kept * this.#sumProducts + estimateShift * (output - this.#meanOutput);
  }

  /** Returns the mean output of those who give this estimate. */
  computeMean(estimatedTokens: number): number {
    const estimate = Math.log(Math.max(1, estimatedTokens));
    const trust = this.#count / (this.#count + TRUST_COUNT);
    const slope = this.#computeSlope();
    const learned = this.#meanOutput + slope * (estimate - this.#meanEstimate);
    const median = trust * learned + (1 - trust) * estimate;
    return Math.exp(median + this.#computeResidual(slope, trust) / 2);
  }

  /** The line's slope; 1 trusts an estimate fully, 0 not at all. */
  #computeSlope(): number {
    const assumed = TRUST_COUNT * FIRST_VARIANCE;
    const slope = (this.#sumProducts + assumed) / (this.#sumEstimates + assumed);
    return Math.min(1, Math.max(0, slope));
  }

  #computeResidual(slope: number, trust: number): number {
    if (this.#count === 0) return FIRST_RESIDUAL;
    const left =
      this.#sumOutputs - 2 * slope * this.#sumProducts + slope * slope * this.#sumEstimates;
    return trust * Math.max(0, left / this.#count) + (1 - trust) * FIRST_RESIDUAL;
  }
}
