/** Calls between nodes about plain requests. Kinds 40-54. */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import * as outcomes from "./outcome.js";

const headers = zod.record(zod.string(), zod.string());

const forwardRequest = zod.object({
  id: zod.string(),
  caller: zod.string(),
  service: zod.string(),
  method: zod.string(),
  path: zod.string(),
  headers,
  body: outcomes.bytesSchema,
  /** Time left of the caller's deadline. */
  deadlineMs: zod.number(),
});

/** A non-idempotent request handed to its owner. */
export type ForwardRequest = zod.infer<typeof forwardRequest>;

/** Hands a non-idempotent request to its owner; without `outcome` the receiver is not the owner. */
export const FORWARD = network.createPeerCall(
  40,
  "forward",
  forwardRequest,
  zod.object({ outcome: outcomes.outcomeSchema.optional() }),
);

/** Identifies a record at one incarnation of a backup. */
const recordRef = {
  key: zod.string(),
  expiresAt: zod.number(),
  /** Incarnation of the backup that the id names. */
  incarnation: zod.number(),
};

/** What the backup answers to an intent. */
export const INTENT_REPLY = {
  accepted: "accepted",
  tombstoned: "tombstoned",
  exists: "exists",
  full: "full",
  expired: "expired",
  otherIncarnation: "other-incarnation",
} as const;

/** Asks the backup for leave to run a request. */
export const INTENT = network.createPeerCall(
  41,
  "intent",
  zod.object(recordRef),
  zod.object({ reply: zod.enum(INTENT_REPLY) }),
);

/** Leaves the outcome of a request at the backup. */
export const RESULT = network.createPeerCall(
  42,
  "result",
  zod.object({ ...recordRef, outcome: outcomes.outcomeSchema }),
  zod.object({ recorded: zod.boolean() }),
);

/** What the backup knows of a request whose owner cannot be asked. */
export const RESOLVE_REPLY = {
  result: "result",
  /** The owner was given leave and has left no result. */
  intentOnly: "intent-only",
  /** The request did not run and never will. */
  tombstoned: "tombstoned",
  unknown: "unknown",
} as const;

/** Asks the backup what became of a request; an unknown one is given a tombstone. */
export const RESOLVE = network.createPeerCall(
  43,
  "resolve",
  zod.object(recordRef),
  zod.object({
    reply: zod.enum(RESOLVE_REPLY),
    outcome: outcomes.outcomeSchema.optional(),
  }),
);

/** A record's key, its id's expiry and the backup's incarnation. */
export type RecordRef = zod.infer<typeof INTENT.request>;
