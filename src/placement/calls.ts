/** The calls between VMs by which model requests are placed. */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import type * as types from "./types.js";

const key = zod.string().min(1).max(200);
const runnerId = zod.string().min(1).max(200);
const tokens = zod.number().min(0);
const MAX_PROGRESS = 1_000;

const placeRequestSchema = zod.object({
  key,
  service: zod.string().max(200),
  subject: zod.string().max(200),
  promptTokens: tokens,
  estimatedOutputTokens: tokens,
  madeTokens: tokens,
  maxOutputTokens: tokens,
  targetMs: zod.number(),
  patienceMs: zod.number(),
  zone: zod.string().max(100),
  prefilledBy: runnerId.optional(),
  cachedBy: runnerId.optional(),
  excluded: zod.array(runnerId).max(16),
}) satisfies zod.ZodType<types.PlaceRequest>;

const placeItemSchema = zod.object({
  /** Absent in the first item of a request that has to wait. */
  answer: zod
    .union([
      zod.object({
        granted: zod.literal(true),
        place: zod.object({ prefillRunner: runnerId.optional(), decodeRunner: runnerId }),
      }),
      zod.object({ granted: zod.literal(false), retryAfterMs: zod.number() }),
    ])
    .optional(),
});

/** What the scheduler says of a request: that it waits, then what came of it. */
export type PlaceItem = zod.infer<typeof placeItemSchema>;

/** Asks a scheduler for a place. */
export const RESERVE_PLACE = network.createPeerCall(
  80,
  "reserve-place",
  placeRequestSchema,
  placeItemSchema,
);

/** Tells a scheduler what became of placed requests. */
export const TELL_PROGRESS = network.createPeerCall(
  81,
  "tell-progress",
  zod.object({
    service: zod.string().max(200),
    progress: zod
      .array(
        zod.object({
          key,
          prefillMs: zod.number().optional(),
          failedRunner: runnerId.optional(),
          ended: zod.boolean().optional(),
          outputTokens: zod.number().optional(),
          complete: zod.boolean().optional(),
          decodeMs: zod.number().optional(),
        }),
      )
      .max(MAX_PROGRESS),
    /** Requests that run, for a scheduler that did not place them. */
    running: zod
      .array(
        zod.object({
          key,
          decodeRunner: runnerId,
          promptTokens: tokens,
          estimatedOutputTokens: tokens,
          maxOutputTokens: tokens,
          runningMs: zod.number(),
        }),
      )
      .max(MAX_PROGRESS),
  }),
  zod.object({}),
);
