/**
 * Corrects callers' estimates of their output length by linear regression. About half of the
 * outputs are longer than their estimates, and some estimates are off by a factor of two. The true
 * mean output for a given estimate lies between that estimate and the overall mean (regression
 * towards the mean). Outputs and estimates are distributed symmetrically on a logarithmic scale, so
 * the line is fitted to logarithms.
 */

/** Weight that older samples keep with each new one; the window is about two hundred samples. */
const DECAY_FACTOR = 0.995;
/**
 * Weight of the prior in samples: after this many samples, the fitted line counts as much as the
 * caller's estimate.
 */
const PRIOR_SAMPLES = 10;
/** Prior variance of the logarithms of estimates. */
const PRIOR_ESTIMATE_VARIANCE = 0.25;
/** Prior variance of the logarithms of outputs around their estimates. */
const PRIOR_RESIDUAL_VARIANCE = 0.2;

/** Maps callers' estimates to expected outputs for one service. */
export class OutputEstimator {
  #sampleWeight = 0;
  #meanEstimate = 0;
  #meanOutput = 0;
  #estimateSquares = 0;
  #outputSquares = 0;
  #products = 0;

  /**
   * Records the caller's estimate and the output of a complete response; ignores it if one of them
   * is 0.
   */
  record(estimatedTokens: number, outputTokens: number): void {
    if (estimatedTokens <= 0 || outputTokens <= 0) return;
    const estimate = Math.log(estimatedTokens);
    const output = Math.log(outputTokens);
    this.#sampleWeight = this.#sampleWeight * DECAY_FACTOR + 1;
    const estimateShift = estimate - this.#meanEstimate;
    const outputShift = output - this.#meanOutput;
    this.#meanEstimate += estimateShift / this.#sampleWeight;
    this.#meanOutput += outputShift / this.#sampleWeight;
    const decay = DECAY_FACTOR;
    this.#estimateSquares =
      decay * this.#estimateSquares + estimateShift * (estimate - this.#meanEstimate);
    this.#outputSquares = decay * this.#outputSquares + outputShift * (output - this.#meanOutput);
    this.#products = decay * this.#products + estimateShift * (output - this.#meanOutput);
  }

  /** Returns the expected output of requests with this estimate. */
  computeExpectedOutput(estimatedTokens: number): number {
    const estimate = Math.log(Math.max(1, estimatedTokens));
    const confidence = this.#sampleWeight / (this.#sampleWeight + PRIOR_SAMPLES);
    const slope = this.#computeSlope();
    const fitted = this.#meanOutput + slope * (estimate - this.#meanEstimate);
    const median = confidence * fitted + (1 - confidence) * estimate;
    return Math.exp(median + this.#computeResidualVariance(slope, confidence) / 2);
  }

  /** Returns the slope of the fitted line: 1 follows the caller's estimate, 0 ignores it. */
  #computeSlope(): number {
    const prior = PRIOR_SAMPLES * PRIOR_ESTIMATE_VARIANCE;
    const slope = (this.#products + prior) / (this.#estimateSquares + prior);
    return Math.min(1, Math.max(0, slope));
  }

  #computeResidualVariance(slope: number, confidence: number): number {
    if (this.#sampleWeight === 0) return PRIOR_RESIDUAL_VARIANCE;
    const squares =
      this.#outputSquares - 2 * slope * this.#products + slope * slope * this.#estimateSquares;
    return (
      confidence * Math.max(0, squares / this.#sampleWeight) +
      (1 - confidence) * PRIOR_RESIDUAL_VARIANCE
    );
  }
}
