/** Transport over TCP, with one socket per channel, and over UDP for datagrams. */
import * as net from "node:net";
import * as asyncQueue from "./async-queue.js";
import * as frames from "./frame-decoder.js";
import * as network from "./network.js";
import * as udpSocket from "./udp-socket.js";

/** Received frames that may be queued for the reader before the socket is paused. */
const MAX_QUEUED_FRAMES = 256;
/** Number of queued frames at which a paused socket is resumed. */
const RESUME_FRAMES = 64;

class TcpChannel implements network.FrameChannel {
  readonly #socket: net.Socket;
  readonly #decoder = new frames.FrameDecoder();
  readonly #received = new asyncQueue.AsyncQueue<Uint8Array>();

  constructor(socket: net.Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => {
      this.#onData(chunk);
    });
    socket.on("end", () => {
      this.#received.close();
    });
    socket.on("error", (error) => {
      this.#received.close(error);
    });
    socket.on("close", () => {
      this.#received.close();
    });
  }

  get bufferedBytes(): number {
    return this.#socket.writableLength;
  }

  send(frame: Uint8Array): void {
    const header = frames.encodeFrameHeader(frame.byteLength);
    this.#socket.cork();
    this.#socket.write(header);
    this.#socket.write(frame);
    process.nextTick(() => {
      this.#socket.uncork();
    });
  }

  async *receive(): AsyncGenerator<Uint8Array> {
    for await (const frame of this.#received) {
      if (this.#socket.isPaused() && this.#received.length <= RESUME_FRAMES) this.#socket.resume();
      yield frame;
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#received.close();
    this.#socket.destroySoon();
    this.#socket.resume();
    this.#socket.setTimeout(CLOSE_TIMEOUT_MS, () => {
      this.#socket.destroy();
    });
    return Promise.resolve();
  }

  #onData(chunk: Buffer): void {
    try {
      for (const frame of this.#decoder.decode(chunk)) this.#received.push(frame);
    } catch (error) {
      this.#received.close(error as Error);
      this.#socket.destroy();
      return;
    }
    if (this.#received.length > MAX_QUEUED_FRAMES) this.#socket.pause();
  }
}

/** Time for a closed socket to send its buffered bytes before it is destroyed. */
const CLOSE_TIMEOUT_MS = 1000;

class TcpTransport implements network.Transport {
  readonly listenForDatagrams = udpSocket.listenForDatagrams;

  async connect(address: network.PeerAddress, signal: AbortSignal): Promise<network.FrameChannel> {
    signal.throwIfAborted();
    const socket = net.connect({ host: address.host, port: address.port });
    await waitForConnection(socket, signal);
    return new TcpChannel(socket);
  }

  async listen(
    address: network.PeerAddress,
    onChannel: (channel: network.FrameChannel) => void,
  ): Promise<AsyncDisposable> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer((socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      onChannel(new TcpChannel(socket));
    });
    await waitForListener(server, address);
    return {
      [Symbol.asyncDispose]: () =>
        new Promise((resolve) => {
          server.close(() => {
            resolve();
          });
          for (const socket of sockets) socket.destroy();
        }),
    };
  }
}

function waitForConnection(socket: net.Socket, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      socket.destroy();
      reject(signal.reason as Error);
    };
    const onError = (error: NodeJS.ErrnoException): void => {
      signal.removeEventListener("abort", onAbort);
      const refused = error.code === "ECONNREFUSED";
      reject(refused ? new network.ConnectionRefusedError(error.message) : error);
    };
    signal.addEventListener("abort", onAbort, { once: true });
    socket.once("error", onError);
    socket.once("connect", () => {
      signal.removeEventListener("abort", onAbort);
      socket.off("error", onError);
      resolve();
    });
  });
}

function waitForListener(server: net.Server, address: network.PeerAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/**
 * Creates the TCP transport, which is used in production.
 *
 * @example kernel.register("transport", () => createTcpTransport());
 */
export function createTcpTransport(): network.Transport {
  return new TcpTransport();
}
