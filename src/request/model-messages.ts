/** Peer messages of model requests (kinds 55-59). */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import * as codes from "../protocol/result-codes.js";

const nodeRefSchema = zod.object({ vm: zod.string(), incarnation: zod.number() });

const claimRequestSchema = zod.object({
  id: zod.string(),
  attempt: zod.int(),
  /** Node that asks to run the request. */
  claimant: nodeRefSchema,
  /** Holder that the claimant found gone or unresponsive, and whose claim it replaces. */
  replaces: nodeRefSchema.optional(),
  /** Wall-clock time after which the claim may be removed. */
  expiresAt: zod.number(),
});

/** A claim to run a model request; the first claimant becomes its holder. */
export type ClaimRequest = zod.infer<typeof claimRequestSchema>;

/** Claims a model request at its owner or backup. The reply names the holder. */
export const MODEL_CLAIM = network.createPeerCall(
  55,
  "model-claim",
  claimRequestSchema,
  zod.object({ holder: nodeRefSchema.optional() }),
);

const attachRequestSchema = zod.object({ id: zod.string(), attempt: zod.int(), offset: zod.int() });

const modelEventSchema = zod.union([
  zod.object({ type: zod.literal("token"), offset: zod.int(), text: zod.string() }),
  zod.object({
    type: zod.literal("end"),
    finishReason: zod.enum(["stop", "length", "cancelled"]),
    promptTokens: zod.int(),
    cachedTokens: zod.int(),
    completionTokens: zod.int(),
  }),
]);

const refusalSchema = zod.object({
  code: zod.int(),
  ran: zod.enum(["no", "yes", "unknown"]),
  retryAfterMs: zod.number().optional(),
});

const attachItemSchema = zod.object({
  event: modelEventSchema.optional(),
  refusal: refusalSchema.optional(),
});

/** An event of the run, or the refusal that ended it. */
export type AttachItem = zod.infer<typeof attachItemSchema>;

/** Streams the events of a run at the peer, starting from a token offset. */
export const MODEL_ATTACH = network.createPeerCall(
  56,
  "model-attach",
  attachRequestSchema,
  attachItemSchema,
);

/** Formats a refusal as an item for the reader at another node. */
export function formatRefusalItem(error: codes.RequestError): AttachItem {
  const { code, ran, retryAfterMs } = error;
  return { refusal: { code: code.number, ran, retryAfterMs } };
}

/** Returns the event of an item. @throws RequestError when the item carries a refusal */
export function parseAttachItem(item: AttachItem): zod.infer<typeof modelEventSchema> | undefined {
  if (item.refusal === undefined) return item.event;
  const { code, ran, retryAfterMs } = item.refusal;
  throw new codes.RequestError(codes.findResultCode(code), ran, { retryAfterMs });
}

/** Notifies a node that a newer attempt runs elsewhere, so that it cancels its own. */
export const MODEL_SUPERSEDE = network.createPeerCall(
  57,
  "model-supersede",
  zod.object({ id: zod.string(), attempt: zod.int() }),
  zod.object({ cancelled: zod.boolean() }),
);
