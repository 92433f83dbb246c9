/** Pool of connections to peers, one per peer, which are dialled on demand. */
import * as events from "node:events";
import type * as telemetry from "../telemetry/types.js";
import * as logEvents from "../telemetry/log-events.js";
import * as handshake from "./handshake.js";
import * as network from "./network.js";
import * as outgoing from "./outgoing-connection.js";

/**
 * Maximum number of pooled connections and dials in progress; beyond it the least recently used idle
 * connection is evicted.
 */
export const MAX_CONNECTIONS = 1024;
/** Maximum number of VMs whose address is known; the addresses of further ones are ignored. */
const MAX_ADDRESSES = 16_384;

/** Manages the outgoing connections of the local node. */
export class ConnectionPool {
  readonly #options: outgoing.DialOptions;
  readonly #log: telemetry.EventLog;
  readonly #addresses = new Map<string, network.PeerAddress>();
  readonly #connections = new Map<string, outgoing.OutgoingConnection>();
  /** All open connections, including replaced ones that still finish their calls. */
  readonly #openConnections = new Set<outgoing.OutgoingConnection>();
  readonly #dials = new Map<string, Promise<outgoing.OutgoingConnection>>();

  constructor(options: outgoing.DialOptions, log: telemetry.EventLog) {
    this.#options = options;
    this.#log = log;
    // Each dial in progress adds a listener, and there are at most MAX_CONNECTIONS of them.
    events.default.setMaxListeners(MAX_CONNECTIONS, options.signal);
  }

  setAddress(vm: string, address: network.PeerAddress): void {
    if (!this.#addresses.has(vm) && this.#addresses.size >= MAX_ADDRESSES) return;
    this.#addresses.set(vm, address);
  }

  findAddress(vm: string): network.PeerAddress | undefined {
    return this.#addresses.get(vm);
  }

  /**
   * Returns the pooled connection to a peer, or dials one.
   *
   * @throws PeerCallError `notSent` or `gone`.
   */
  async connect(
    vm: string,
    incarnation: number | undefined,
    signal: AbortSignal,
  ): Promise<outgoing.OutgoingConnection> {
    const pooled = this.#connections.get(vm);
    if (pooled?.usable === true && isExpected(pooled.peer, incarnation)) return pooled;
    if (
      pooled !== undefined &&
      incarnation !== undefined &&
      pooled.peer.incarnation > incarnation
    ) {
      throw createGoneError(vm);
    }
    const dial = this.#dials.get(vm) ?? this.#startDial(vm);
    const dialled = await waitForDial(vm, dial, signal);
    if (!isExpected(dialled.peer, incarnation)) throw createGoneError(vm);
    return dialled;
  }

  close(): void {
    for (const connection of this.#openConnections) connection.close("node stops");
    this.#connections.clear();
  }

  #startDial(vm: string): Promise<outgoing.OutgoingConnection> {
    const dial = this.#addConnection(vm).finally(() => this.#dials.delete(vm));
    dial.catch(() => undefined);
    this.#dials.set(vm, dial);
    return dial;
  }

  async #addConnection(vm: string): Promise<outgoing.OutgoingConnection> {
    const address = this.#addresses.get(vm);
    if (address === undefined) throw createNotSentError(`no address of ${vm} is known`);
    if (!this.#evictIfFull()) throw createNotSentError("too many connections are in use");
    const connection = await this.#connect(vm, address);
    if (connection.peer.vm !== vm && !network.isSeedName(vm)) {
      connection.close("address belongs to another VM");
      throw createNotSentError(`${connection.peer.vm} answers at the address of ${vm}`);
    }
    if (this.#options.signal.aborted) {
      connection.close("node stops");
      throw createNotSentError("node stops");
    }
    this.#connections.set(vm, connection);
    void this.#run(vm, connection);
    return connection;
  }

  async #connect(vm: string, address: network.PeerAddress): Promise<outgoing.OutgoingConnection> {
    try {
      return await outgoing.connectToPeer(address, this.#options);
    } catch (error) {
      if (error instanceof network.ConnectionRefusedError) throw createGoneError(vm, error);
      this.#reportRejection(vm, error);
      throw createNotSentError(`no connection to ${vm}`, error);
    }
  }

  async #run(vm: string, connection: outgoing.OutgoingConnection): Promise<void> {
    this.#openConnections.add(connection);
    try {
      await connection.run();
    } catch (error) {
      this.#reportRejection(vm, error);
    } finally {
      this.#openConnections.delete(connection);
      if (this.#connections.get(vm) === connection) this.#connections.delete(vm);
    }
  }

  #reportRejection(vm: string, error: unknown): void {
    if (!handshake.isProtocolError(error)) return;
    this.#log.write(logEvents.LOG_EVENTS.peerRejected, { vm, error: String(error) });
  }

  /** If the pool is full, evicts the least recently used idle connection; returns whether there is room. */
  #evictIfFull(): boolean {
    if (this.#connections.size + this.#dials.size < MAX_CONNECTIONS) return true;
    let oldest: outgoing.OutgoingConnection | undefined;
    for (const connection of this.#connections.values()) {
      const isOlder = connection.lastUsedAt < (oldest?.lastUsedAt ?? Infinity);
      if (connection.idle && isOlder) oldest = connection;
    }
    if (oldest === undefined) return false;
    oldest.close("evicted from the full connection pool");
    this.#connections.delete(oldest.peer.vm);
    return true;
  }
}

function isExpected(peer: network.PeerIdentity, incarnation: number | undefined): boolean {
  return incarnation === undefined || peer.incarnation === incarnation;
}

function waitForDial(
  vm: string,
  dial: Promise<outgoing.OutgoingConnection>,
  signal: AbortSignal,
): Promise<outgoing.OutgoingConnection> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      reject(createNotSentError(`no connection to ${vm} in time`, signal.reason));
    };
    if (signal.aborted) onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
    dial.then(resolve, reject).finally(() => {
      signal.removeEventListener("abort", onAbort);
    });
  });
}

function createNotSentError(text: string, cause?: unknown): network.PeerCallError {
  return new network.PeerCallError(network.CALL_FAILURE.notSent, text, { cause });
}

function createGoneError(vm: string, cause?: unknown): network.PeerCallError {
  const text = `that process of ${vm} is gone`;
  return new network.PeerCallError(network.CALL_FAILURE.gone, text, { cause });
}
