/** A connection this node dialled: its calls go out on it, heartbeats watch it. */
import * as clocks from "../kernel/clock.js";
import * as handshake from "./handshake.js";
import type * as network from "./network.js";
import * as outgoingCalls from "./outgoing-calls.js";
import * as peerLink from "./peer-link.js";

/** Age after which new calls go to a new connection. */
const MAX_AGE_MS = 600_000;
/** Time without a call after which a connection is closed. */
const MAX_IDLE_MS = 5000;
/** How long a replaced connection may take to finish its calls. */
const MAX_RETIREMENT_MS = 600_000;
/** How long connecting may take, before the handshake. */
const CONNECT_LIMIT_MS = 1000;

/** What dialling needs. */
export interface DialOptions {
  readonly transport: network.Transport;
  readonly credentials: handshake.Credentials;
  readonly signal: AbortSignal;
}

/** One proved connection to a peer, with the calls that wait on it. */
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

  /** Whether new calls may go out on it. */
  get usable(): boolean {
    return !this.#link.signal.aborted && this.#clock.now() - this.#openedAt < MAX_AGE_MS;
  }

  /** Whether no call waits on it. */
  get idle(): boolean {
    return this.#calls.size === 0;
  }

  /** Monotonic time of its last call. */
  get usedAt(): number {
    return this.#usedAt;
  }

  /** Runs until the connection ends; then every call that waits on it has failed. */
  async run(): Promise<void> {
    void this.#link.runHeartbeat(() => {
      this.#handlePeriod();
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

  #handlePeriod(): void {
    const now = this.#clock.now();
    const isUnused = this.idle && now - this.#usedAt > MAX_IDLE_MS;
    const isReplaced = !this.usable && this.idle;
    const isTooOld = now - this.#openedAt > MAX_AGE_MS + MAX_RETIREMENT_MS;
    if (isUnused || isReplaced || isTooOld) this.close("connection is no longer needed");
    else this.#link.sendPing();
  }
}

/**
 * Connects to a peer and proves both ends.
 *
 * @throws ConnectionRefusedError, HandshakeError or a network error.
 */
export async function connectToPeer(
  address: network.PeerAddress,
  options: DialOptions,
): Promise<OutgoingConnection> {
  const { clock } = options.credentials;
  using limit = clocks.createTimeLimit(clock, CONNECT_LIMIT_MS, options.signal);
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
