/** Exponentially weighted estimates of durations and rates. */

/** Weight of a new sample in the mean and the deviation. */
const DEFAULT_SMOOTHING_FACTOR = 0.1;

/** Exponentially weighted mean and mean deviation, as TCP keeps of its round trips (RFC 6298). */
export class Estimate {
  #mean: number | undefined;
  #deviation = 0;
  readonly #smoothingFactor: number;

  constructor(smoothingFactor: number = DEFAULT_SMOOTHING_FACTOR) {
    this.#smoothingFactor = smoothingFactor;
  }

  /** Mean of the samples, or `undefined` before the first. */
  get mean(): number | undefined {
    return this.#mean;
  }

  /** Mean deviation from the mean. */
  get deviation(): number {
    return this.#deviation;
  }

  /** Adds a sample. */
  add(sample: number): void {
    if (this.#mean === undefined) {
      this.#mean = sample;
      this.#deviation = Math.abs(sample) / 2;
      return;
    }
    const error = sample - this.#mean;
    this.#mean += this.#smoothingFactor * error;
    this.#deviation += this.#smoothingFactor * (Math.abs(error) - this.#deviation);
  }
}
