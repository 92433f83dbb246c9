/** A connection of the in-memory network: two endpoints with an ordered pipe in each direction. */
import type * as clocks from "../src/kernel/clock.js";
import type * as network from "../src/protocol/network.js";
import * as asyncQueue from "./async-queue.js";

/** Network conditions that apply to frames in flight. */
export interface NetworkConditions {
  readonly clock: clocks.Clock;
  /** Whether frames from one node to the other are held back, although they are due. */
  isDeliverySuspended(from: string, to: string): boolean;
  /** Whether a node sends and receives no frames. */
  isFrozen(node: string): boolean;
  /** Returns the one-way delay in milliseconds. */
  getDelay(from: string, to: string): number;
  /** Counts a frame that a node sends. */
  recordFrame(): void;
}

/** A frame in flight; `undefined` instead of the frame marks the end of the stream. */
interface InFlightFrame {
  readonly arrivesAt: number;
  readonly frame: Uint8Array | undefined;
}

class Pipe {
  readonly inbox = new asyncQueue.AsyncQueue<Uint8Array>();
  readonly #conditions: NetworkConditions;
  readonly #from: string;
  readonly #to: string;
  readonly #inFlight: InFlightFrame[] = [];
  #bufferedBytes = 0;
  #silent = false;
  #cancelTimer: (() => void) | undefined;

  constructor(conditions: NetworkConditions, from: string, to: string) {
    this.#conditions = conditions;
    this.#from = from;
    this.#to = to;
  }

  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  send(frame: Uint8Array | undefined): void {
    this.#conditions.recordFrame();
    if (this.#silent || this.inbox.closed) return;
    const delayMs = this.#conditions.getDelay(this.#from, this.#to);
    const copy = frame === undefined ? undefined : Uint8Array.from(frame);
    this.#inFlight.push({ arrivesAt: this.#conditions.clock.now() + delayMs, frame: copy });
    this.#bufferedBytes += frame?.byteLength ?? 0;
    this.resumeDeliveries();
  }

  resumeDeliveries(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    if (this.#isSuspended()) return;
    const now = this.#conditions.clock.now();
    for (;;) {
      const next = this.#inFlight[0];
      if (next === undefined) return;
      if (next.arrivesAt > now) {
        this.#scheduleDelivery(next.arrivesAt - now);
        return;
      }
      this.#inFlight.shift();
      this.#deliver(next);
    }
  }

  silence(): void {
    this.#silent = true;
    this.#inFlight.length = 0;
    this.#bufferedBytes = 0;
  }

  reset(): void {
    this.#cancelTimer?.();
    this.#inFlight.length = 0;
    this.inbox.close(new Error("connection reset"));
  }

  #isSuspended(): boolean {
    return (
      this.#conditions.isDeliverySuspended(this.#from, this.#to) ||
      this.#conditions.isFrozen(this.#from)
    );
  }

  #scheduleDelivery(delayMs: number): void {
    this.#cancelTimer = this.#conditions.clock.schedule(delayMs, () => {
      this.resumeDeliveries();
    });
  }

  #deliver(delivered: InFlightFrame): void {
    if (delivered.frame === undefined) {
      this.inbox.close();
      return;
    }
    this.#bufferedBytes -= delivered.frame.byteLength;
    this.inbox.push(delivered.frame);
  }
}

class ChannelEnd implements network.FrameChannel {
  readonly #outgoing: Pipe;
  readonly #incoming: Pipe;
  readonly #onClose: () => void;
  #closed = false;

  constructor(outgoing: Pipe, incoming: Pipe, onClose: () => void) {
    this.#outgoing = outgoing;
    this.#incoming = incoming;
    this.#onClose = onClose;
  }

  get bufferedBytes(): number {
    return this.#outgoing.bufferedBytes;
  }

  send(frame: Uint8Array): void {
    this.#outgoing.send(frame);
  }

  receive(): AsyncIterable<Uint8Array> {
    return this.#incoming.inbox;
  }

  [Symbol.asyncDispose](): Promise<void> {
    if (this.#closed) return Promise.resolve();
    this.#closed = true;
    this.#outgoing.send(undefined);
    this.#incoming.inbox.close();
    this.#onClose();
    return Promise.resolve();
  }
}

/** Both endpoints of a connection, with methods to inject faults. */
export class MemoryConnection {
  readonly connectingEnd: network.FrameChannel;
  readonly acceptingEnd: network.FrameChannel;
  readonly #from: string;
  readonly #to: string;
  readonly #pipes: readonly Pipe[];
  readonly #onEnd: () => void;
  #closedEnds = 0;

  /** @param onEnd - called when both endpoints are closed or the connection is reset. */
  constructor(conditions: NetworkConditions, from: string, to: string, onEnd: () => void) {
    this.#from = from;
    this.#to = to;
    this.#onEnd = onEnd;
    const outbound = new Pipe(conditions, from, to);
    const inbound = new Pipe(conditions, to, from);
    this.#pipes = [outbound, inbound];
    const onClose = (): void => {
      this.#handleClose();
    };
    this.connectingEnd = new ChannelEnd(outbound, inbound, onClose);
    this.acceptingEnd = new ChannelEnd(inbound, outbound, onClose);
  }

  hasEndpoint(node: string): boolean {
    return this.#from === node || this.#to === node;
  }

  isBetween(first: string, second: string): boolean {
    const isForward = this.#from === first && this.#to === second;
    return isForward || (this.#from === second && this.#to === first);
  }

  /**
   * Drops the frames in flight and all further ones in both directions, without closing the
   * connection.
   */
  silence(): void {
    for (const pipe of this.#pipes) pipe.silence();
  }

  /** Resets the connection, with an error at both endpoints. */
  reset(): void {
    for (const pipe of this.#pipes) pipe.reset();
    this.#onEnd();
  }

  /** Delivers due frames whose delivery is no longer suspended. */
  resumeDeliveries(): void {
    for (const pipe of this.#pipes) pipe.resumeDeliveries();
  }

  #handleClose(): void {
    this.#closedEnds += 1;
    if (this.#closedEnds >= 2) this.#onEnd();
  }
}
