/** Exit codes of `ebonyhook`. */

/** Exit codes by name; `docs/SETTINGS.md` lists them. */
export const EXIT_CODE = {
  /** Success. */
  ok: 0,
  /**
   * Failure, including an invalid document, a request that ran and failed, or an error response of
   * the service.
   */
  failed: 1,
  /** Unknown command, or invalid flag, environment variable or file. */
  usage: 2,
  /** The request was rejected without running. */
  notRun: 3,
  /** It is unknown whether the request ran. */
  unknown: 4,
} as const;

/** Value of `EXIT_CODE`. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Summary of the exit codes for the help text. */
export const EXIT_CODE_HELP =
  "exit codes: 0 done, 1 failed, 2 usage or input not valid, 3 refused and not run, 4 outcome unknown";
