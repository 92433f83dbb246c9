/** Shapes of what engines answer; an engine's answers are checked before they are used. */
import * as zod from "zod";
import * as types from "./types.js";

const attemptId = { id: zod.string(), attempt: zod.int() };
const count = zod.int().min(0);

/** Answer to a prefill. */
export const prefillResultSchema = zod.object({
  handle: zod.string(),
  promptTokens: count,
  cachedTokens: count,
  pieces: count,
  expiresInMs: zod.number(),
}) satisfies zod.ZodType<types.PrefillResult>;

/** One event of a decode stream. */
export const decodeEventSchema = zod.discriminatedUnion("type", [
  zod.object({ ...attemptId, type: zod.literal("imported") }),
  zod.object({ ...attemptId, type: zod.literal("token"), offset: count, text: zod.string() }),
  zod.object({
    ...attemptId,
    type: zod.literal("end"),
    tokens: count,
    finishReason: zod.enum(types.FINISH_REASON),
  }),
]) satisfies zod.ZodType<types.DecodeEvent>;

/** Load report. */
export const runnerLoadSchema = zod.object({
  slotsUsed: count,
  slotsTotal: count,
  piecesUsed: count,
  piecesTotal: count,
  queuedPrefillTokens: count,
  model: zod.string(),
  adapters: zod.array(zod.string()),
  version: zod.string(),
  role: zod.enum(["prefill", "decode"]),
  fencing: count,
  ageMs: zod.number(),
  held: zod.array(zod.object(attemptId)),
}) satisfies zod.ZodType<types.RunnerLoad>;

/** Published cache events. */
export const cacheEventsSchema = zod.object({
  events: zod.array(
    zod.object({
      number: count,
      type: zod.enum(["stored", "evicted"]),
      prefix: zod.string(),
    }),
  ),
});

/** How an engine says that it did not do something, as a body or as an `error` event. */
export const engineErrorSchema = zod.object({
  error: zod.object({
    status: zod.int(),
    message: zod.string(),
    /** Whether the request had begun to run. */
    ran: zod.boolean(),
  }),
});

/** Answer to a prefill whose headers were sent before its outcome was known. */
export const prefillResponseSchema = zod.union([engineErrorSchema, prefillResultSchema]);
