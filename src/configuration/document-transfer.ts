/** Encoding of documents for transfer: compressed, and as a delta if the receiver has a base. */
import * as zlib from "node:zlib";
import * as zod from "zod";
import * as calls from "./configuration-calls.js";
import * as digests from "./document-digest.js";
import * as textDelta from "./text-delta.js";

/** Maximum number of cached encoded documents, one for each pair of document and base. */
const MAX_CACHED_DOCUMENTS = 8;

const hunksSchema = zod.array(
  zod.object({ from: zod.int().min(0), count: zod.int().min(0), text: zod.string() }),
);

/** The canonical text of a document and its digest. */
export interface DocumentText {
  readonly digest: string;
  readonly text: string;
}

/** A document as it is transferred. */
export interface EncodedDocument {
  /** Digest of the decoded document. */
  readonly digest: string;
  /** Whether decoding requires the base. */
  readonly isDelta: boolean;
  readonly bytes: Uint8Array;
}

/** Encodes documents and caches the result for each pair of document and base. */
export class DocumentEncoder {
  readonly #cache = new Map<string, EncodedDocument>();

  /** Encodes `document`, as a delta to `base` if there is one. */
  encode(document: DocumentText, base: DocumentText | undefined): EncodedDocument {
    const key = `${document.digest}/${base?.digest ?? ""}`;
    const cached = this.#cache.get(key);
    if (cached !== undefined) return cached;
    const encoded = encodeDocument(document, base);
    this.#cache.set(key, encoded);
    const oldest = this.#cache.keys().next().value;
    if (this.#cache.size > MAX_CACHED_DOCUMENTS && oldest !== undefined) this.#cache.delete(oldest);
    return encoded;
  }
}

/**
 * Returns the text of an encoded document.
 *
 * @throws when it is too large or malformed, does not match its digest, or is a delta without a base.
 */
export function decodeDocument(encoded: EncodedDocument, base: DocumentText | undefined): string {
  const limits = { maxOutputLength: calls.MAX_DOCUMENT_BYTES };
  const inflated = zlib.inflateRawSync(encoded.bytes, limits).toString("utf8");
  const text = encoded.isDelta ? applyHunks(inflated, base) : inflated;
  const digest = digests.computeDigest(text);
  if (digest === encoded.digest) return text;
  throw new Error(`document has digest ${digest}, expected ${encoded.digest}`);
}

function encodeDocument(document: DocumentText, base: DocumentText | undefined): EncodedDocument {
  const { digest, text } = document;
  const isDelta = base !== undefined;
  const content = isDelta ? JSON.stringify(textDelta.computeDelta(base.text, text)) : text;
  return { digest, isDelta, bytes: zlib.deflateRawSync(content) };
}

function applyHunks(inflated: string, base: DocumentText | undefined): string {
  if (base === undefined) throw new Error("delta received, but its base document is unknown");
  const hunks = hunksSchema.parse(JSON.parse(inflated));
  return textDelta.applyDelta(base.text, hunks);
}
