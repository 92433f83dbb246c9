/** Exponentially weighted estimates of durations and rates. */

const DEFAULT_GAIN = 0.1;

/** Exponentially weighted mean and mean deviation, as TCP keeps of its round trips (RFC 6298). */
export class Estimate {
  #mean: number | undefined;
  #deviation = 0;
  readonly #gain: number;

  constructor(gain: number = DEFAULT_GAIN) {
    this.#gain = gain;
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
    this.#mean += this.#gain * error;
    this.#deviation += this.#gain * (Math.abs(error) - this.#deviation);
  }
}
