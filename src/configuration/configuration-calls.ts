/** The calls between nodes by which a document spreads. */
import * as zod from "zod";
import * as network from "../protocol/network.js";

/** Largest document, as canonical text. */
export const MAX_DOCUMENT_BYTES = 4 * 1_048_576;
/** Compressed bytes in one item of a pulled document. */
export const CHUNK_BYTES = 65_536;

const bytes: zod.ZodType<Uint8Array> = zod.instanceof(Uint8Array);
const digest = zod.string().regex(/^[0-9a-f]{64}$/);

/** Schema of what identifies a document. */
export const versionSchema = zod.object({
  revision: zod.int().min(1),
  digest,
});

/** Asks which document is in force at a peer; no version when there is none. */
export const READ_VERSION = network.createPeerCall(
  20,
  "read-configuration-version",
  zod.object({}),
  zod.object({ version: versionSchema.optional() }),
);

/** Tells peers which document came into force, so that they pull it without waiting for a probe. */
export const ANNOUNCE_VERSION = network.createPeerCall(
  21,
  "announce-configuration-version",
  versionSchema,
  zod.object({}),
);

/**
 * Pulls the document in force at a peer, in chunks. The peer sends a difference where it still
 * knows the document that the reader names as its base.
 */
export const PULL = network.createPeerCall(
  22,
  "pull-configuration",
  zod.object({ base: digest.optional() }),
  zod.object({ digest, isDifference: zod.boolean(), chunk: bytes }),
);
