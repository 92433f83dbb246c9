/** A connection that this node dialled: sends calls and monitors the connection by heartbeats. */
import * as clocks from "../kernel/clock.js";
import * as handshake from "./handshake.js";
import type * as network from "./network.js";
import * as outgoingCalls from "./outgoing-calls.js";
import * as peerLink from "./peer-link.js";

/** Age after which new calls use a new connection. */
const MAX_AGE_MS = 600_000;
/** Time without a new call after which an idle connection is closed. */
const MAX_IDLE_MS = 5000;
/** Time after `MAX_AGE_MS` within which the pending calls may end before the connection is closed. */
const MAX_DRAIN_MS = 600_000;
/** Time limit for the transport to connect, without the handshake. */
const CONNECT_TIMEOUT_MS = 1000;

/** Transport and credentials for dialling; `signal` aborts the transport's connection attempt. */
export interface DialOptions {
  readonly transport: network.Transport;
  readonly credentials: handshake.Credentials;
  readonly signal: AbortSignal;
}

/** An authenticated connection to a peer, with the calls that are pending on it. */
export class OutgoingConnection {
  readonly #link: peerLink.PeerLink;
  readonly #calls: outgoingCalls.OutgoingCalls;
  readonly #clock: clocks.Clock;
  readonly #openedAt: number;
  #lastUsedAt: number;

  constructor(link: peerLink.PeerLink, clock: clocks.Clock) {
    this.#link = link;
    this.#calls = new outgoingCalls.OutgoingCalls(link);
    this.#clock = clock;
    this.#openedAt = clock.now();
    this.#lastUsedAt = this.#openedAt;
  }

  get peer(): network.PeerIdentity {
    return this.#link.peer;
  }

  /** Whether new calls may be sent: the connection is open and has not reached its maximum age. */
  get usable(): boolean {
    return !this.#link.signal.aborted && this.#clock.now() - this.#openedAt < MAX_AGE_MS;
  }

  /** Whether no call is pending on it. */
  get idle(): boolean {
    return this.#calls.size === 0;
  }

  /** Monotonic time at which the last call started; the opening time before the first call. */
  get lastUsedAt(): number {
    return this.#lastUsedAt;
  }

  /**
   * Receives messages until the connection ends, then rejects all pending calls.
   *
   * @throws MalformedMessageError, FrameLengthError or what ended the connection.
   */
  async run(): Promise<void> {
    void this.#link.runHeartbeat(() => {
      this.#handleHeartbeat();
    });
    try {
      await this.#link.run((message) => {
        this.#calls.handleMessage(message);
      });
    } finally {
      this.#calls.close(this.#link.signal.reason);
    }
  }

  /** @throws PeerCallError */
  call<Request, Reply>(
    call: network.PeerCall<Request, Reply>,
    request: Request,
    signal: AbortSignal,
  ): Promise<Reply> {
    this.#lastUsedAt = this.#clock.now();
    return this.#calls.call(call, request, signal);
  }

  /** @throws PeerCallError */
  stream<Request, Item>(
    call: network.PeerCall<Request, Item>,
    request: Request,
    signal: AbortSignal,
  ): AsyncIterable<Item> {
    this.#lastUsedAt = this.#clock.now();
    return this.#calls.stream(call, request, signal);
  }

  close(reason: string): void {
    this.#link.close(reason);
  }

  #handleHeartbeat(): void {
    const now = this.#clock.now();
    const isUnused = this.idle && now - this.#lastUsedAt > MAX_IDLE_MS;
    const isDrained = !this.usable && this.idle;
    const isTooOld = now - this.#openedAt > MAX_AGE_MS + MAX_DRAIN_MS;
    if (isUnused || isDrained || isTooOld) this.close("connection is idle or too old");
    else this.#link.sendPing();
  }
}

/**
 * Connects to a peer and authenticates both ends.
 *
 * @throws ConnectionRefusedError, HandshakeError, MalformedMessageError, FrameLengthError,
 *   zod.ZodError or a network error.
 */
export async function connectToPeer(
  address: network.PeerAddress,
  options: DialOptions,
): Promise<OutgoingConnection> {
  const { clock } = options.credentials;
  using limit = clocks.createTimeLimit(clock, CONNECT_TIMEOUT_MS, options.signal);
  const channel = await options.transport.connect(address, limit.signal);
  const endpoint = { channel, frames: channel.receive()[Symbol.asyncIterator]() };
  try {
    const peer = await handshake.runDialerHandshake(endpoint, options.credentials);
    const link = new peerLink.PeerLink(peer, channel, endpoint.frames, clock);
    return new OutgoingConnection(link, clock);
  } catch (error) {
    await channel[Symbol.asyncDispose]();
    throw error;
  }
}
