/** Exit codes of `ebonyhook`. */

/** Exit codes by meaning; `docs/SETTINGS.md` lists them. */
export const EXIT_CODE = {
  /** Done. */
  ok: 0,
  /** Failed; a request ran, or its failure is that of the service. */
  failed: 1,
  /** Unknown command, or a flag, variable or file that is not valid. */
  usage: 2,
  /** The request was refused and did not run. */
  notRun: 3,
  /** Whether the request ran is unknown. */
  unknown: 4,
} as const;

/** One of the values of `EXIT_CODE`. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

/** Lines about the exit codes for the help. */
export const EXIT_CODE_HELP =
  "exit codes: 0 done, 1 failed, 2 usage or input not valid, 3 refused and not run, 4 outcome unknown";
