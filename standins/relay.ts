/** A TCP relay between two processes that can drop and delay traffic and reset connections. */
import * as net from "node:net";
import * as delayLine from "./delay-line.js";

const HOST = "127.0.0.1";

interface RelayedConnection {
  readonly clientSocket: net.Socket;
  readonly targetSocket: net.Socket;
  silent: boolean;
  /** Directions in which bytes were dropped; nothing after them can arrive any more. */
  readonly lossy: Set<Direction>;
}

/** Direction of traffic: `near` is towards the connecting client, `far` towards the target. */
export const DIRECTION = { near: "near", far: "far" } as const;

/** One of the values of `DIRECTION`. */
export type Direction = (typeof DIRECTION)[keyof typeof DIRECTION];

/**
 * Relays connections to one target port.
 *
 * @example await using relay = await Relay.start(7101); relay.silence();
 */
export class Relay implements AsyncDisposable {
  readonly #server: net.Server;
  readonly #targetPort: number;
  readonly #targetHost: string;
  readonly #connections = new Set<RelayedConnection>();
  /** Delay of the bytes received from now on, in both directions. */
  delayMs = 0;
  /** Direction in which all bytes are dropped, if any. */
  droppedDirection: Direction | undefined;

  constructor(targetPort: number, targetHost = HOST) {
    this.#targetPort = targetPort;
    this.#targetHost = targetHost;
    this.#server = net.createServer((clientSocket) => {
      this.#handleConnection(clientSocket);
    });
  }

  /** Starts a relay that listens on a free port. */
  static async start(targetPort: number, targetHost = HOST): Promise<Relay> {
    const relay = new Relay(targetPort, targetHost);
    await new Promise<void>((resolve) => relay.#server.listen(0, HOST, resolve));
    return relay;
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Number of open connections that still forward bytes. */
  get activeConnections(): number {
    return [...this.#connections].filter((connection) => !connection.silent).length;
  }

  /**
   * Makes the open connections drop all bytes received from now on and not propagate closing; new
   * connections are not affected.
   */
  silence(): void {
    for (const connection of this.#connections) connection.silent = true;
  }

  /** Resets all open connections on both sides. */
  reset(): void {
    for (const { clientSocket, targetSocket } of this.#connections) {
      resetSocket(clientSocket);
      resetSocket(targetSocket);
    }
    this.#connections.clear();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { clientSocket, targetSocket } of this.#connections) {
      clientSocket.destroy();
      targetSocket.destroy();
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #handleConnection(clientSocket: net.Socket): void {
    const targetSocket = net.connect(this.#targetPort, this.#targetHost);
    const lossy = new Set<Direction>();
    const connection: RelayedConnection = { clientSocket, targetSocket, silent: false, lossy };
    this.#connections.add(connection);
    this.#forward(connection, DIRECTION.far, clientSocket, targetSocket);
    this.#forward(connection, DIRECTION.near, targetSocket, clientSocket);
  }

  #forward(
    connection: RelayedConnection,
    direction: Direction,
    from: net.Socket,
    to: net.Socket,
  ): void {
    const line = new delayLine.DelayLine((bytes) => to.write(bytes));
    from.on("data", (bytes) => {
      if (this.droppedDirection === direction) connection.lossy.add(direction);
      const isDropped = connection.silent || connection.lossy.has(direction);
      if (!isDropped) line.push(bytes, this.delayMs);
    });
    from.on("error", () => undefined);
    from.on("close", () => {
      if (connection.silent || connection.lossy.has(direction)) return;
      this.#connections.delete(connection);
      line.close(() => {
        to.destroy();
      });
    });
  }
}

/** Closes a socket with a reset, unless its shutdown has already begun. */
export function resetSocket(socket: net.Socket): void {
  // Node.js cannot reset a socket whose shutdown is pending: the socket would never close.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
