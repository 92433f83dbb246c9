/** Final outcomes of non-idempotent requests, as recorded, replayed and sent to peers. */
import * as zod from "zod";
import * as codes from "../protocol/result-codes.js";
import type * as upstream from "../upstream/types.js";

/** Schema of bytes on the wire. */
export const bytesSchema = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** Schema of an outcome on the wire. */
export const outcomeSchema = zod.discriminatedUnion("type", [
  zod.object({
    type: zod.literal("response"),
    status: zod.int(),
    headers: zod.record(zod.string(), zod.string()),
    body: bytesSchema,
  }),
  zod.object({
    type: zod.literal("refusal"),
    code: zod.int(),
    ran: zod.enum(["no", "yes", "unknown"]),
    detail: zod.string().optional(),
    retryAfterMs: zod.number().optional(),
  }),
]);

/** The upstream's response to a request, or a refusal that tells whether the request ran. */
export type Outcome = zod.infer<typeof outcomeSchema>;

/** Size of the largest outcome that is stored completely. */
export const MAX_STORED_OUTCOME_BYTES = 256 * 1024;
/** Estimated memory use of an outcome without its body and headers. */
const OUTCOME_OVERHEAD_BYTES = 256;
const CODES_BY_NUMBER = new Map<number, codes.ResultCode>(
  Object.values(codes.RESULT_CODES).map((code) => [code.number, code]),
);

/** Creates the outcome of an upstream's response. */
export function createResponseOutcome(response: upstream.PlainResponse): Outcome {
  const { status, headers, body } = response;
  return { type: "response", status, headers, body };
}

/** Creates the outcome of a request that was refused or failed without a response. */
export function createRefusal(
  code: codes.ResultCode,
  ran: codes.Ran,
  options: { readonly detail?: string; readonly retryAfterMs?: number } = {},
): Outcome {
  return { type: "refusal", code: code.number, ran, ...options };
}

/** Returns the outcome to store: if it is too large or has no room, a refusal with `ran: yes`. */
export function createStoredOutcome(
  outcome: Outcome,
  hasRoom: (bytes: number) => boolean,
): Outcome {
  const bytes = estimateOutcomeBytes(outcome);
  if (bytes <= MAX_STORED_OUTCOME_BYTES && hasRoom(bytes)) return outcome;
  return createRefusal(codes.RESULT_CODES.resultNotKept, codes.RAN.yes);
}

/** Returns the approximate memory use of an outcome in bytes. */
export function estimateOutcomeBytes(outcome: Outcome): number {
  if (outcome.type === "refusal") return OUTCOME_OVERHEAD_BYTES;
  let bytes = OUTCOME_OVERHEAD_BYTES + outcome.body.byteLength;
  for (const [name, value] of Object.entries(outcome.headers)) {
    bytes += name.length + value.length;
  }
  return bytes;
}

/**
 * Returns the response of an outcome.
 *
 * @param createSession - creates the new session to return with a refusal that did not run.
 * @throws RequestError when the outcome is a refusal.
 */
export function getResponse(outcome: Outcome, createSession: () => string): upstream.PlainResponse {
  if (outcome.type === "response") {
    return { status: outcome.status, headers: outcome.headers, body: outcome.body };
  }
  const code = CODES_BY_NUMBER.get(outcome.code) ?? codes.RESULT_CODES.internalError;
  throw new codes.RequestError(code, outcome.ran, {
    detail: outcome.detail,
    retryAfterMs: outcome.retryAfterMs,
    session: outcome.ran === codes.RAN.no ? createSession() : undefined,
  });
}
