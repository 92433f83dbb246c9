/** In-memory datagrams between named nodes, with loss and one-way cuts. */
import * as randoms from "../src/kernel/random.js";
import type * as network from "../src/protocol/network.js";
import type * as memoryChannel from "./memory-channel.js";

type DatagramListener = (bytes: Uint8Array, from: network.PeerAddress) => void;

interface BoundSocket {
  readonly node: string;
  readonly onDatagram: DatagramListener;
}

/** Sockets by address, and the conditions of their datagrams. */
export class MemoryDatagrams {
  /** Fraction of the datagrams that are lost. */
  lossShare = 0;
  sentCount = 0;
  sentBytes = 0;
  readonly #conditions: memoryChannel.NetworkConditions;
  readonly #random = randoms.createSeededRandom(1);
  readonly #sockets = new Map<string, BoundSocket>();
  readonly #cuts = new Set<string>();

  constructor(conditions: memoryChannel.NetworkConditions) {
    this.#conditions = conditions;
  }

  /** Binds a node's socket. */
  bind(
    node: string,
    address: network.PeerAddress,
    onDatagram: DatagramListener,
  ): network.DatagramSocket {
    const key = formatAddress(address);
    const socket = { node, onDatagram };
    this.#sockets.set(key, socket);
    return {
      send: (bytes, to) => {
        this.#send(node, address, Uint8Array.from(bytes), to);
      },
      [Symbol.asyncDispose]: () => {
        if (this.#sockets.get(key) === socket) this.#sockets.delete(key);
        return Promise.resolve();
      },
    };
  }

  /** Drops all datagrams from one node to another, while connections work. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  kill(node: string): void {
    for (const [key, socket] of this.#sockets) if (socket.node === node) this.#sockets.delete(key);
  }

  /** Delivers bytes that no node sent. */
  publish(bytes: Uint8Array, to: network.PeerAddress): void {
    const from = { host: "10.255.0.1", port: 9 };
    this.#sockets.get(formatAddress(to))?.onDatagram(bytes, from);
  }

  #send(node: string, from: network.PeerAddress, bytes: Uint8Array, to: network.PeerAddress): void {
    this.sentCount += 1;
    this.sentBytes += bytes.byteLength;
    const target = this.#sockets.get(formatAddress(to));
    if (target === undefined || this.#random.nextFloat() < this.lossShare) return;
    const isCut = (): boolean =>
      this.#cuts.has(`${node}>${target.node}`) ||
      this.#conditions.isDeliverySuspended(node, target.node) ||
      this.#conditions.isFrozen(node);
    if (isCut()) return;
    this.#conditions.clock.schedule(this.#conditions.getDelay(node, target.node), () => {
      if (!isCut()) this.#sockets.get(formatAddress(to))?.onDatagram(bytes, from);
    });
  }
}

function formatAddress(address: network.PeerAddress): string {
  return `${address.host}:${address.port}`;
}
