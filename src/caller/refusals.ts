/** Formats errors as HTTP responses to callers. */
import * as codes from "../protocol/result-codes.js";

/** Body of an error response. */
export interface RefusalBody {
  readonly error: {
    readonly code: number;
    readonly message: string;
    readonly ran: codes.Ran;
    readonly retryAfterMs?: number | undefined;
    readonly session?: string | undefined;
  };
}

/** Returns a `RequestError` as it is, and wraps any other error in one with `internalError`. */
export function createRequestError(error: unknown): codes.RequestError {
  if (error instanceof codes.RequestError) return error;
  return new codes.RequestError(codes.RESULT_CODES.internalError, codes.RAN.unknown, {
    cause: error,
  });
}

/** Formats the JSON body of an error response. */
export function formatRefusal(error: codes.RequestError): RefusalBody {
  return {
    error: {
      code: error.code.number,
      message: error.message,
      ran: error.ran,
      retryAfterMs: error.retryAfterMs,
      session: error.session,
    },
  };
}

/** Formats the `Retry-After` header value: whole seconds, rounded up, at least one. */
export function formatRetryAfter(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / 1000)));
}
