/** A connection that this node dialled: it sends calls on it and monitors it by heartbeats. */
import * as clocks from "../kernel/clock.js";
import * as handshake from "./handshake.js";
import type * as network from "./network.js";
import * as outgoingCalls from "./outgoing-calls.js";
import * as peerLink from "./peer-link.js";

/** Age after which new calls use a new connection. */
const MAX_AGE_MS = 600_000;
/** Time without a new call after which an idle connection is closed. */
const MAX_IDLE_MS = 5000;
/** Time for a connection past `MAX_AGE_MS` to finish its calls before it is closed. */
const MAX_DRAIN_MS = 600_000;
/** Time limit for the transport to connect, without the handshake. */
const CONNECT_TIMEOUT_MS = 1000;

/** Dependencies for dialling. */
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
  #usedAt: number;

  constructor(link: peerLink.PeerLink, clock: clocks.Clock) {
    this.#link = link;
    this.#calls = new outgoingCalls.OutgoingCalls(link);
    this.#clock = clock;
    this.#openedAt = clock.now();
    this.#usedAt = this.#openedAt;
  }

  get peer(): network.PeerIdentity {
    return this.#link.peer;
  }

  /** Whether new calls may be sent on it. */
  get usable(): boolean {
    return !this.#link.signal.aborted && this.#clock.now() - this.#openedAt < MAX_AGE_MS;
  }

  /** Whether no call is pending on it. */
  get idle(): boolean {
    return this.#calls.size === 0;
  }

  /** Monotonic time at which its last call started. */
  get usedAt(): number {
    return this.#usedAt;
  }

  /** Runs until the connection ends and has failed the calls that were still pending. */
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
    this.#usedAt = this.#clock.now();
    return this.#calls.call(call, request, signal);
  }

  /** @throws PeerCallError */
  stream<Request, Item>(
    call: network.PeerCall<Request, Item>,
    request: Request,
    signal: AbortSignal,
  ): AsyncIterable<Item> {
    this.#usedAt = this.#clock.now();
    return this.#calls.stream(call, request, signal);
  }

  close(reason: string): void {
    this.#link.close(reason);
  }

  #handleHeartbeat(): void {
    const now = this.#clock.now();
    const isUnused = this.idle && now - this.#usedAt > MAX_IDLE_MS;
    const isDrained = !this.usable && this.idle;
    const isTooOld = now - this.#openedAt > MAX_AGE_MS + MAX_DRAIN_MS;
    if (isUnused || isDrained || isTooOld) this.close("connection is no longer needed");
    else this.#link.sendPing();
  }
}

/**
 * Connects to a peer and authenticates both ends.
 *
 * @throws ConnectionRefusedError, HandshakeError or a network error.
 */
export async function connectToPeer(
  address: network.PeerAddress,
  options: DialOptions,
): Promise<OutgoingConnection> {
  const { clock } = options.credentials;
  using limit = clocks.createTimeLimit(clock, CONNECT_TIMEOUT_MS, options.signal);
  const channel = await options.transport.connect(address, limit.signal);
  const end = { channel, frames: channel.receive()[Symbol.asyncIterator]() };
  try {
    const peer = await handshake.runDialerHandshake(end, options.credentials);
    const link = new peerLink.PeerLink(peer, channel, end.frames, clock);
    return new OutgoingConnection(link, clock);
  } catch (error) {
    await channel[Symbol.asyncDispose]();
    throw error;
  }
}
