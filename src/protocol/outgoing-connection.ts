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
/** Time without any message after which a call that was given up casts doubt on its connection. */
const MIN_DOUBTFUL_SILENCE_MS = 200;
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
  readonly #needsSteadyHeartbeat: boolean;
  #lastUsedAt: number;
  /** Whether a call was given up after silence; the connection may be dead although it is open. */
  #isDoubtful = false;

  /** @param needsSteadyHeartbeat - whether the peer closes a connection without pings, as earlier versions do. */
  constructor(link: peerLink.PeerLink, clock: clocks.Clock, needsSteadyHeartbeat: boolean) {
    this.#link = link;
    this.#calls = new outgoingCalls.OutgoingCalls(link, clock, (sentAt) => {
      this.#handleUnanswered(sentAt);
    });
    this.#clock = clock;
    this.#needsSteadyHeartbeat = needsSteadyHeartbeat;
    this.#openedAt = clock.now();
    this.#lastUsedAt = this.#openedAt;
  }

  get peer(): network.PeerIdentity {
    return this.#link.peer;
  }

  /** Whether new calls may be sent: the connection is open, not doubtful and below its maximum age. */
  get usable(): boolean {
    const ageMs = this.#clock.now() - this.#openedAt;
    return !this.#link.signal.aborted && !this.#isDoubtful && ageMs < MAX_AGE_MS;
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
    if (this.#needsSteadyHeartbeat) this.#startHeartbeat();
    void this.#link.runIdleCheck(MAX_IDLE_MS, () => (this.idle ? this.#lastUsedAt : undefined));
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
    this.#recordUse();
    return this.#calls.call(call, request, signal);
  }

  /** @throws PeerCallError */
  stream<Request, Item>(
    call: network.PeerCall<Request, Item>,
    request: Request,
    signal: AbortSignal,
  ): AsyncIterable<Item> {
    this.#recordUse();
    return this.#calls.stream(call, request, signal);
  }

  close(reason: string): void {
    this.#link.close(reason);
  }

  #recordUse(): void {
    this.#lastUsedAt = this.#clock.now();
    this.#startHeartbeat();
  }

  #startHeartbeat(): void {
    const isInUse = (): boolean => this.#needsSteadyHeartbeat || !this.idle;
    void this.#link.runHeartbeat(isInUse, () => {
      this.#handleHeartbeat();
    });
  }

  #handleHeartbeat(): void {
    const isTooOld = this.#clock.now() - this.#openedAt > MAX_AGE_MS + MAX_DRAIN_MS;
    const isDrained = !this.usable && this.idle;
    if (isTooOld || isDrained) this.close("connection is idle or too old");
    else this.#link.sendPing();
  }

  /** Keeps further calls off the connection if nothing was received since an unanswered call was sent. */
  #handleUnanswered(sentAt: number): void {
    const isSilent = this.#link.lastReceivedAt < sentAt;
    const waitedMs = this.#clock.now() - sentAt;
    if (!isSilent || waitedMs < MIN_DOUBTFUL_SILENCE_MS) return;
    this.#isDoubtful = true;
    if (this.idle) this.close("peer did not answer a call");
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
    const { peer, acceptsIdle } = await handshake.runDialerHandshake(endpoint, options.credentials);
    const link = new peerLink.PeerLink(peer, channel, endpoint.frames, clock);
    return new OutgoingConnection(link, clock, !acceptsIdle);
  } catch (error) {
    await channel[Symbol.asyncDispose]();
    throw error;
  }
}
