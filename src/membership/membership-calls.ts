/** The calls between nodes by which membership works. */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import * as records from "./member-record.js";
import * as table from "./member-table.js";
import * as updateQueue from "./update-queue.js";

/** Topics that travel in one probe at most. */
export const MAX_TOPICS = 16;

const topics = zod
  .array(zod.object({ topic: zod.string().max(32), payload: zod.unknown() }))
  .max(MAX_TOPICS);
const updates = zod.array(records.recordSchema).max(updateQueue.MAX_UPDATES + 1);
const members = zod.array(records.recordSchema).max(table.MAX_MEMBERS);

/** What both a probe and its acknowledgement tell. */
export const gossipSchema = zod.object({
  updates,
  topics,
  /** Hash of the sender's view. */
  digest: zod.int().min(0),
});

/** What a probe tells. */
export type Gossip = zod.infer<typeof gossipSchema>;

/** Asks a node for a sign of life and exchanges news. */
export const PROBE = network.createPeerCall(
  1,
  "probe",
  gossipSchema,
  zod.object({
    gossip: gossipSchema,
    /** Whether the prober is not known there, and should send all it knows. */
    isUnknown: zod.boolean(),
  }),
);

/** Asks a node to probe another one. */
export const PROBE_THROUGH = network.createPeerCall(
  2,
  "probe-through",
  zod.object({ vm: zod.string().max(100) }),
  zod.object({ isReached: zod.boolean() }),
);

/** Tells news at once. */
export const ANNOUNCE = network.createPeerCall(
  3,
  "announce",
  zod.object({ updates }),
  zod.object({}),
);

/** Exchanges all that both nodes know. */
export const SYNC = network.createPeerCall(
  4,
  "sync",
  zod.object({ members }),
  zod.object({ members }),
);
