/** Digests of keys. Only digests are kept, sent to other VMs and compared, so that no key can leak from them. */
import * as crypto from "node:crypto";

/** Returns the digest of a key, by which its team is found. Lookups of digests tell nothing about keys by their duration. */
export function computeKeyDigest(key: string): string {
  return crypto.createHash("sha256").update(key).digest("base64url");
}
