/** Regression seeds of the soak: seeds that failed in the past, with the cause, and one for CI. */

import type * as soak from "./soak.js";

/** A seed that every run of the soak without flags repeats; older ones lack what the soak learned later. */
export interface KeptSeed extends soak.SoakOptions {
  /** Why the seed failed once. */
  readonly cause: string;
}

/** The kept seeds. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  { seed: 1, seconds: 3, cause: "never failed" },
  { seed: 224045, seconds: 8, cause: "SIGHUP ended a gateway that was still loading" },
  { seed: 296129, seconds: 8, cause: "the same, with one caller in ten not served afterwards" },
  { seed: 7, seconds: 8, hasCrashingCaller: true, cause: "a request kept ending plain runners" },
  {
    seed: 17,
    seconds: 10,
    hasCrashingCaller: true,
    hasFailingRunners: true,
    cause: "gateways that started cut off retried as if alone, and at too many runners",
  },
  {
    seed: 338119,
    seconds: 10,
    hasCrashingCaller: true,
    cause: "a relay forwarded a connection that had lost bytes",
  },
  {
    seed: 21,
    seconds: 8,
    hasCrashingCaller: true,
    hasCrashingPart: true,
    hasFailingRunners: true,
    cause: "requests with a prompt part in common kept ending decode runners",
  },
  {
    seed: 29,
    seconds: 4,
    hasVersions: true,
    cause: "streams went on at another software version than the one that began them",
  },
  {
    seed: 972947,
    seconds: 8,
    hasCrashingCaller: true,
    hasCrashingPart: true,
    hasFailingRunners: true,
    hasVersions: true,
    cause: "verdicts of two crashes ended when other runners crashed",
  },
  { seed: 1004, seconds: 8, hasLimits: true, cause: "never failed; runners name limits" },
  { seed: 53, seconds: 8, hasRestores: true, cause: "never failed; the store is restored" },
  { seed: 54, seconds: 8, hasRestores: true, cause: "never failed; the same without an era" },
];
