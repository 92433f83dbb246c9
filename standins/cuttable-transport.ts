/** A transport between nodes of one process whose links can be cut. */
import type * as network from "../src/protocol/network.js";
import * as tcpTransport from "../src/protocol/tcp-transport.js";

/** The cuts between hosts, shared by the transports of a test. */
export class CuttableLinks {
  readonly #channels = new Map<network.FrameChannel, readonly [string, string]>();
  readonly #hasDatagrams: boolean;
  #isCut: (from: string, to: string) => boolean = () => false;

  /** @param hasDatagrams - whether nodes send datagrams, too; by default, they have TCP only. */
  constructor(hasDatagrams = false) {
    this.#hasDatagrams = hasDatagrams;
  }

  /** Sets which links are cut, and breaks open channels on them. A link carries calls from one host to another. */
  async setCut(isCut: (from: string, to: string) => boolean): Promise<void> {
    this.#isCut = isCut;
    const broken = [...this.#channels].filter(([, [from, to]]) => isCut(from, to));
    await Promise.all(broken.map(([channel]) => this.#break(channel)));
  }

  /** Creates the transport of the node on `host`. */
  createTransport(host: string): network.Transport {
    const tcp = tcpTransport.createTcpTransport();
    return {
      connect: async (address, signal) => {
        if (this.#isCut(host, address.host)) throw new Error(`link to ${address.host} is cut`);
        const channel = await tcp.connect(address, signal);
        this.#channels.set(channel, [host, address.host]);
        return channel;
      },
      listen: (address, onChannel) => tcp.listen(address, onChannel),
      ...(this.#hasDatagrams ? this.#createDatagrams(host, tcp) : {}),
    };
  }

  /** Drops datagrams on links that are cut. */
  #createDatagrams(
    host: string,
    tcp: network.Transport,
  ): Pick<network.Transport, "listenForDatagrams"> {
    return {
      listenForDatagrams: async (address, onDatagram) => {
        const socket = await tcp.listenForDatagrams?.(address, onDatagram);
        if (socket === undefined) throw new Error("transport has no datagrams");
        return {
          send: (bytes, to) => {
            if (!this.#isCut(host, to.host)) socket.send(bytes, to);
          },
          [Symbol.asyncDispose]: () => socket[Symbol.asyncDispose](),
        };
      },
    };
  }

  async #break(channel: network.FrameChannel): Promise<void> {
    this.#channels.delete(channel);
    await channel[Symbol.asyncDispose]();
  }
}
