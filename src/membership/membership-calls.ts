/** Peer calls of the membership protocol. */
import * as zod from "zod";
import * as network from "../protocol/network.js";
import * as records from "./member-record.js";
import * as table from "./member-table.js";
import * as updateQueue from "./update-queue.js";

/** Largest number of gossip topics in one probe; each carries the payload of another module. */
export const MAX_TOPICS = 16;

const topics = zod
  .array(zod.object({ topic: zod.string().max(32), payload: zod.unknown() }))
  .max(MAX_TOPICS);
/** One record more than the queue yields: an accusation of the receiver, which it can then refute. */
const updates = zod.array(records.recordSchema).max(updateQueue.MAX_UPDATES + 1);
const members = zod.array(records.recordSchema).max(table.MAX_MEMBERS);

/** Schema of the gossip in a probe and in its acknowledgement. */
export const gossipSchema = zod.object({
  updates,
  topics,
  /** Hash of the sender's member table. */
  digest: zod.int().min(0),
});

/** The gossip in a probe or its acknowledgement. */
export type Gossip = zod.infer<typeof gossipSchema>;

const probeReplySchema = zod.object({
  gossip: gossipSchema,
  /**
   * Whether this incarnation of the prober is unknown to the probed node; the prober then starts a
   * full sync.
   */
  isUnknown: zod.boolean(),
});

/** The acknowledgement of a probe. */
export type ProbeReply = zod.infer<typeof probeReplySchema>;

/** Checks that a node is alive and exchanges gossip. */
export const PROBE = network.createPeerCall(1, "probe", gossipSchema, probeReplySchema);

/** Asks a node to probe another one (an indirect probe). */
export const INDIRECT_PROBE = network.createPeerCall(
  2,
  "probe-through",
  zod.object({ vm: zod.string().max(100) }),
  zod.object({ isReached: zod.boolean() }),
);

/** Sends updates immediately, without waiting for a probe. */
export const ANNOUNCE = network.createPeerCall(
  3,
  "announce",
  zod.object({ updates }),
  zod.object({}),
);

/** Exchanges the full member tables of two nodes. */
export const SYNC = network.createPeerCall(
  4,
  "sync",
  zod.object({ members }),
  zod.object({ members }),
);
