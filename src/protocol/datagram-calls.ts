/**
 * Calls between nodes as one datagram each way, for failure detection: they need no connection. A datagram may be lost, so a
 * call without a reply shows nothing about the peer.
 */
import type * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as callHandlers from "./call-handlers.js";
import * as codec from "./datagram-codec.js";
import type * as handshake from "./handshake.js";
import * as network from "./network.js";
import * as replayWindow from "./replay-window.js";

/** Limit on the calls that wait for a reply; further ones are not sent. */
const MAX_PENDING_CALLS = 1_024;
/** Minimum time between two log entries about rejected datagrams. */
const REJECTION_LOG_PERIOD_MS = 10_000;

/** Services that `DatagramCalls` uses. */
export interface DatagramCallsOptions {
  readonly transport: network.Transport;
  readonly credentials: handshake.Credentials;
  readonly handlers: callHandlers.CallHandlers;
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: Pick<telemetry.Metrics, "count">;
  readonly findAddress: (vm: string) => network.PeerAddress | undefined;
}

interface PendingCall {
  readonly vm: string;
  onReply(datagram: codec.Datagram): void;
}

/** Sends calls as datagrams, and serves those of peers. */
export class DatagramCalls implements AsyncDisposable {
  readonly #options: DatagramCallsOptions;
  readonly #pending = new Map<number, PendingCall>();
  readonly #replays = new replayWindow.ReplayWindow();
  readonly #allowedKinds = new Set<number>();
  #socket: network.DatagramSocket | undefined;
  #lastSequence = 0;
  #rejectedCount = 0;
  #nextRejectionLogAt = 0;

  readonly #datagramHandlers: Readonly<
    Record<number, (datagram: codec.Datagram, from: network.PeerAddress) => void>
  > = {
    [codec.DATAGRAM_TYPE.request]: (datagram, from) => {
      void this.#handleRequest(datagram, from);
    },
    [codec.DATAGRAM_TYPE.reply]: (datagram) => {
      this.#handleReply(datagram);
    },
    [codec.DATAGRAM_TYPE.declined]: (datagram) => {
      this.#handleReply(datagram);
    },
  };

  constructor(options: DatagramCallsOptions) {
    this.#options = options;
  }

  /** Number of received datagrams that were dropped: forged, malformed, replayed or for another node. */
  get rejectedCount(): number {
    return this.#rejectedCount;
  }

