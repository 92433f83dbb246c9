/** The final outcome of a non-idempotent request, as it is recorded, replayed and sent to peers. */
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

/** What became of a request: the upstream's response, or a refusal with what is known of the run. */
export type Outcome = zod.infer<typeof outcomeSchema>;

/** Largest outcome that is recorded whole. */
export const MAX_STORED_OUTCOME_BYTES = 256 * 1024;
const OVERHEAD_BYTES = 256;
const codesByNumber = new Map<number, codes.ResultCode>(
  Object.values(codes.RESULT_CODES).map((code) => [code.number, code]),
);

/** Creates the outcome of an upstream's response. */
export function createResponseOutcome(response: upstream.PlainResponse): Outcome {
  const { status, headers, body } = response;
  return { type: "response", status, headers, body };
}

/** Creates the outcome of a request that has no response. */
export function createRefusal(
  code: codes.ResultCode,
  ran: codes.Ran,
  options: { readonly detail?: string; readonly retryAfterMs?: number } = {},
): Outcome {
  return { type: "refusal", code: code.number, ran, ...options };
}

/** Returns what is kept of an outcome: a large response only as the fact that the request ran. */
export function createStoredOutcome(
  outcome: Outcome,
  hasRoom: (bytes: number) => boolean,
): Outcome {
  const bytes = estimateOutcomeBytes(outcome);
  if (bytes <= MAX_STORED_OUTCOME_BYTES && hasRoom(bytes)) return outcome;
  return createRefusal(codes.RESULT_CODES.resultNotKept, codes.RAN.yes);
}

/** Returns the memory that an outcome takes, in bytes. */
export function estimateOutcomeBytes(outcome: Outcome): number {
  if (outcome.type === "refusal") return OVERHEAD_BYTES;
  let bytes = OVERHEAD_BYTES + outcome.body.byteLength;
  for (const [name, value] of Object.entries(outcome.headers)) {
    bytes += name.length + value.length;
  }
  return bytes;
}

/**
 * Returns the response of an outcome.
 *
 * @param createSession - makes the fresh session that goes with a refusal that did not run.
 * @throws RequestError when the outcome is a refusal.
 */
export function getResponse(outcome: Outcome, createSession: () => string): upstream.PlainResponse {
  if (outcome.type === "response") {
    return { status: outcome.status, headers: outcome.headers, body: outcome.body };
  }
  const code = codesByNumber.get(outcome.code) ?? codes.RESULT_CODES.internalError;
  throw new codes.RequestError(code, outcome.ran, {
    detail: outcome.detail,
    retryAfterMs: outcome.retryAfterMs,
    session: outcome.ran === codes.RAN.no ? createSession() : undefined,
  });
}
