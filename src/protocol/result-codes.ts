/**
 * Numbered results of requests. Numbers never change meaning; `docs/RESULT-CODES.md` lists them.
 */

/** Whether a request was executed, as far as the fleet can prove. */
export const RAN = { no: "no", yes: "yes", unknown: "unknown" } as const;

/** One of the values of `RAN`. */
export type Ran = (typeof RAN)[keyof typeof RAN];

/** A result code. */
export interface ResultCode {
  readonly number: number;
  /** HTTP status of the response. */
  readonly status: number;
  readonly message: string;
}

/**
 * Codes by name: 1xxx errors of the caller, 2xxx temporary refusals (no capacity, or a node that is
 * leaving or not ready), 3xxx failures, 4xxx results that follow from the records of a request or
 * from its other attempts.
 */
export const RESULT_CODES = {
  malformedRequest: { number: 1001, status: 400, message: "malformed request" },
  unknownCaller: { number: 1002, status: 401, message: "unknown caller" },
  unknownModel: { number: 1003, status: 404, message: "unknown model" },
  unknownService: { number: 1004, status: 404, message: "unknown service" },
  bodyTooLarge: { number: 1005, status: 413, message: "body too large" },
  sessionRequired: { number: 1006, status: 428, message: "session required" },
  sessionInvalid: { number: 1007, status: 400, message: "session not valid" },
  sessionExpired: { number: 1008, status: 410, message: "request id expired" },
  notAllowed: { number: 1009, status: 403, message: "caller may not call this" },
  quarantined: { number: 1010, status: 422, message: "request crashed several upstreams" },
  headerOutOfRange: { number: 1011, status: 400, message: "header out of range" },
  promptTooLong: { number: 1012, status: 400, message: "prompt does not fit into engine memory" },
  adminTokenInvalid: { number: 1013, status: 401, message: "administration token not valid" },
  headTooLarge: { number: 1014, status: 431, message: "request head too large" },
  headTimedOut: { number: 1015, status: 408, message: "request head not received in time" },
  overloaded: { number: 2001, status: 503, message: "no capacity within the latency targets" },
  shareExceeded: { number: 2002, status: 429, message: "caller is above its share" },
  leaving: { number: 2003, status: 503, message: "node is leaving" },
  notReady: { number: 2004, status: 503, message: "no configuration yet" },
  recordsFull: { number: 2005, status: 503, message: "request records are full" },
  versionUnavailable: {
    number: 2006,
    status: 503,
    message: "software version of the stream is not known or not served",
  },
  quotaExceeded: { number: 2007, status: 429, message: "team is above its quota" },
  deadlineExceeded: { number: 3001, status: 504, message: "deadline exceeded" },
  upstreamUnavailable: { number: 3002, status: 502, message: "no upstream available" },
  upstreamFailed: { number: 3003, status: 502, message: "upstream failed" },
  internalError: { number: 3004, status: 500, message: "internal error" },
  callerGone: { number: 3005, status: 499, message: "caller closed the request" },
  backupUnreachable: { number: 4001, status: 503, message: "backup unreachable" },
  refusedByRecord: { number: 4002, status: 503, message: "request was given up before it ran" },
  superseded: { number: 4005, status: 409, message: "a newer attempt answers this request" },
  outcomeUnknown: { number: 4003, status: 504, message: "outcome unknown" },
  resultNotKept: { number: 4004, status: 410, message: "request ran; its result was not kept" },
} as const satisfies Record<string, ResultCode>;

/** Final result of a request that did not succeed: a result code, and whether the request ran. */
export class RequestError extends Error {
  override readonly name = "RequestError";
  readonly code: ResultCode;
  readonly ran: Ran;
  /** Time after which the caller should retry. */
  readonly retryAfterMs: number | undefined;
  /** A new session for the retry. */
  readonly session: string | undefined;

  constructor(
    code: ResultCode,
    ran: Ran,
    options: ErrorOptions & {
      /** Message that replaces the one of the code. */
      readonly detail?: string;
      readonly retryAfterMs?: number;
      readonly session?: string;
    } = {},
  ) {
    super(options.detail ?? code.message, options);
    this.code = code;
    this.ran = ran;
    this.retryAfterMs = options.retryAfterMs;
    this.session = options.session;
  }
}

/**
 * Returns the `ran` value of an attempt that sent nothing to an upstream: `no` for the first
 * attempt, else `unknown`, because an earlier attempt may have run.
 */
export function getRanBefore(attempt: number): Ran {
  return attempt === 1 ? RAN.no : RAN.unknown;
}

/** Returns the code for a number from another node; unknown numbers map to `internalError`. */
export function findResultCode(number: number): ResultCode {
  const known = Object.values(RESULT_CODES).find((code) => code.number === number);
  return known ?? RESULT_CODES.internalError;
}
