/** Messages between nodes, encoded as the CBOR list `[type, correlation, kind, fields]`. */
import * as cbor from "cbor-x";

/** Types of messages. */
export const MESSAGE_TYPE = {
  hello: 1,
  challenge: 2,
  proof: 3,
  welcome: 4,
  ping: 5,
  pong: 6,
  /** A call; answered by one `reply` or `error`. */
  call: 7,
  /** A streamed call; answered by `item`s and an `end` or `error`. */
  stream: 8,
  reply: 9,
  error: 10,
  item: 11,
  end: 12,
  /** The caller no longer waits for the reply. */
  cancel: 13,
  /** The reader of a stream has consumed as many items as `kind` says. */
  credit: 14,
} as const;

/** A message between nodes. */
export interface Message {
  readonly type: number;
  /** Number of the call on its connection; 0 in messages that belong to no call. */
  readonly correlation: number;
  /** Kind of the call; the number of items in `credit`; 0 in other messages. */
  readonly kind: number;
  readonly fields: unknown;
}

/** A frame that does not hold a valid message. */
export class MalformedMessageError extends Error {
  override readonly name = "MalformedMessageError";
}

const encoder = new cbor.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Encodes a message. */
export function encodeMessage(message: Message): Uint8Array {
  const { type, correlation, kind, fields } = message;
  return Uint8Array.from(encoder.encode([type, correlation, kind, fields]));
}

/**
 * Decodes a frame.
 *
 * @throws MalformedMessageError
 */
export function decodeMessage(frame: Uint8Array): Message {
  const list = decodeList(frame);
  const [type, correlation, kind, fields] = list;
  if (
    !isNonNegativeInteger(type) ||
    !isNonNegativeInteger(correlation) ||
    !isNonNegativeInteger(kind)
  ) {
    throw new MalformedMessageError("message header holds a value that is not a whole number");
  }
  return { type, correlation, kind, fields };
}

function decodeList(frame: Uint8Array): readonly unknown[] {
  let value: unknown;
  try {
    value = encoder.decode(frame);
  } catch (error) {
    const text = `frame of ${frame.byteLength} bytes is not valid CBOR`;
    throw new MalformedMessageError(text, { cause: error });
  }
  if (Array.isArray(value)) return value;
  throw new MalformedMessageError(`message is of type ${typeof value}, expected a list`);
}

function isNonNegativeInteger(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}
