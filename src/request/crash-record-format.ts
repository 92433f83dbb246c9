/** Format of crash records in messages between nodes. */
import * as zod from "zod";

/** Limit on the upstreams that one record names. */
export const MAX_UPSTREAMS_PER_RECORD = 8;

/**
 * A crash record: the fingerprint, whether it is quarantined, and for each crashed upstream its name, the weight of
 * the evidence and its age in milliseconds.
 */
export const recordSchema = zod.tuple([
  zod.string().length(16),
  zod.boolean(),
  zod
    .array(zod.tuple([zod.string().max(100), zod.number().min(0).max(1), zod.number().min(0)]))
    .max(MAX_UPSTREAMS_PER_RECORD),
]);

/** A request that completed although it was suspected: its fingerprint, and the age of the success in milliseconds. */
export const successSchema = zod.tuple([zod.string().length(16), zod.number().min(0)]);

/** A success in a message. */
export type SentSuccess = zod.infer<typeof successSchema>;

/** A crash record in a message. */
export type SentRecord = zod.infer<typeof recordSchema>;
