/**
 * Mutual authentication at the start of a connection. Each end computes an HMAC with a fleet key
 * over both identities and both nonces, and over the label of its role, so that a MAC of one role
 * cannot be replayed in the other.
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
/** Time limit for each message of the handshake. */
export const HANDSHAKE_TIMEOUT_MS = 2000;

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
    /** Whether the acceptor keeps a connection open that is silent while no call is pending on it. */
    acceptsIdle: zod.boolean().optional(),
  }),
);
const proofCodec = fields.createFieldCodec(zod.object({ mac: createBytesSchema(MAC_BYTES) }));
const welcomeCodec = fields.createFieldCodec(zod.object({}));

/** The peer failed to authenticate as a member of the fleet. */
export class HandshakeError extends Error {
  override readonly name = "HandshakeError";
}

/** Whether an error shows that the peer violated the protocol, not that the connection broke. */
export function isProtocolError(error: unknown): boolean {
  return PROTOCOL_ERRORS.some((type) => error instanceof type);
}

const PROTOCOL_ERRORS = [
  HandshakeError,
  messages.MalformedMessageError,
  frames.FrameLengthError,
  zod.ZodError,
] as const;

/** Identity of the local node and the fleet keys. */
export interface Credentials {
  readonly self: network.PeerIdentity;
  /** The first key signs; each of them is accepted in verification, so that keys can be rotated. */
  readonly keys: readonly string[];
  readonly clock: clocks.Clock;
}

/** One end of a connection during the handshake. */
export interface HandshakeEndpoint {
  readonly channel: network.FrameChannel;
  readonly frames: AsyncIterator<Uint8Array>;
}

/** What the dialling end learns about the accepting one. */
export interface AcceptedPeer {
  readonly peer: network.PeerIdentity;
  /** Whether the peer keeps a connection open that is silent while no call is pending on it. */
  readonly acceptsIdle: boolean;
}

interface Participant {
  readonly identity: network.PeerIdentity;
  readonly nonce: Uint8Array;
}

interface Transcript {
  readonly dialer: Participant;
  readonly acceptor: Participant;
}

type Label = "dialer" | "acceptor";

/**
 * Authenticates both ends, on the side that opened the connection.
 *
 * @throws HandshakeError, MalformedMessageError, zod.ZodError, or what ended the connection.
 */
export async function runDialerHandshake(
  endpoint: HandshakeEndpoint,
  credentials: Credentials,
): Promise<AcceptedPeer> {
  const nonce = crypto.randomBytes(NONCE_BYTES);
  const dialer = { identity: credentials.self, nonce };
  const hello = { version: PROTOCOL_VERSION, ...credentials.self, nonce } as const;
  send(endpoint, messages.MESSAGE_TYPE.hello, helloCodec.encode(hello));
  const challenge = challengeCodec.decode(
    await receive(endpoint, messages.MESSAGE_TYPE.challenge, credentials.clock),
  );
  const peer = { vm: challenge.vm, incarnation: challenge.incarnation };
  const transcript = { dialer, acceptor: { identity: peer, nonce: challenge.nonce } };
  verifyMac(credentials.keys, "acceptor", transcript, challenge.mac);
  const mac = computeMac(getSigningKey(credentials), "dialer", transcript);
  send(endpoint, messages.MESSAGE_TYPE.proof, proofCodec.encode({ mac }));
  welcomeCodec.decode(await receive(endpoint, messages.MESSAGE_TYPE.welcome, credentials.clock));
  return { peer, acceptsIdle: challenge.acceptsIdle === true };
}

/**
 * Authenticates both ends, on the side that accepted the connection.
 *
 * @throws HandshakeError, MalformedMessageError, zod.ZodError, or what ended the connection.
 */
export async function runAcceptorHandshake(
  endpoint: HandshakeEndpoint,
  credentials: Credentials,
): Promise<network.PeerIdentity> {
  const hello = helloCodec.decode(
    await receive(endpoint, messages.MESSAGE_TYPE.hello, credentials.clock),
  );
  const peer = { vm: hello.vm, incarnation: hello.incarnation };
  if (peer.vm === credentials.self.vm)
    throw new HandshakeError(`peer claims the id of this VM, ${peer.vm}`);
  const nonce = crypto.randomBytes(NONCE_BYTES);
  const transcript = {
    dialer: { identity: peer, nonce: hello.nonce },
    acceptor: { identity: credentials.self, nonce },
  };
  const localMac = computeMac(getSigningKey(credentials), "acceptor", transcript);
  const challenge = challengeCodec.encode({
    ...credentials.self,
    nonce,
    mac: localMac,
    acceptsIdle: true,
  });
  send(endpoint, messages.MESSAGE_TYPE.challenge, challenge);
  const proof = proofCodec.decode(
    await receive(endpoint, messages.MESSAGE_TYPE.proof, credentials.clock),
  );
  verifyMac(credentials.keys, "dialer", transcript, proof.mac);
  send(endpoint, messages.MESSAGE_TYPE.welcome, welcomeCodec.encode({}));
  return peer;
}

function send(endpoint: HandshakeEndpoint, type: number, content: unknown): void {
  endpoint.channel.send(messages.encodeMessage({ type, correlation: 0, kind: 0, fields: content }));
}

async function receive(
  endpoint: HandshakeEndpoint,
  type: number,
  clock: clocks.Clock,
): Promise<unknown> {
  const cancelTimeout = clock.schedule(HANDSHAKE_TIMEOUT_MS, () => {
    void endpoint.channel[Symbol.asyncDispose]();
  });
  try {
    const next = await endpoint.frames.next();
    if (next.done === true)
      throw new HandshakeError(`connection closed before handshake message of type ${type}`);
    const message = messages.decodeMessage(next.value);
    if (message.type === type) return message.fields;
    throw new HandshakeError(`expected message type ${type}, got ${message.type}`);
  } finally {
    cancelTimeout();
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
  const isValid = keys.some((key) =>
    crypto.timingSafeEqual(computeMac(key, label, transcript), mac),
  );
  if (isValid) return;
  const { vm: peer } = transcript[label].identity;
  throw new HandshakeError(`MAC of ${peer} matches none of the fleet keys`);
}

function computeMac(key: string, label: Label, transcript: Transcript): Buffer {
  const hmac = crypto.createHmac("sha256", key);
  hmac.update(
    JSON.stringify([
      label,
      formatParticipant(transcript.dialer),
      formatParticipant(transcript.acceptor),
    ]),
  );
  return hmac.digest();
}

function formatParticipant(participant: Participant): readonly unknown[] {
  const { identity, nonce } = participant;
  return [identity.vm, identity.incarnation, Buffer.from(nonce).toString("hex")];
}
