/** An in-memory network for tests: channels between named nodes, with fault injection per pair. */
import type * as clocks from "../src/kernel/clock.js";
import * as network from "../src/protocol/network.js";
import * as memoryDatagrams from "./memory-datagrams.js";
import * as memoryChannel from "./memory-channel.js";

const DEFAULT_DELAY_MS = 1;

interface Listener {
  readonly node: string;
  readonly onChannel: (channel: network.FrameChannel) => void;
}

interface PendingAccept {
  readonly node: string;
  readonly run: () => void;
}

/**
 * The simulated network. The test names the nodes and creates a transport for each.
 *
 * @example
 * const net = new MemoryNetwork(clock);
 * const transport = net.createTransport("a");
 * net.cut("a", "b");
 */
export class MemoryNetwork implements memoryChannel.NetworkConditions {
  readonly clock: clocks.Clock;
  readonly datagrams: memoryDatagrams.MemoryDatagrams;
  #sentFrames = 0;
  readonly #defaultDelayMs: number;
  readonly #listeners = new Map<string, Listener>();
  readonly #connections = new Set<memoryChannel.MemoryConnection>();
  readonly #cuts = new Set<string>();
  readonly #frozen = new Set<string>();
  readonly #delays = new Map<string, number>();
  #pendingAccepts: PendingAccept[] = [];

  constructor(clock: clocks.Clock, defaultDelayMs = DEFAULT_DELAY_MS) {
    this.clock = clock;
    this.datagrams = new memoryDatagrams.MemoryDatagrams(this);
    this.#defaultDelayMs = defaultDelayMs;
  }

  /** Creates a node's transport. */
  createTransport(node: string): network.Transport {
    return {
      listenForDatagrams: (address, onDatagram) =>
        Promise.resolve(this.datagrams.bind(node, address, onDatagram)),
      connect: (address, signal) => this.#connect(node, address, signal),
      listen: (address, onChannel) => Promise.resolve(this.#listen(node, address, onChannel)),
    };
  }

  /** Number of frames sent on all connections. */
  get sentFrames(): number {
    return this.#sentFrames;
  }

  recordFrame(): void {
    this.#sentFrames += 1;
  }

  /** Partitions two nodes: suspends all frames and new connections between them. */
  cut(first: string, second: string): void {
    this.#cuts.add(formatPair(first, second));
  }

  /** Ends a partition; suspended frames are delivered. */
  heal(first: string, second: string): void {
    this.#cuts.delete(formatPair(first, second));
    this.#resumeDeliveries();
  }

  /**
   * Suspends all frames to and from a node, as while its process is stopped. Connections to it can
   * still be established, as by the operating system's accept queue.
   */
  freeze(node: string): void {
    this.#frozen.add(node);
  }

  /** Ends a freeze; suspended frames are delivered and pending connections accepted. */
  thaw(node: string): void {
    this.#frozen.delete(node);
    this.#resumeDeliveries();
  }

  /** Sets the one-way delay between two nodes. */
  setDelay(first: string, second: string, delayMs: number): void {
    this.#delays.set(formatPair(first, second), delayMs);
  }

  /**
   * Makes the open connections between two nodes drop the frames in flight and all further ones;
   * new connections are not affected.
   */
  silence(first: string, second: string): void {
    for (const channel of this.#listConnections(first, second)) channel.silence();
  }

  /** Resets the open connections between two nodes, with an error at both endpoints. */
  reset(first: string, second: string): void {
    for (const channel of this.#listConnections(first, second)) channel.reset();
  }

  /** Kills a node as SIGKILL does: its connections are reset and its addresses refuse new ones. */
  kill(node: string): void {
    this.datagrams.kill(node);
    for (const [address, listener] of this.#listeners) {
      if (listener.node === node) this.#listeners.delete(address);
    }
    for (const channel of this.#connections) {
      if (channel.hasEndpoint(node)) channel.reset();
    }
    this.#pendingAccepts = this.#pendingAccepts.filter((accept) => accept.node !== node);
    this.#frozen.delete(node);
  }

  /** Returns the number of open connections of a node. */
  countConnections(node: string): number {
    return [...this.#connections].filter((channel) => channel.hasEndpoint(node)).length;
  }

  isDeliverySuspended(from: string, to: string): boolean {
    return this.isCut(from, to) || this.#frozen.has(to);
  }

  isFrozen(node: string): boolean {
    return this.#frozen.has(node);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(formatPair(from, to));
  }

  getDelay(from: string, to: string): number {
    return this.#delays.get(formatPair(from, to)) ?? this.#defaultDelayMs;
  }

  #listen(
    node: string,
    address: network.PeerAddress,
    onChannel: (channel: network.FrameChannel) => void,
  ): AsyncDisposable {
    const key = formatAddress(address);
    if (this.#listeners.has(key)) throw new Error(`address in use: ${key}`);
    const listener: Listener = { node, onChannel };
    this.#listeners.set(key, listener);
    return {
      [Symbol.asyncDispose]: () => {
        if (this.#listeners.get(key) === listener) this.#listeners.delete(key);
        return Promise.resolve();
      },
    };
  }

  async #connect(
    node: string,
    address: network.PeerAddress,
    signal: AbortSignal,
  ): Promise<network.FrameChannel> {
    const key = formatAddress(address);
    const target = this.#listeners.get(key)?.node ?? address.host;
    await this.#waitForRoundTrip(node, target, signal);
    const listener = this.#listeners.get(key);
    if (listener === undefined) throw new network.ConnectionRefusedError(`refused by ${key}`);
    const connection = new memoryChannel.MemoryConnection(this, node, listener.node, () => {
      this.#connections.delete(connection);
    });
    this.#connections.add(connection);
    this.#accept(listener, connection.acceptingEnd);
    return connection.connectingEnd;
  }

  #accept(listener: Listener, channel: network.FrameChannel): void {
    const run = (): void => {
      listener.onChannel(channel);
    };
    if (this.#frozen.has(listener.node)) this.#pendingAccepts.push({ node: listener.node, run });
    else run();
  }

  /**
   * Waits for a round trip. Polls while the pair is partitioned or the connecting node frozen, as
   * TCP retransmits its handshake until it is answered.
   */
  #waitForRoundTrip(from: string, to: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const delayMs = Math.max(1, 2 * this.getDelay(from, to));
      let cancel: () => void;
      const onAbort = (): void => {
        cancel();
        reject(signal.reason as Error);
      };
      const onTimer = (): void => {
        if (this.isCut(from, to) || this.#frozen.has(from)) {
          cancel = this.clock.schedule(delayMs, onTimer);
          return;
        }
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      cancel = this.clock.schedule(delayMs, onTimer);
      if (signal.aborted) onAbort();
      else signal.addEventListener("abort", onAbort, { once: true });
    });
  }

  #resumeDeliveries(): void {
    const accepts = this.#pendingAccepts;
    this.#pendingAccepts = [];
    for (const accept of accepts) {
      if (this.#frozen.has(accept.node)) this.#pendingAccepts.push(accept);
      else accept.run();
    }
    for (const channel of this.#connections) channel.resumeDeliveries();
  }

  #listConnections(first: string, second: string): memoryChannel.MemoryConnection[] {
    return [...this.#connections].filter((channel) => channel.isBetween(first, second));
  }
}

function formatPair(first: string, second: string): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`;
}

function formatAddress(address: network.PeerAddress): string {
  return `${address.host}:${address.port}`;
}
