/** Documents on their way between nodes: deflated, as a difference where the reader has a base. */
import * as zlib from "node:zlib";
import * as zod from "zod";
import * as calls from "./configuration-calls.js";
import * as digests from "./document-digest.js";
import * as textDifference from "./text-difference.js";

/** Packed documents kept, one for each base. */
const MAX_PACKED = 8;

const hunksSchema = zod.array(
  zod.object({ from: zod.int().min(0), count: zod.int().min(0), text: zod.string() }),
);

/** A document that one node knows. */
export interface DocumentText {
  readonly digest: string;
  readonly text: string;
}

/** A document as it travels. */
export interface PackedDocument {
  /** Digest of the document that comes out. */
  readonly digest: string;
  /** Whether it can be unpacked only with the base. */
  readonly isDifference: boolean;
  readonly bytes: Uint8Array;
}

/** Packs documents, each once for each base. */
export class DocumentPacker {
  readonly #packed = new Map<string, PackedDocument>();

  /** Packs `document`, as a difference to `base` where there is one. */
  encode(document: DocumentText, base: DocumentText | undefined): PackedDocument {
    const key = `${document.digest}/${base?.digest ?? ""}`;
    const known = this.#packed.get(key);
    if (known !== undefined) return known;
    const packed = createPacked(document, base);
    this.#packed.set(key, packed);
    const oldest = this.#packed.keys().next().value;
    if (this.#packed.size > MAX_PACKED && oldest !== undefined) this.#packed.delete(oldest);
    return packed;
  }
}

/**
 * Returns the text of a packed document.
 *
 * @throws when it is too large, malformed, or not what its digest says.
 */
export function decodeDocument(packed: PackedDocument, base: DocumentText | undefined): string {
  const limits = { maxOutputLength: calls.MAX_DOCUMENT_BYTES };
  const inflated = zlib.inflateRawSync(packed.bytes, limits).toString("utf8");
  const text = packed.isDifference ? applyHunks(inflated, base) : inflated;
  if (digests.computeDigest(text) === packed.digest) return text;
  throw new Error("document does not match its digest");
}

function createPacked(document: DocumentText, base: DocumentText | undefined): PackedDocument {
  const { digest, text } = document;
  const isDifference = base !== undefined;
  const content = isDifference
    ? JSON.stringify(textDifference.computeDifference(base.text, text))
    : text;
  return { digest, isDifference, bytes: zlib.deflateRawSync(content) };
}

function applyHunks(inflated: string, base: DocumentText | undefined): string {
  if (base === undefined) throw new Error("difference without a base");
  const hunks = hunksSchema.parse(JSON.parse(inflated));
  return textDifference.applyDifference(base.text, hunks);
}
