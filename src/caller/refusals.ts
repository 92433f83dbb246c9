/** Final answers other than success, as HTTP responses. */
import * as codes from "../protocol/result-codes.js";

/** Body of a refusal. */
export interface RefusalBody {
  readonly error: {
    readonly code: number;
    readonly message: string;
    readonly ran: codes.Ran;
    readonly retryAfterMs?: number | undefined;
    readonly session?: string | undefined;
  };
}

/** Returns any failure as a `RequestError`; what is not one is an internal error. */
export function createRequestError(error: unknown): codes.RequestError {
  if (error instanceof codes.RequestError) return error;
  return new codes.RequestError(codes.RESULT_CODES.internalError, codes.RAN.unknown, {
    cause: error,
  });
}

/** Returns the JSON body of a refusal. */
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

/** Returns the `Retry-After` header in whole seconds, at least one. */
export function formatRetryAfter(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / 1000)));
}
