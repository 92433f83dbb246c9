/** Peer calls that replicate the configuration document. */
import * as zod from "zod";
import * as network from "../protocol/network.js";

/** Largest document, in bytes of its canonical text. */
export const MAX_DOCUMENT_BYTES = 4 * 1_048_576;
/** Compressed bytes per item of a pulled document. */
export const CHUNK_BYTES = 65_536;

const bytes: zod.ZodType<Uint8Array> = zod.instanceof(Uint8Array);
const digest = zod.string().regex(/^[0-9a-f]{64}$/);

/** Schema of the version of a document. */
export const versionSchema = zod.object({
  revision: zod.int().min(1),
  digest,
});

/** Reads the version of the document that is active at a peer, if it has one. */
export const READ_VERSION = network.createPeerCall(
  20,
  "read-configuration-version",
  zod.object({}),
  zod.object({ version: versionSchema.optional() }),
);

/** Announces a newly active document, so that peers pull it without waiting for a probe. */
export const ANNOUNCE_VERSION = network.createPeerCall(
  21,
  "announce-configuration-version",
  versionSchema,
  zod.object({}),
);

/**
 * Pulls the document that is active at a peer, in chunks. The peer sends a delta if it still has
 * the document that the request names as its base.
 */
export const PULL = network.createPeerCall(
  22,
  "pull-configuration",
  zod.object({ base: digest.optional() }),
  zod.object({ digest, isDelta: zod.boolean(), chunk: bytes }),
);
