/** The interfaces between nodes: frames over a transport, and typed calls over frames. */
import type * as zod from "zod";

/** Where a node listens for its peers. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

const SEED_PREFIX = "seed ";

/** Returns the name under which an address is dialled of which it is not known whose it is. */
export function createSeedName(address: PeerAddress): string {
  return `${SEED_PREFIX}${address.host}:${address.port}`;
}

/** Whether whoever answers at the name's address is the peer that is meant. */
export function isSeedName(vm: string): boolean {
  return vm.startsWith(SEED_PREFIX);
}

/** One ordered, reliable, two-way connection that carries encoded frames. */
export interface FrameChannel extends AsyncDisposable {
  /** Queues one frame; frames arrive whole and in order, or the channel ends. */
  send(frame: Uint8Array): void;
  /** Yields received frames until the other end closes; throws when the connection breaks. */
  receive(): AsyncIterable<Uint8Array>;
  /** Bytes accepted by `send` and not yet handed to the network. */
  readonly bufferedBytes: number;
}

/** Nothing listens at the address: the process that did is gone. */
export class ConnectionRefusedError extends Error {
  override readonly name = "ConnectionRefusedError";
}

/** Opens and accepts channels: TCP in production, an in-memory pair in tests. */
export interface Transport {
  /** @throws `ConnectionRefusedError` when nothing listens there, else any network error. */
  connect(address: PeerAddress, signal: AbortSignal): Promise<FrameChannel>;
  /** Listens and calls `onChannel` for each accepted connection. */
  listen(
    address: PeerAddress,
    onChannel: (channel: FrameChannel) => void,
  ): Promise<AsyncDisposable>;
}

/** Definition of a call between nodes: its number on the wire and the shape of both messages. */
export interface PeerCall<Request, Reply> {
  readonly kind: number;
  readonly name: string;
  readonly request: zod.ZodType<Request>;
  readonly reply: zod.ZodType<Reply>;
}

/**
 * Defines a call. Top-level object fields travel as a list in the schema's order, without names.
 *
 * Ranges of `kind`: 1-19 membership, 20-39 configuration, 40-59 requests, 60-79 capacity.
 *
 * @example const PROBE = createPeerCall(1, "probe", zod.object({ from: zod.string() }), replySchema);
 */
export function createPeerCall<Request, Reply>(
  kind: number,
  name: string,
  request: zod.ZodType<Request>,
  reply: zod.ZodType<Reply>,
): PeerCall<Request, Reply> {
  return { kind, name, request, reply };
}

/** Limits of one call. */
export interface CallOptions {
  /** How long the caller waits for the reply. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** Fails with `PeerUnreachableError` when the peer runs another incarnation. */
  readonly incarnation?: number;
}

/** The peer that sent a message, as proved by its handshake. */
export interface PeerIdentity {
  readonly vm: string;
  readonly incarnation: number;
}

/** Why a call failed, from what the caller can know. */
export const CALL_FAILURE = {
  /** Nothing was sent: no connection could be made. */
  notSent: "not-sent",
  /** The process of that incarnation no longer exists. */
  gone: "gone",
  /** Sent; no reply came. The peer may have handled it. */
  noReply: "no-reply",
  /** The peer answered that it failed. */
  failed: "failed",
} as const;

/** One of the values of `CALL_FAILURE`. */
export type CallFailure = (typeof CALL_FAILURE)[keyof typeof CALL_FAILURE];

/** A call to a peer that brought no reply. */
export class PeerCallError extends Error {
  override readonly name = "PeerCallError";
  readonly failure: CallFailure;

  constructor(failure: CallFailure, message: string, options?: ErrorOptions) {
    super(message, options);
    this.failure = failure;
  }
}

/** Typed calls to other nodes over kept connections. A call to the own node is handled in place. */
export interface PeerNetwork extends AsyncDisposable {
  /**
   * Sends a request and waits for its reply.
   *
   * @throws PeerCallError
   */
  call<Request, Reply>(
    vm: string,
    call: PeerCall<Request, Reply>,
    request: Request,
    options: CallOptions,
  ): Promise<Reply>;
  /**
   * Sends a request and yields the items of its answer; ends when the peer ends it.
   *
   * @throws PeerCallError
   */
  stream<Request, Item>(
    vm: string,
    call: PeerCall<Request, Item>,
    request: Request,
    options: CallOptions,
  ): AsyncIterable<Item>;
  /** Registers the handler of a call; one for each kind. */
  onCall<Request, Reply>(
    call: PeerCall<Request, Reply>,
    handler: (request: Request, from: PeerIdentity, signal: AbortSignal) => Promise<Reply> | Reply,
  ): void;
  /** Registers the handler of a streamed call. `signal` aborts when the peer stops reading. */
  onStream<Request, Item>(
    call: PeerCall<Request, Item>,
    handler: (request: Request, from: PeerIdentity, signal: AbortSignal) => AsyncIterable<Item>,
  ): void;
  /** Tells where a node listens; membership calls it as it learns. */
  setAddress(vm: string, address: PeerAddress): void;
  /** Starts to accept peers. */
  start(): Promise<void>;
}
