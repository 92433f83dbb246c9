/** A TCP transport between nodes of one process whose links can be cut. */
import type * as network from "../src/protocol/network.js";
import * as tcpTransport from "../src/protocol/tcp-transport.js";

/** The cuts between hosts, shared by the transports of a test. */
export class CuttableLinks {
  readonly #channels = new Map<network.FrameChannel, readonly [string, string]>();
  #isCut: (from: string, to: string) => boolean = () => false;

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
    };
  }

  async #break(channel: network.FrameChannel): Promise<void> {
    this.#channels.delete(channel);
    await channel[Symbol.asyncDispose]();
  }
}
