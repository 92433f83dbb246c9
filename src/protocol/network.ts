/** Interfaces between nodes: frames over a transport, and typed calls over frames. */
import type * as zod from "zod";

/** Address at which a node listens for its peers. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

const SEED_PREFIX = "seed ";

/** Returns the name under which a seed address is dialled, whose VM is not yet known. */
export function createSeedName(address: PeerAddress): string {
  return `${SEED_PREFIX}${address.host}:${address.port}`;
}

/** Whether a name stands for a seed address, at which a peer with any VM id is accepted. */
export function isSeedName(vm: string): boolean {
  return vm.startsWith(SEED_PREFIX);
}

/** An ordered, reliable, bidirectional connection for frames. */
export interface FrameChannel extends AsyncDisposable {
  /** Queues one frame; frames arrive complete and in order, or the channel ends. */
  send(frame: Uint8Array): void;
  /** Yields received frames until the other end closes; throws when the connection fails. */
  receive(): AsyncIterable<Uint8Array>;
  /** Bytes accepted by `send` and not yet written to the network. */
  readonly bufferedBytes: number;
}

/** The connection was refused: nothing listens at the address, so the process there has ended. */
export class ConnectionRefusedError extends Error {
  override readonly name = "ConnectionRefusedError";
}

/** Sends datagrams, each of which may be lost, duplicated or delivered out of order. */
export interface DatagramSocket extends AsyncDisposable {
  send(bytes: Uint8Array, address: PeerAddress): void;
}

/** Opens and accepts channels: TCP in production, an in-memory pair in tests. */
export interface Transport {
  /** Binds a socket for datagrams; absent where there are none. */
  readonly listenForDatagrams?: (
    address: PeerAddress,
    onDatagram: (bytes: Uint8Array, from: PeerAddress) => void,
  ) => Promise<DatagramSocket>;
  /** @throws `ConnectionRefusedError` when nothing listens there, else any network error. */
  connect(address: PeerAddress, signal: AbortSignal): Promise<FrameChannel>;
  /** Listens and calls `onChannel` for each accepted connection. */
  listen(
    address: PeerAddress,
    onChannel: (channel: FrameChannel) => void,
  ): Promise<AsyncDisposable>;
}

/** Definition of a peer call: its number on the wire and the schemas of both messages. */
export interface PeerCall<Request, Reply> {
  readonly kind: number;
  readonly name: string;
  readonly request: zod.ZodType<Request>;
  readonly reply: zod.ZodType<Reply>;
}

/**
 * Defines a peer call. Objects are encoded as lists in schema order, without field names.
 *
 * Ranges of `kind`: 1-19 membership, 20-39 configuration, 40-59 requests, 60-79 capacity, 80-99
 * placement.
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
  /** Time limit for the reply, or for the first item of a stream. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** The call fails with `CALL_FAILURE.gone` when the peer runs another incarnation. */
  readonly incarnation?: number;
}

/** Identity of a peer, as authenticated by the handshake. */
export interface PeerIdentity {
  readonly vm: string;
  readonly incarnation: number;
}

/** Why a call failed, as far as the caller can determine. */
export const CALL_FAILURE = {
  /** Nothing was sent, for example because no connection could be established. */
  notSent: "not-sent",
  /** The process of that incarnation no longer exists. */
  gone: "gone",
  /** The request was sent without a valid reply; the peer may have handled it. */
  noReply: "no-reply",
  /** The peer answered with an error. */
  failed: "failed",
} as const;

/** One of the values of `CALL_FAILURE`. */
export type CallFailure = (typeof CALL_FAILURE)[keyof typeof CALL_FAILURE];

/** A call to a peer failed. */
export class PeerCallError extends Error {
  override readonly name = "PeerCallError";
  readonly failure: CallFailure;

  constructor(failure: CallFailure, message: string, options?: ErrorOptions) {
    super(message, options);
    this.failure = failure;
  }
}

/** Typed calls to other nodes over pooled connections; calls to the local node stay in process. */
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
   * Sends a request as one datagram and waits for the reply, without a connection. A missing reply shows nothing, as
   * datagrams get lost.
   *
   * @throws PeerCallError
   */
  callByDatagram<Request, Reply>(
    vm: string,
    call: PeerCall<Request, Reply>,
    request: Request,
    options: CallOptions,
  ): Promise<Reply>;
  /**
   * Sends a request and yields the items of the streamed reply.
   *
   * @throws PeerCallError
   */
  stream<Request, Item>(
    vm: string,
    call: PeerCall<Request, Item>,
    request: Request,
    options: CallOptions,
  ): AsyncIterable<Item>;
  /**
   * Registers the handler of a call. `signal` aborts when the caller cancels the call or the
   * connection is lost.
   *
   * @throws when the kind already has a handler.
   */
  onCall<Request, Reply>(
    call: PeerCall<Request, Reply>,
    handler: (request: Request, from: PeerIdentity, signal: AbortSignal) => Promise<Reply> | Reply,
  ): void;
  /** Accepts a call as a datagram too; its handler has to bear being run twice for one call. */
  acceptDatagrams(call: Pick<PeerCall<unknown, unknown>, "kind">): void;
  /**
   * Registers the handler of a streamed call. `signal` aborts when the reader stops or the connection
   * is lost.
   *
   * @throws when the kind already has a handler.
   */
  onStream<Request, Item>(
    call: PeerCall<Request, Item>,
    handler: (request: Request, from: PeerIdentity, signal: AbortSignal) => AsyncIterable<Item>,
  ): void;
  /** Sets the address of a node; called by the membership when it learns an address. */
  setAddress(vm: string, address: PeerAddress): void;
  /** Starts accepting connections from peers. */
  start(): Promise<void>;
}
