/** Peer calls for the placement of model requests. */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import * as types from "./types.js";

const key = zod.string().min(1).max(200);
const runnerId = zod.string().min(1).max(200);
const tokenCount = zod.number().min(0);
const MAX_PROGRESS_ITEMS = 1_000;

const placementRequestSchema = zod.object({
  key,
  service: zod.string().max(200),
  retryKey: zod.string().max(200),
  promptTokens: tokenCount,
  estimatedOutputTokens: tokenCount,
  generatedTokens: tokenCount,
  maxOutputTokens: tokenCount,
  targetMs: zod.number(),
  maxWaitMs: zod.number(),
  zone: zod.string().max(100),
  prefilledBy: runnerId.optional(),
  cachedBy: runnerId.optional(),
  excluded: zod.array(runnerId).max(types.MAX_EXCLUDED),
  skipsPrefill: zod.boolean().optional(),
  softwareVersion: zod.string().max(200).optional(),
  priority: zod.number().optional(),
  team: zod.object({ name: zod.string().max(200), weight: zod.number().min(0) }).optional(),
}) satisfies zod.ZodType<types.PlacementRequest>;

const placementStreamItemSchema = zod.object({
  /** Absent in the first item when the request is queued. */
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

/**
 * One item of a scheduler's response stream: an acknowledgement that the request is queued, or its
 * result.
 */
export type PlacementStreamItem = zod.infer<typeof placementStreamItemSchema>;

/** Requests a placement from a scheduler. */
export const RESERVE_PLACEMENT = network.createPeerCall(
  80,
  "reserve-place",
  placementRequestSchema,
  placementStreamItemSchema,
);

/** Reports the progress of placed requests to their scheduler. */
export const REPORT_PROGRESS = network.createPeerCall(
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
      .max(MAX_PROGRESS_ITEMS),
    /** Running requests, for a scheduler that did not place them itself. */
    running: zod
      .array(
        zod.object({
          key,
          decodeRunner: runnerId,
          promptTokens: tokenCount,
          estimatedOutputTokens: tokenCount,
          maxOutputTokens: tokenCount,
          runningMs: zod.number(),
        }),
      )
      .max(MAX_PROGRESS_ITEMS),
  }),
  zod.object({}),
);
