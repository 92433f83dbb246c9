/** Versions of documents, ordered by revision and then by digest. */
import * as crypto from "node:crypto";

/** Version of a document, which identifies it and defines its order. */
export interface DocumentVersion {
  readonly revision: number;
  /** SHA-256 of the canonical document, in hex. */
  readonly digest: string;
}

/** Compares two versions; positive when `first` is newer. */
export function compareVersions(first: DocumentVersion, second: DocumentVersion): number {
  if (first.revision !== second.revision) return first.revision - second.revision;
  if (first.digest === second.digest) return 0;
  return first.digest > second.digest ? 1 : -1;
}

/** Whether `first` is newer than `second`, or `second` is undefined. */
export function isNewer(first: DocumentVersion, second: DocumentVersion | undefined): boolean {
  return second === undefined || compareVersions(first, second) > 0;
}

/**
 * Formats a JSON value with sorted object keys, so that equal documents have equal text.
 *
 * @example formatCanonical({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 */
export function formatCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    const isRecord = typeof inner === "object" && inner !== null && !Array.isArray(inner);
    if (!isRecord) return inner;
    const entries = Object.entries(inner);
    return Object.fromEntries(entries.sort(([first], [second]) => (first < second ? -1 : 1)));
  });
}

/** Returns the SHA-256 digest of a canonical text, in hex. */
export function computeDigest(canonicalText: string): string {
  return crypto.createHash("sha256").update(canonicalText).digest("hex");
}
