/** A TCP transport between nodes of one process whose open channels can fall silent; datagrams are not affected. */
import type * as network from "../src/protocol/network.js";
import * as tcpTransport from "../src/protocol/tcp-transport.js";

interface SilenceState {
  silent: boolean;
}

/** The open channels between hosts, shared by the transports of a test. */
export class SilentLinks {
  #channels: SilenceState[] = [];

  /** Makes the open channels drop all frames from now on, without closing; new channels are not affected. */
  silence(): void {
    for (const channel of this.#channels) channel.silent = true;
    this.#channels = [];
  }

  /** Creates the transport of a node. */
  createTransport(): network.Transport {
    const tcp = tcpTransport.createTcpTransport();
    return {
      listen: (address, onChannel) => tcp.listen(address, onChannel),
      listenForDatagrams: (address, onDatagram) => openDatagramSocket(tcp, address, onDatagram),
      connect: async (address, signal) => {
        const state = { silent: false };
        this.#channels.push(state);
        return new SilenceableChannel(await tcp.connect(address, signal), state);
      },
    };
  }
}

type DatagramHandler = (bytes: Uint8Array, from: network.PeerAddress) => void;

function openDatagramSocket(
  transport: network.Transport,
  address: network.PeerAddress,
  onDatagram: DatagramHandler,
): Promise<network.DatagramSocket> {
  if (transport.listenForDatagrams === undefined) throw new Error("transport has no datagrams");
  return transport.listenForDatagrams(address, onDatagram);
}

class SilenceableChannel implements network.FrameChannel {
  readonly #channel: network.FrameChannel;
  readonly #state: SilenceState;

  constructor(channel: network.FrameChannel, state: SilenceState) {
    this.#channel = channel;
    this.#state = state;
  }

  get bufferedBytes(): number {
    return this.#channel.bufferedBytes;
  }

  send(frame: Uint8Array): void {
    if (!this.#state.silent) this.#channel.send(frame);
  }

  async *receive(): AsyncGenerator<Uint8Array> {
    for await (const frame of this.#channel.receive()) if (!this.#state.silent) yield frame;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#channel[Symbol.asyncDispose]();
  }
}
