/** Peer messages of requests that a VM hands over to another one (kinds 50 and 51). */
import * as zod from "zod";
import type * as gateway from "../gateway/types.js";
import * as network from "../protocol/network.js";
import * as outgoingCalls from "../protocol/outgoing-calls.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as outcome from "../request/outcome.js";

/** Size of the largest part of a body in one message. */
export const MAX_PART_BYTES = 8_192;
/** Bytes of one body that may be on their way between two VMs. */
export const MAX_BYTES_ON_WAY = outgoingCalls.STREAM_WINDOW_ITEMS * MAX_PART_BYTES;

const headersSchema = zod.array(zod.tuple([zod.string(), zod.string()]));

const promptSchema = zod.object({
  model: zod.string(),
  promptTokens: zod.number(),
  maxOutputTokens: zod.number(),
  expectedOutputTokens: zod.number().optional(),
  partIds: zod.array(zod.string()),
});

const headSchema = zod.object({
  id: zod.string(),
  method: zod.string(),
  target: zod.string(),
  path: zod.string(),
  host: zod.string(),
  headers: headersSchema,
  deadlineMs: zod.number().optional(),
  prompt: promptSchema.optional(),
  lastEventId: zod.string().optional(),
  firstAttemptId: zod.string().optional(),
});

const requestSchema = zod.object({
  /** Number of the offer at the sender, by which the receiver claims it. */
  offer: zod.int(),
  /** Version of the configuration at the sender. */
  version: zod.int(),
  head: headSchema,
  callerIp: zod.string(),
  /** Whether a VM has counted the request in its retry budget. */
  isCounted: zod.boolean(),
  traceHeaders: zod.record(zod.string(), zod.string()),
  /** Digest of the caller's key; absent without one, and from VMs of an earlier build. */
  keyDigest: zod.string().max(64).optional(),
});

/** A request that is offered to another VM. */
export type HandoverRequest = zod.infer<typeof requestSchema>;

/** Why a VM does not serve a request that it was offered. */
export const DECLINE_REASON = {
  /** It reaches no runner of the service itself. */
  noPath: "noPath",
  leaving: "leaving",
  notReady: "notReady",
  /** Its configuration is older than the sender's. */
  olderConfiguration: "olderConfiguration",
  /** It serves as many requests of other VMs as it may. */
  full: "full",
  /** The sender did not let it claim the request, or the body did not arrive. */
  notClaimed: "notClaimed",
} as const;

/** One of the values of `DECLINE_REASON`. */
export type DeclineReason = (typeof DECLINE_REASON)[keyof typeof DECLINE_REASON];

const itemSchema = zod.discriminatedUnion("type", [
  /** A whole answer. */
  zod.object({
    type: zod.literal("response"),
    status: zod.int(),
    headers: headersSchema,
    body: outcome.bytesSchema,
  }),
  /** The head of an answer; its body follows, and `end` after the last part. */
  zod.object({
    type: zod.literal("start"),
    status: zod.int(),
    headers: headersSchema,
    /** Length of the body, if it is known. */
    bodyBytes: zod.int().optional(),
  }),
  zod.object({ type: zod.literal("part"), bytes: outcome.bytesSchema }),
  zod.object({ type: zod.literal("end") }),
  zod.object({
    type: zod.literal("failure"),
    code: zod.int(),
    ran: zod.enum(resultCodes.RAN),
    detail: zod.string(),
    retryAfterMs: zod.number().optional(),
  }),
  /** Nothing of the request ran. */
  zod.object({
    type: zod.literal("declined"),
    reason: zod.string(),
    isCounted: zod.boolean(),
  }),
]);

/** A part of the answer to a request that was handed over. */
export type HandoverItem = zod.infer<typeof itemSchema>;

/** Offers a request to another VM, which claims it by `CLAIM` before it serves it, and streams the answer. */
export const HAND_OVER = network.createPeerCall(50, "hand-over", requestSchema, itemSchema);

/** Claims an offered request, at most once, and streams its body; a stream without items means that it may not run. */
export const CLAIM = network.createPeerCall(
  51,
  "claim",
  zod.object({ offer: zod.int() }),
  zod.object({
    /** Time that the request has waited so far. */
    waitedMs: zod.number(),
    /** Time that is left until the caller's deadline. */
    leftMs: zod.number(),
    bytes: outcome.bytesSchema,
    isLast: zod.boolean(),
  }),
);

/** A part of the body of a claimed request. */
export type ClaimItem = zod.infer<typeof CLAIM.reply>;

/** Returns headers in their wire format. */
export function formatHeaders(headers: gateway.HeaderList): [string, string][] {
  return headers.map(([name, value]) => [name, value]);
}

/** Returns the head of a request in its wire format. */
export function formatHead(head: gateway.CallHead): HandoverRequest["head"] {
  const { headers, prompt, ...fields } = head;
  return {
    ...fields,
    headers: formatHeaders(headers),
    prompt: prompt === undefined ? undefined : { ...prompt, partIds: [...prompt.partIds] },
  };
}

/** Returns the head of a request that another VM has parsed. */
export function createHead(message: HandoverRequest["head"]): gateway.CallHead {
  const { deadlineMs, prompt, lastEventId, firstAttemptId, ...fields } = message;
  const expectedOutputTokens = prompt?.expectedOutputTokens;
  return {
    ...fields,
    deadlineMs,
    prompt: prompt === undefined ? undefined : { ...prompt, expectedOutputTokens },
    lastEventId,
    firstAttemptId,
  };
}

/** Yields a body in parts; an empty body is one empty part. */
export function* listParts(body: Uint8Array): Generator<Uint8Array, undefined> {
  for (let start = 0; start === 0 || start < body.byteLength; start += MAX_PART_BYTES)
    yield body.subarray(start, start + MAX_PART_BYTES);
}

/** Returns received bytes as a buffer, without copying them. */
export function createBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
