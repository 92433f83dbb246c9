/** Typed calls between nodes over authenticated connections that are monitored by heartbeats. */
import type * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import type * as telemetry from "../telemetry/types.js";
import * as logEvents from "../telemetry/log-events.js";
import * as callHandlers from "./call-handlers.js";
import * as connectionPool from "./connection-pool.js";
import * as datagramCalls from "./datagram-calls.js";
import * as handshake from "./handshake.js";
import * as incarnations from "./incarnation.js";
import * as incoming from "./incoming-connection.js";
import * as network from "./network.js";
import * as localCalls from "./local-calls.js";

/** Limit of accepted connections; further ones are closed immediately. */
const MAX_ACCEPTED_CONNECTIONS = 2048;

class PooledPeerNetwork implements network.PeerNetwork {
  readonly #transport: network.Transport;
  readonly #clock: clocks.Clock;
  readonly #log: telemetry.EventLog;
  readonly #address: network.PeerAddress;
  readonly #credentials: handshake.Credentials;
  readonly #handlers = new callHandlers.CallHandlers();
  readonly #controller = new AbortController();
  readonly #pool: connectionPool.ConnectionPool;
  readonly #localCalls: localCalls.LocalCalls;
  readonly #datagrams: datagramCalls.DatagramCalls;
  readonly #accepted = new Set<network.FrameChannel>();
  #listener: AsyncDisposable | undefined;

  constructor(kernel: container.Kernel) {
    const settings = kernel.use("settings");
    this.#transport = kernel.use("transport");
    this.#clock = kernel.use("clock");
    this.#log = kernel.use("log");
    this.#address = { host: settings.host, port: settings.peerPort };
    this.#credentials = {
      self: { vm: settings.vm, incarnation: incarnations.useIncarnation(kernel) },
      keys: settings.fleetKeys,
      clock: this.#clock,
    };
    this.#pool = new connectionPool.ConnectionPool(
      {
        transport: this.#transport,
        credentials: this.#credentials,
        signal: this.#controller.signal,
      },
      this.#log,
    );
    this.#localCalls = new localCalls.LocalCalls(this.#credentials.self, this.#handlers);
    this.#datagrams = new datagramCalls.DatagramCalls({
      transport: this.#transport,
      credentials: this.#credentials,
      handlers: this.#handlers,
      clock: this.#clock,
      log: this.#log,
      metrics: kernel.use("metrics"),
      findAddress: (vm) => this.#pool.findAddress(vm),
    });
  }

  async call<Request, Reply>(
    vm: string,
    call: network.PeerCall<Request, Reply>,
    request: Request,
    options: network.CallOptions,
  ): Promise<Reply> {
    using limit = clocks.createTimeLimit(this.#clock, options.timeoutMs, options.signal);
    if (vm === this.#credentials.self.vm) {
      return await this.#localCalls.call(call, request, options.incarnation, limit.signal);
    }
    const connection = await this.#pool.connect(vm, options.incarnation, limit.signal);
    checkNotAborted(limit.signal);
    return await connection.call(call, request, limit.signal);
  }

  callByDatagram<Request, Reply>(
    vm: string,
    call: network.PeerCall<Request, Reply>,
    request: Request,
    options: network.CallOptions,
  ): Promise<Reply> {
    return this.#datagrams.call(vm, call, request, options);
  }

  acceptDatagrams(call: Pick<network.PeerCall<unknown, unknown>, "kind">): void {
    this.#datagrams.addKind(call.kind);
  }

  async *stream<Request, Item>(
    vm: string,
    call: network.PeerCall<Request, Item>,
    request: Request,
    options: network.CallOptions,
  ): AsyncGenerator<Item, undefined> {
    using wait = createFirstItemLimit(this.#clock, options);
    const items = await this.#startStream(vm, call, request, options.incarnation, wait.signal);
    for await (const item of items) {
      wait.stop();
      yield item;
    }
  }

  onCall<Request, Reply>(
    call: network.PeerCall<Request, Reply>,
    handler: (
      request: Request,
      from: network.PeerIdentity,
      signal: AbortSignal,
    ) => Promise<Reply> | Reply,
  ): void {
    this.#handlers.addUnary(call.kind, {
      codecs: callHandlers.useCallCodecs(call),
      run: async (request, from, signal) => await handler(request as Request, from, signal),
    });
  }

  onStream<Request, Item>(
    call: network.PeerCall<Request, Item>,
    handler: (
      request: Request,
      from: network.PeerIdentity,
      signal: AbortSignal,
    ) => AsyncIterable<Item>,
  ): void {
    this.#handlers.addStream(call.kind, {
      codecs: callHandlers.useCallCodecs(call),
      run: (request, from, signal) => handler(request as Request, from, signal),
    });
  }

  setAddress(vm: string, address: network.PeerAddress): void {
    this.#pool.setAddress(vm, address);
  }

  async start(): Promise<void> {
    this.#listener = await this.#transport.listen(this.#address, (channel) => {
      void this.#handle(channel);
    });
    await this.#startDatagrams();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node stops"));
    this.#pool.close();
    await this.#datagrams[Symbol.asyncDispose]();
    for (const channel of this.#accepted) await channel[Symbol.asyncDispose]();
    await this.#listener?.[Symbol.asyncDispose]();
  }

  /** Datagrams only save connections, so a node that cannot bind its port for them works without. */
  async #startDatagrams(): Promise<void> {
    try {
      await this.#datagrams.start(this.#address);
    } catch (error) {
      const fields = { host: this.#address.host, port: this.#address.port, error: String(error) };
      this.#log.write(logEvents.LOG_EVENTS.datagramsUnavailable, fields);
    }
  }

  async #startStream<Request, Item>(
    vm: string,
    call: network.PeerCall<Request, Item>,
    request: Request,
    incarnation: number | undefined,
    signal: AbortSignal,
  ): Promise<AsyncIterable<Item>> {
    if (vm === this.#credentials.self.vm) {
      return this.#localCalls.stream(call, request, incarnation, signal);
    }
    const connection = await this.#pool.connect(vm, incarnation, signal);
    checkNotAborted(signal);
    return connection.stream(call, request, signal);
  }

  async #handle(channel: network.FrameChannel): Promise<void> {
    if (this.#accepted.size >= MAX_ACCEPTED_CONNECTIONS) {
      this.#log.write(logEvents.LOG_EVENTS.peerRejected, { error: "too many connections" });
      await channel[Symbol.asyncDispose]();
      return;
    }
    this.#accepted.add(channel);
    try {
      await incoming.handleConnection(channel, {
        credentials: this.#credentials,
        handlers: this.#handlers,
        onHandlerError: (error) => {
          this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
        },
      });
    } catch (error) {
      if (!handshake.isProtocolError(error)) return;
      this.#log.write(logEvents.LOG_EVENTS.peerRejected, { error: String(error) });
    } finally {
      this.#accepted.delete(channel);
    }
  }
}

