/** Identifies callers by the credential they present. */
import * as crypto from "node:crypto";
import type * as documents from "./document.js";

type CallersByHash = ReadonlyMap<string, documents.Caller>;

/** Callers of each document in use, by the hash of their credential. */
const indexes = new WeakMap<documents.FleetDocument, CallersByHash>();

/**
 * Computes the hash of a credential as a document holds it.
 *
 * @example computeCredentialHash("demo-surveyors");
 */
export function computeCredentialHash(credential: string): string {
  return crypto.createHash("sha256").update(credential, "utf8").digest("hex");
}

/** Checks a credential or token against the expected one's SHA-256 in hex, in constant time. */
export function checkCredential(credential: string, expectedSha256: string): boolean {
  const given = Buffer.from(computeCredentialHash(credential), "hex");
  const expected = Buffer.from(expectedSha256, "hex");
  return given.length === expected.length && crypto.timingSafeEqual(given, expected);
}

/**
 * Finds the caller that owns a credential.
 *
 * Callers are looked up by hash, so the time taken tells nothing useful about other credentials.
 *
 * @example const caller = findCaller(document, parseBearer(request.headers.authorization) ?? "");
 */
export function findCaller(
  document: documents.FleetDocument,
  credential: string,
): documents.Caller | undefined {
  const caller = useIndex(document).get(computeCredentialHash(credential));
  if (caller === undefined) return undefined;
  return checkCredential(credential, caller.credentialSha256) ? caller : undefined;
}

/** Parses `Bearer <credential>`; returns `undefined` for any other header. */
export function parseBearer(header: string | undefined): string | undefined {
  const match = /^bearer +([\x21-\x7e]+)$/i.exec(header ?? "");
  return match?.[1];
}

function useIndex(document: documents.FleetDocument): CallersByHash {
  const existing = indexes.get(document);
  if (existing !== undefined) return existing;
  const index = new Map(document.callers.map((caller) => [caller.credentialSha256, caller]));
  indexes.set(document, index);
  return index;
}
