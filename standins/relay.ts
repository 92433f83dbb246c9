/** A TCP relay between two processes that can lose bytes without ending a connection. */
import * as net from "node:net";

const HOST = "127.0.0.1";

interface RelayedConnection {
  readonly near: net.Socket;
  readonly far: net.Socket;
  silent: boolean;
}

/**
 * Relays connections to one port of loopback.
 *
 * @example await using relay = await Relay.start(7101); relay.silence();
 */
export class Relay implements AsyncDisposable {
  readonly #server: net.Server;
  readonly #targetPort: number;
  readonly #connections = new Set<RelayedConnection>();

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = net.createServer((near) => {
      this.#handleConnection(near);
    });
  }

  /** Listens on a free port. */
  static async start(targetPort: number): Promise<Relay> {
    const relay = new Relay(targetPort);
    await new Promise<void>((resolve) => relay.#server.listen(0, HOST, resolve));
    return relay;
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Open connections that still pass bytes. */
  get active(): number {
    return [...this.#connections].filter((connection) => !connection.silent).length;
  }

  /** Makes the open connections lose all bytes, also their ends; new connections work. */
  silence(): void {
    for (const connection of this.#connections) connection.silent = true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { near, far } of this.#connections) {
      near.destroy();
      far.destroy();
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #handleConnection(near: net.Socket): void {
    const far = net.connect(this.#targetPort, HOST);
    const connection: RelayedConnection = { near, far, silent: false };
    this.#connections.add(connection);
    this.#pass(connection, near, far);
    this.#pass(connection, far, near);
  }

  #pass(connection: RelayedConnection, from: net.Socket, to: net.Socket): void {
    from.on("data", (bytes) => {
      if (!connection.silent) to.write(bytes);
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      if (connection.silent) return;
      this.#connections.delete(connection);
      to.destroy();
    });
  }
}