/** Signal that aborts with the caller's signal, or when the first item is not received in time. */
interface FirstItemLimit extends Disposable {
  readonly signal: AbortSignal;
  /** Cancels the time limit; the caller's signal stays in effect. */
  stop(): void;
}

function createFirstItemLimit(clock: clocks.Clock, options: network.CallOptions): FirstItemLimit {
  const controller = new AbortController();
  const onAbort = (): void => {
    controller.abort(options.signal?.reason);
  };
  const stop = clock.schedule(options.timeoutMs, () => {
    controller.abort(new DOMException(`no item within ${options.timeoutMs} ms`, "TimeoutError"));
  });
  if (options.signal?.aborted === true) onAbort();
  options.signal?.addEventListener("abort", onAbort, { once: true });
  return {
    signal: controller.signal,
    stop,
    [Symbol.dispose]: () => {
      stop();
      options.signal?.removeEventListener("abort", onAbort);
    },
  };
}

function checkNotAborted(signal: AbortSignal): void {
  if (!signal.aborted) return;
  const options = { cause: signal.reason as unknown };
  throw new network.PeerCallError(network.CALL_FAILURE.notSent, "given up before sending", options);
}

/**
 * Creates the network of a node. A connection carries only calls of the end that dialled it, so
 * that this end alone decides when the connection is no longer needed.
 *
 * The time limit of a streamed call applies to its first item; later ones are bounded by the
 * caller's signal and by the heartbeats of the connection.
 *
 * @example kernel.register("network", (services) => createPeerNetwork(services));
 */
export function createPeerNetwork(kernel: container.Kernel): network.PeerNetwork {
  return new PooledPeerNetwork(kernel);
}
