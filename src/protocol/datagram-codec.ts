/**
 * Wire format of datagrams between nodes: the CBOR list `[version, type, from, incarnation, to, sequence, kind, fields]`
 * followed by a truncated HMAC-SHA-256 with a fleet key. The receiver's name is part of what is authenticated, so a datagram
 * cannot be delivered to another node.
 */
import * as crypto from "node:crypto";
import * as cbor from "cbor-x";
import * as zod from "zod";
import type * as network from "./network.js";

/** Largest datagram, so that it fits one packet on any usual link. */
export const MAX_DATAGRAM_BYTES = 1_200;
const MAC_BYTES = 16;
const VERSION = 1;

/** Types of datagrams. */
export const DATAGRAM_TYPE = {
  request: 1,
  reply: 2,
  /** The request was not handled as a datagram, because its kind is unknown or its reply too large. */
  declined: 3,
} as const;

/** A datagram between nodes. */
export interface Datagram {
  readonly type: number;
  readonly from: network.PeerIdentity;
  /** VM of the receiver, or a seed name. */
  readonly to: string;
  /** Increases with each request of the sender; a reply has that of its request. */
  readonly sequence: number;
  readonly kind: number;
  readonly fields: unknown;
}

/** Received bytes that are not a valid datagram of the fleet. */
export class InvalidDatagramError extends Error {
  override readonly name = "InvalidDatagramError";
}

/** A datagram that exceeds `MAX_DATAGRAM_BYTES`; it has to be sent over a connection. */
export class DatagramTooLargeError extends Error {
  override readonly name = "DatagramTooLargeError";
}

const encoder = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

const headerSchema = zod.tuple([
  zod.literal(VERSION),
  zod.union([
    zod.literal(DATAGRAM_TYPE.request),
    zod.literal(DATAGRAM_TYPE.reply),
    zod.literal(DATAGRAM_TYPE.declined),
  ]),
  zod.string().min(1).max(100),
  zod.int().min(0),
  zod.string().min(1).max(100),
  zod.int().min(1),
  zod.int().min(0),
]);
const HEADER_LENGTH = 7;

/**
 * Encodes and authenticates a datagram with the first of the fleet keys.
 *
 * @throws DatagramTooLargeError
 */
export function encodeDatagram(datagram: Datagram, keys: readonly string[]): Uint8Array {
  const { type, from, to, sequence, kind, fields } = datagram;
  const list = [VERSION, type, from.vm, from.incarnation, to, sequence, kind, fields];
  const content = encoder.encode(list);
  const size = content.byteLength + MAC_BYTES;
  if (size > MAX_DATAGRAM_BYTES)
    throw new DatagramTooLargeError(`datagram of kind ${kind} has ${size} bytes`);
  return Buffer.concat([content, computeMac(content, keys[0] ?? "")]);
}

/**
 * Verifies and decodes a datagram; each of the fleet keys is accepted.
 *
 * @throws InvalidDatagramError
 */
export function decodeDatagram(bytes: Uint8Array, keys: readonly string[]): Datagram {
  if (bytes.byteLength <= MAC_BYTES || bytes.byteLength > MAX_DATAGRAM_BYTES)
    throw new InvalidDatagramError(`datagram has ${bytes.byteLength} bytes`);
  const content = bytes.subarray(0, -MAC_BYTES);
  const mac = bytes.subarray(-MAC_BYTES);
  const isAuthentic = keys.some((key) => crypto.timingSafeEqual(computeMac(content, key), mac));
  if (!isAuthentic) throw new InvalidDatagramError("MAC matches none of the fleet keys");
  const list = decodeList(content);
  const header = headerSchema.safeParse(list.slice(0, HEADER_LENGTH));
  if (!header.success) throw new InvalidDatagramError("datagram header is not valid");
  const [, type, vm, incarnation, to, sequence, kind] = header.data;
  const fields = list[HEADER_LENGTH];
  return { type, from: { vm, incarnation }, to, sequence, kind, fields };
}

function decodeList(content: Uint8Array): readonly unknown[] {
  try {
    const value: unknown = encoder.decode(content);
    if (Array.isArray(value)) return value;
  } catch (error) {
    throw new InvalidDatagramError("datagram is not valid CBOR", { cause: error });
  }
  throw new InvalidDatagramError("datagram is not a list");
}

function computeMac(content: Uint8Array, key: string): Buffer {
  return crypto.createHmac("sha256", key).update(content).digest().subarray(0, MAC_BYTES);
}
