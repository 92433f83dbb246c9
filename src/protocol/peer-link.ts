/** What both ends of a proved connection share: sending messages, heartbeats and the silence limit. */
import * as clocks from "../kernel/clock.js";
import * as frames from "./frame-decoder.js";
import * as messages from "./message-codec.js";
import type * as network from "./network.js";

/** Time between two looks at a connection; a ping goes out each time. */
export const HEARTBEAT_PERIOD_MS = 500;
/** Silent periods in a row after which a connection is closed. */
export const MAX_SILENT_PERIODS = 3;
/** Unsent bytes above which a connection is closed, for its peer doesn't read. */
export const MAX_BUFFERED_BYTES = 16 * 1_048_576;

/** A connection whose peer has proved its identity. */
export class PeerLink {
  readonly peer: network.PeerIdentity;
  readonly #channel: network.FrameChannel;
  readonly #frames: AsyncIterator<Uint8Array>;
  readonly #clock: clocks.Clock;
  readonly #controller = new AbortController();
  #hasReceived = true;

  constructor(
    peer: network.PeerIdentity,
    channel: network.FrameChannel,
    receivedFrames: AsyncIterator<Uint8Array>,
    clock: clocks.Clock,
  ) {
    this.peer = peer;
    this.#channel = channel;
    this.#frames = receivedFrames;
    this.#clock = clock;
  }

  /** Aborts when the connection ends, with the cause. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Queues a message.
   *
   * @returns whether it was handed to the connection; `false` once that has ended.
   * @throws FrameLengthError when the message is too large; the connection goes on.
   */
  send(message: messages.Message): boolean {
    if (this.signal.aborted) return false;
    const frame = messages.encodeMessage(message);
    if (frame.byteLength > frames.MAX_FRAME_BYTES) {
      throw new frames.FrameLengthError(`message of ${frame.byteLength} bytes`);
    }
    this.#channel.send(frame);
    if (this.#channel.bufferedBytes > MAX_BUFFERED_BYTES) this.close("peer does not read");
    return true;
  }

  /** Ends the connection; safe to call again. */
  close(reason: string, cause?: unknown): void {
    if (this.signal.aborted) return;
    this.#controller.abort(new Error(reason, { cause }));
    void this.#channel[Symbol.asyncDispose]();
  }

  /**
   * Hands each received message to `onMessage` until the connection ends.
   *
   * @throws MalformedMessageError, FrameLengthError or what `onMessage` throws.
   */
  async run(onMessage: (message: messages.Message) => void): Promise<void> {
    try {
      for (;;) {
        const next = await this.#frames.next();
        if (next.done === true || this.signal.aborted) return;
        this.#hasReceived = true;
        onMessage(messages.decodeMessage(next.value));
      }
    } catch (error) {
      this.close("connection broke", error);
      throw error;
    } finally {
      this.close("peer closed the connection");
    }
  }

  /**
   * Watches the connection until it ends. Periods are counted in place of time, so that a process
   * that was paused itself does not take its own pause for the peer's silence.
   *
   * @param onPeriod - called once a period, while the connection lasts.
   */
  async runHeartbeat(onPeriod: () => void): Promise<void> {
    let silentPeriods = 0;
    while (await this.#waitForPeriod()) {
      silentPeriods = this.#hasReceived ? 0 : silentPeriods + 1;
      this.#hasReceived = false;
      if (silentPeriods >= MAX_SILENT_PERIODS) this.close("peer is silent");
      else onPeriod();
    }
  }

  /** Returns whether the connection still lasts after one period. */
  async #waitForPeriod(): Promise<boolean> {
    try {
      await clocks.sleep(this.#clock, HEARTBEAT_PERIOD_MS, this.signal);
      return true;
    } catch {
      return false;
    }
  }

  /** Sends a ping; each period one goes out, so that either end hears the other. */
  sendPing(): void {
    this.#sendEmpty(messages.MESSAGE_TYPE.ping);
  }

  /** Answers a ping. */
  sendPong(): void {
    this.#sendEmpty(messages.MESSAGE_TYPE.pong);
  }

  #sendEmpty(type: number): void {
    this.send({ type, correlation: 0, kind: 0, fields: undefined });
  }
}