  /** Starts receiving at `address`, on the port that the connections use. */
  async start(address: network.PeerAddress): Promise<void> {
    const { transport } = this.#options;
    this.#socket = await transport.listenForDatagrams?.(address, (bytes, from) => {
      this.#handleBytes(bytes, from);
    });
  }

  /** Accepts calls of a kind as datagrams; its handler has to bear being run twice for one call. */
  addKind(kind: number): void {
    this.#allowedKinds.add(kind);
  }

  /**
   * Sends a request as one datagram and waits for the reply.
   *
   * @throws PeerCallError `notSent` when the request or the reply does not fit a datagram, `gone` when another process
   * replies, `noReply` when none does.
   */
  async call<Request, Reply>(
    vm: string,
    call: network.PeerCall<Request, Reply>,
    request: Request,
    options: network.CallOptions,
  ): Promise<Reply> {
    const codecs = callHandlers.useCallCodecs(call);
    const reply = await this.#send(vm, call.kind, codecs.request.encode(request), options);
    const { incarnation } = options;
    if (incarnation !== undefined && reply.from.incarnation !== incarnation)
      throw createError(network.CALL_FAILURE.gone, `that process of ${vm} is gone`);
    if (reply.type === codec.DATAGRAM_TYPE.declined)
      throw createError(network.CALL_FAILURE.notSent, `${vm} declined ${call.name} as a datagram`);
    try {
      return codecs.reply.decode(reply.fields);
    } catch (error) {
      throw createError(network.CALL_FAILURE.noReply, `reply to ${call.name} is malformed`, error);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#socket?.[Symbol.asyncDispose]();
    this.#socket = undefined;
  }

  #send(
    vm: string,
    kind: number,
    fields: unknown,
    { timeoutMs, signal }: network.CallOptions,
  ): Promise<codec.Datagram> {
    const { findAddress, credentials, clock } = this.#options;
    const address = findAddress(vm);
    const socket = this.#socket;
    if (address === undefined || socket === undefined || this.#pending.size >= MAX_PENDING_CALLS)
      return Promise.reject(createError(network.CALL_FAILURE.notSent, `no datagram to ${vm}`));
    this.#lastSequence += 1;
    const sequence = this.#lastSequence;
    const type = codec.DATAGRAM_TYPE.request;
    const datagram = { type, from: credentials.self, to: vm, sequence, kind, fields };
    return new Promise((resolve, reject) => {
      const onEnd = (): void => {
        cancelTimeout();
        signal?.removeEventListener("abort", onAbort);
        this.#pending.delete(sequence);
      };
      const onAbort = (): void => {
        onEnd();
        this.#options.metrics.count("datagram_calls", { result: "unanswered" });
        const text = `no reply of ${vm} to a datagram within ${timeoutMs} ms`;
        reject(createError(network.CALL_FAILURE.noReply, text));
      };
      const cancelTimeout = clock.schedule(timeoutMs, onAbort);
      signal?.addEventListener("abort", onAbort, { once: true });
      const onReply = (reply: codec.Datagram): void => {
        onEnd();
        this.#options.metrics.count("datagram_calls", { result: "answered" });
        resolve(reply);
      };
      this.#pending.set(sequence, { vm, onReply });
      try {
        socket.send(codec.encodeDatagram(datagram, credentials.keys), address);
      } catch (error) {
        onEnd();
        reject(createError(network.CALL_FAILURE.notSent, `datagram to ${vm} was not sent`, error));
      }
    });
  }

  #handleBytes(bytes: Uint8Array, from: network.PeerAddress): void {
    try {
      const datagram = codec.decodeDatagram(bytes, this.#options.credentials.keys);
      this.#datagramHandlers[datagram.type]?.(datagram, from);
    } catch (error) {
      if (!(error instanceof codec.InvalidDatagramError)) throw error;
      this.#recordRejection(from, error.message);
    }
  }

  async #handleRequest(datagram: codec.Datagram, from: network.PeerAddress): Promise<void> {
    const { credentials, handlers, log } = this.#options;
    const { vm } = credentials.self;
    if (datagram.to !== vm && !network.isSeedName(datagram.to)) {
      this.#recordRejection(from, `datagram for ${datagram.to}`);
      return;
    }
    if (datagram.from.vm === vm || !this.#replays.record(datagram.from, datagram.sequence)) {
      this.#recordRejection(from, `datagram ${datagram.sequence} of ${datagram.from.vm} replayed`);
      return;
    }
    const handler = handlers.findUnary(datagram.kind);
    if (handler === undefined || !this.#allowedKinds.has(datagram.kind)) {
      this.#sendReply(datagram, from, codec.DATAGRAM_TYPE.declined, undefined);
      return;
    }
    try {
      const request = handler.codecs.request.decode(datagram.fields);
      const reply = await handler.run(request, datagram.from, new AbortController().signal);
      const fields = handler.codecs.reply.encode(reply);
      this.#sendReply(datagram, from, codec.DATAGRAM_TYPE.reply, fields);
    } catch (error) {
      log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
      this.#sendReply(datagram, from, codec.DATAGRAM_TYPE.declined, undefined);
    }
  }

  #sendReply(
    request: codec.Datagram,
    address: network.PeerAddress,
    type: number,
    fields: unknown,
  ): void {
    const { credentials } = this.#options;
    const { sequence, kind } = request;
    const reply = { type, from: credentials.self, to: request.from.vm, sequence, kind, fields };
    try {
      this.#socket?.send(codec.encodeDatagram(reply, credentials.keys), address);
    } catch (error) {
      if (!(error instanceof codec.DatagramTooLargeError)) throw error;
      this.#sendReply(request, address, codec.DATAGRAM_TYPE.declined, undefined);
    }
  }

  #handleReply(datagram: codec.Datagram): void {
    const pending = this.#pending.get(datagram.sequence);
    const isExpected = pending?.vm === datagram.from.vm || network.isSeedName(pending?.vm ?? "");
    if (datagram.to === this.#options.credentials.self.vm && isExpected) pending?.onReply(datagram);
  }

  #recordRejection(from: network.PeerAddress, error: string): void {
    const { clock, log } = this.#options;
    this.#rejectedCount += 1;
    if (clock.now() < this.#nextRejectionLogAt) return;
    this.#nextRejectionLogAt = clock.now() + REJECTION_LOG_PERIOD_MS;
    const fields = { host: from.host, error, rejected: this.#rejectedCount };
    log.write(logEvents.LOG_EVENTS.datagramRejected, fields);
  }
}

function createError(
  failure: network.CallFailure,
  text: string,
  cause?: unknown,
): network.PeerCallError {
  return new network.PeerCallError(failure, text, { cause });
}
