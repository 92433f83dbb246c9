/** Peer messages of plain requests (kinds 40-54). */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import * as outcomes from "./outcome.js";

const headersSchema = zod.record(zod.string(), zod.string());

const forwardRequestSchema = zod.object({
  id: zod.string(),
  caller: zod.string(),
  service: zod.string(),
  method: zod.string(),
  path: zod.string(),
  headers: headersSchema,
  body: outcomes.bytesSchema,
  /** Time that remains until the caller's deadline. */
  deadlineMs: zod.number(),
});

/** A non-idempotent request forwarded to its owner. */
export type ForwardRequest = zod.infer<typeof forwardRequestSchema>;

/** Forwards a non-idempotent request; a reply without `outcome` means the peer is not its owner. */
export const FORWARD = network.createPeerCall(
  40,
  "forward",
  forwardRequestSchema,
  zod.object({ outcome: outcomes.outcomeSchema.optional() }),
);

/** Fields that identify a record at one incarnation of the backup. */
const recordRefFields = {
  key: zod.string(),
  expiresAt: zod.number(),
  /** Incarnation of the backup that the id names. */
  incarnation: zod.number(),
};

/** Replies of the backup to an intent. */
export const INTENT_REPLY = {
  accepted: "accepted",
  tombstoned: "tombstoned",
  exists: "exists",
  full: "full",
  expired: "expired",
  otherIncarnation: "other-incarnation",
} as const;

/** Asks the backup for permission to run a request. */
export const INTENT = network.createPeerCall(
  41,
  "intent",
  zod.object(recordRefFields),
  zod.object({ reply: zod.enum(INTENT_REPLY) }),
);

/** Stores the outcome of a request at the backup. */
export const RESULT = network.createPeerCall(
  42,
  "result",
  zod.object({ ...recordRefFields, outcome: outcomes.outcomeSchema }),
  zod.object({ recorded: zod.boolean() }),
);

/** Replies of the backup about a request whose owner cannot be reached. */
export const RESOLVE_REPLY = {
  result: "result",
  /** The owner was given permission to run and has stored no result. */
  intentOnly: "intent-only",
  /** The request did not run and never will. */
  tombstoned: "tombstoned",
  unknown: "unknown",
} as const;

/** Asks the backup for the outcome of a request; one without a record is given a tombstone. */
export const RESOLVE = network.createPeerCall(
  43,
  "resolve",
  zod.object(recordRefFields),
  zod.object({
    reply: zod.enum(RESOLVE_REPLY),
    outcome: outcomes.outcomeSchema.optional(),
  }),
);

/** Key of a record, expiry of its request id and incarnation of the backup. */
export type RecordRef = zod.infer<typeof INTENT.request>;
