/**
 * Encodes sessions as text with a message authentication code (HMAC). Callers can decode the text,
 * which is not encrypted, but they cannot forge it.
 */
import * as crypto from "node:crypto";
import * as cbor from "cbor-x";
import * as zod from "zod";
import type * as types from "./types.js";

const MAC_BYTES = 16;
const MAX_SEALED_LENGTH = 1024;

const payloadSchema = zod.tuple([
  zod.string().min(1),
  zod.string().min(1),
  zod.string().min(1),
  zod.number(),
  zod.string().nullable(),
  zod.number().nullable(),
  zod.number(),
]);

const encoder = new cbor.Encoder({ useRecords: false });

/**
 * Encodes and authenticates a session with the fleet's first key.
 *
 * @returns base64url text without dots.
 * @throws Error if there is no fleet key.
 * @example const text = sealSession(session, settings.fleetKeys);
 */
export function sealSession(session: types.Session, fleetKeys: readonly string[]): string {
  const [key] = fleetKeys;
  if (key === undefined) throw new Error("sealing a session requires at least one fleet key");
  const payload = encoder.encode([
    session.nonce,
    session.caller,
    session.owner.vm,
    session.owner.incarnation,
    session.backup?.vm ?? null,
    session.backup?.incarnation ?? null,
    session.expiresAt,
  ]);
  return Buffer.concat([computeMac(key, payload), payload]).toString("base64url");
}

/**
 * Verifies and decodes a sealed session with any of the fleet's keys, which allows key rotation.
 *
 * @returns the session, or `undefined` when the text is malformed or no key matches.
 */
export function verifySession(
  text: string,
  fleetKeys: readonly string[],
): types.Session | undefined {
  if (text.length > MAX_SEALED_LENGTH) return undefined;
  const bytes = Buffer.from(text, "base64url");
  if (bytes.length <= MAC_BYTES || bytes.toString("base64url") !== text) return undefined;
  const mac = bytes.subarray(0, MAC_BYTES);
  const payload = bytes.subarray(MAC_BYTES);
  const matches = fleetKeys.some((key) => crypto.timingSafeEqual(computeMac(key, payload), mac));
  return matches ? decodeSession(payload) : undefined;
}

function computeMac(key: string, payload: Uint8Array): Buffer {
  return crypto.createHmac("sha256", key).update(payload).digest().subarray(0, MAC_BYTES);
}

function decodeSession(payload: Uint8Array): types.Session | undefined {
  const parsed = payloadSchema.safeParse(encoder.decode(payload));
  if (!parsed.success) return undefined;
  const [nonce, caller, ownerVm, ownerIncarnation, backupVm, backupIncarnation, expiresAt] =
    parsed.data;
  const hasBackup = backupVm !== null && backupIncarnation !== null;
  return {
    nonce,
    caller,
    owner: { vm: ownerVm, incarnation: ownerIncarnation },
    backup: hasBackup ? { vm: backupVm, incarnation: backupIncarnation } : undefined,
    expiresAt,
  };
}
