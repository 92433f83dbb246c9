/** Hashes and checks credentials, and identifies callers by them. */
import * as crypto from "node:crypto";
import type * as documents from "./document.js";

type CallersByHash = ReadonlyMap<string, documents.Caller>;

/** Callers by credential hash, cached for each document in use. */
const callerIndexes = new WeakMap<documents.FleetDocument, CallersByHash>();

/**
 * Computes the hash of a credential as it is stored in a document.
 *
 * @example computeCredentialHash("demo-surveyors");
 */
export function computeCredentialHash(credential: string): string {
  return crypto.createHash("sha256").update(credential, "utf8").digest("hex");
}

/** Checks a credential or token against an expected SHA-256 in hex, in constant time. */
export function checkCredential(credential: string, expectedSha256: string): boolean {
  const given = Buffer.from(computeCredentialHash(credential), "hex");
  const expected = Buffer.from(expectedSha256, "hex");
  return given.length === expected.length && crypto.timingSafeEqual(given, expected);
}

/**
 * Finds the caller that owns a credential; `undefined` if there is none.
 *
 * Callers are looked up by hash, so the timing reveals nothing useful about other credentials.
 *
 * @example const caller = findCaller(document, parseBearer(request.headers.authorization) ?? "");
 */
export function findCaller(
  document: documents.FleetDocument,
  credential: string,
): documents.Caller | undefined {
  const caller = getCallerIndex(document).get(computeCredentialHash(credential));
  if (caller === undefined) return undefined;
  return checkCredential(credential, caller.credentialSha256) ? caller : undefined;
}

/** Parses `Bearer <credential>`; returns `undefined` for any other header. */
export function parseBearer(header: string | undefined): string | undefined {
  const match = /^bearer +([\x21-\x7e]+)$/i.exec(header ?? "");
  return match?.[1];
}

function getCallerIndex(document: documents.FleetDocument): CallersByHash {
  const existing = callerIndexes.get(document);
  if (existing !== undefined) return existing;
  const index = new Map(document.callers.map((caller) => [caller.credentialSha256, caller]));
  callerIndexes.set(document, index);
  return index;
}
