/**
 * Mutual proof of identity at the start of a connection: both ends sign both identities and both
 * nonces with a key of the fleet, each under the label of its own side.
 */
import * as crypto from "node:crypto";
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import * as fields from "./field-codec.js";
import * as frames from "./frame-decoder.js";
import * as messages from "./message-codec.js";
import type * as network from "./network.js";

const PROTOCOL_VERSION = 1;
const NONCE_BYTES = 16;
const MAC_BYTES = 32;
/** How long the whole exchange may take. */
export const HANDSHAKE_LIMIT_MS = 2000;

const createBytesSchema = (size: number): zod.ZodType<Uint8Array> =>
  zod.instanceof(Uint8Array).refine((value) => value.byteLength === size);
const vm = zod.string().min(1).max(100);
const incarnation = zod.int().min(0);

const helloCodec = fields.createFieldCodec(
  zod.object({
    version: zod.literal(PROTOCOL_VERSION),
    vm,
    incarnation,
    nonce: createBytesSchema(NONCE_BYTES),
  }),
);
const challengeCodec = fields.createFieldCodec(
  zod.object({
    vm,
    incarnation,
    nonce: createBytesSchema(NONCE_BYTES),
    mac: createBytesSchema(MAC_BYTES),
  }),
);
const proofCodec = fields.createFieldCodec(zod.object({ mac: createBytesSchema(MAC_BYTES) }));
const welcomeCodec = fields.createFieldCodec(zod.object({}));

/** The peer did not prove that it belongs to the fleet. */
export class HandshakeError extends Error {
  override readonly name = "HandshakeError";
}

/** Returns whether an error shows a peer that breaks the protocol, not a broken connection. */
export function isRejection(error: unknown): boolean {
  return REJECTIONS.some((type) => error instanceof type);
}

const REJECTIONS = [
  HandshakeError,
  messages.MalformedMessageError,
  frames.FrameLengthError,
  zod.ZodError,
] as const;

/** What a node proves, and with what. */
export interface Credentials {
  readonly self: network.PeerIdentity;
  /** The first signs, all verify. */
  readonly keys: readonly string[];
  readonly clock: clocks.Clock;
}

/** One end of a connection during the handshake. */
export interface HandshakeChannel {
  readonly channel: network.FrameChannel;
  readonly frames: AsyncIterator<Uint8Array>;
}

interface Side {
  readonly identity: network.PeerIdentity;
  readonly nonce: Uint8Array;
}

interface Transcript {
  readonly dialer: Side;
  readonly acceptor: Side;
}

type Label = "dialer" | "acceptor";

/**
 * Proves both ends to each other, on the side that connected.
 *
 * @throws HandshakeError, MalformedMessageError, zod.ZodError, or what ended the connection.
 */
export async function runDialerHandshake(
  end: HandshakeChannel,
  credentials: Credentials,
): Promise<network.PeerIdentity> {
  const nonce = crypto.randomBytes(NONCE_BYTES);
  const dialer = { identity: credentials.self, nonce };
  const hello = { version: PROTOCOL_VERSION, ...credentials.self, nonce } as const;
  send(end, messages.MESSAGE_TYPE.hello, helloCodec.encode(hello));
  const challenge = challengeCodec.decode(
    await receive(end, messages.MESSAGE_TYPE.challenge, credentials.clock),
  );
  const peer = { vm: challenge.vm, incarnation: challenge.incarnation };
  const transcript = { dialer, acceptor: { identity: peer, nonce: challenge.nonce } };
  verifyMac(credentials.keys, "acceptor", transcript, challenge.mac);
  const mac = computeMac(getSigningKey(credentials), "dialer", transcript);
  send(end, messages.MESSAGE_TYPE.proof, proofCodec.encode({ mac }));
  welcomeCodec.decode(await receive(end, messages.MESSAGE_TYPE.welcome, credentials.clock));
  return peer;
}

/**
 * Proves both ends to each other, on the side that accepted.
 *
 * @throws HandshakeError, MalformedMessageError, zod.ZodError, or what ended the connection.
 */
export async function runAcceptorHandshake(
  end: HandshakeChannel,
  credentials: Credentials,
): Promise<network.PeerIdentity> {
  const hello = helloCodec.decode(
    await receive(end, messages.MESSAGE_TYPE.hello, credentials.clock),
  );
  const peer = { vm: hello.vm, incarnation: hello.incarnation };
  if (peer.vm === credentials.self.vm) throw new HandshakeError("peer claims the own VM");
  const nonce = crypto.randomBytes(NONCE_BYTES);
  const transcript = {
    dialer: { identity: peer, nonce: hello.nonce },
    acceptor: { identity: credentials.self, nonce },
  };
  const ownMac = computeMac(getSigningKey(credentials), "acceptor", transcript);
  const challenge = challengeCodec.encode({ ...credentials.self, nonce, mac: ownMac });
  send(end, messages.MESSAGE_TYPE.challenge, challenge);
  const proof = proofCodec.decode(
    await receive(end, messages.MESSAGE_TYPE.proof, credentials.clock),
  );
  verifyMac(credentials.keys, "dialer", transcript, proof.mac);
  send(end, messages.MESSAGE_TYPE.welcome, welcomeCodec.encode({}));
  return peer;
}

function send(end: HandshakeChannel, type: number, content: unknown): void {
  end.channel.send(messages.encodeMessage({ type, correlation: 0, kind: 0, fields: content }));
}

async function receive(end: HandshakeChannel, type: number, clock: clocks.Clock): Promise<unknown> {
  const cancelLimit = clock.schedule(HANDSHAKE_LIMIT_MS, () => {
    void end.channel[Symbol.asyncDispose]();
  });
  try {
    const next = await end.frames.next();
    if (next.done === true) throw new HandshakeError("connection ended during the handshake");
    const message = messages.decodeMessage(next.value);
    if (message.type === type) return message.fields;
    throw new HandshakeError(`message type ${message.type} where ${type} is due`);
  } finally {
    cancelLimit();
  }
}

function getSigningKey(credentials: Credentials): string {
  const key = credentials.keys[0];
  if (key === undefined) throw new HandshakeError("no fleet key is set");
  return key;
}

function verifyMac(
  keys: readonly string[],
  label: Label,
  transcript: Transcript,
  mac: Uint8Array,
): void {
  const isProved = keys.some((key) =>
    crypto.timingSafeEqual(computeMac(key, label, transcript), mac),
  );
  if (!isProved) throw new HandshakeError("proof does not match any fleet key");
}

function computeMac(key: string, label: Label, transcript: Transcript): Buffer {
  const hmac = crypto.createHmac("sha256", key);
  hmac.update(
    JSON.stringify([label, formatSide(transcript.dialer), formatSide(transcript.acceptor)]),
  );
  return hmac.digest();
}

function formatSide(side: Side): readonly unknown[] {
  return [side.identity.vm, side.identity.incarnation, Buffer.from(side.nonce).toString("hex")];
}
