/** Schemas that validate engine responses. */
import * as zod from "zod";
import * as types from "./types.js";

const attemptIdFields = { id: zod.string(), attempt: zod.int() };
const nonNegativeInteger = zod.int().min(0);

/** Result of a prefill. */
export const prefillResultSchema = zod.object({
  handle: zod.string(),
  promptTokens: nonNegativeInteger,
  cachedTokens: nonNegativeInteger,
  pieces: nonNegativeInteger,
  expiresInMs: zod.number(),
}) satisfies zod.ZodType<types.PrefillResult>;

/** One event of a decode stream. */
export const decodeEventSchema = zod.discriminatedUnion("type", [
  zod.object({ ...attemptIdFields, type: zod.literal("imported") }),
  zod.object({
    ...attemptIdFields,
    type: zod.literal("token"),
    offset: nonNegativeInteger,
    text: zod.string(),
  }),
  zod.object({
    ...attemptIdFields,
    type: zod.literal("end"),
    tokens: nonNegativeInteger,
    finishReason: zod.enum(types.FINISH_REASON),
  }),
]) satisfies zod.ZodType<types.DecodeEvent>;

/** Load report of a runner. */
export const runnerLoadSchema = zod.object({
  slotsUsed: nonNegativeInteger,
  slotsTotal: nonNegativeInteger,
  piecesUsed: nonNegativeInteger,
  piecesTotal: nonNegativeInteger,
  queuedPrefillTokens: nonNegativeInteger,
  model: zod.string(),
  adapters: zod.array(zod.string()),
  version: zod.string(),
  role: zod.enum(["prefill", "decode"]),
  fencing: nonNegativeInteger,
  ageMs: zod.number(),
  held: zod.array(zod.object(attemptIdFields)),
}) satisfies zod.ZodType<types.RunnerLoad>;

/** Response with the cache events of a runner. */
export const cacheEventsSchema = zod.object({
  events: zod.array(
    zod.object({
      number: nonNegativeInteger,
      type: zod.enum(["stored", "evicted"]),
      prefix: zod.string(),
    }),
  ),
});

/** An engine's error, sent as a response body or as an `error` event. */
export const engineErrorSchema = zod.object({
  error: zod.object({
    status: zod.int(),
    message: zod.string(),
    /** Whether the request had started to run. */
    ran: zod.boolean(),
  }),
});

/** Response to a prefill; headers precede the outcome, so an error can follow status 200. */
export const prefillResponseSchema = zod.union([engineErrorSchema, prefillResultSchema]);
