/** Seeds that the soak runs again: those that once failed, each with its cause, and one for CI. */

/** A seed that is kept. */
export interface KeptSeed {
  readonly seed: number;
  readonly cause: string;
}

/** The kept seeds. */
export const KEPT_SEEDS: readonly KeptSeed[] = [{ seed: 1, cause: "runs in CI; never failed" }];
