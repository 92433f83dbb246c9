/** Regression seeds of the soak: seeds that failed in the past, with the cause, and one for CI. */

/** A seed that every run of the soak without flags repeats. */
export interface KeptSeed {
  readonly seed: number;
  /** Duration of its fault plan. */
  readonly seconds: number;
  /** Whether a caller sends a request that ends its runners; absent in seeds that are older. */
  readonly hasCrashingCaller?: boolean;
  /** Why the seed failed once. */
  readonly cause: string;
}

/** The kept seeds. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  { seed: 1, seconds: 3, cause: "never failed" },
  { seed: 224045, seconds: 8, cause: "SIGHUP ended a gateway that was still loading" },
  { seed: 296129, seconds: 8, cause: "the same, with one caller in ten not served afterwards" },
  { seed: 7, seconds: 8, hasCrashingCaller: true, cause: "a request kept ending plain runners" },
];
