/**
 * Common part of both ends of an authenticated connection: messages, heartbeats and time-outs. Heartbeats run only while an
 * end waits for the other one; an idle connection costs one timer.
 */
import * as clocks from "../kernel/clock.js";
import * as frames from "./frame-decoder.js";
import * as messages from "./message-codec.js";
import type * as network from "./network.js";

/**
 * Time between two checks of a connection that is in use; the end that opened it sends a ping at each.
 */
export const HEARTBEAT_PERIOD_MS = 500;
/** Consecutive periods without a received message after which a connection is closed. */
export const MAX_SILENT_PERIODS = 3;
/** Unsent bytes above which a connection is closed, because its peer does not read. */
export const MAX_BUFFERED_BYTES = 16 * 1_048_576;

/** A connection to an authenticated peer. */
export class PeerLink {
  readonly peer: network.PeerIdentity;
  readonly #channel: network.FrameChannel;
  readonly #frames: AsyncIterator<Uint8Array>;
  readonly #clock: clocks.Clock;
  readonly #controller = new AbortController();
  #hasReceived = true;
  #isHeartbeatRunning = false;
  #lastReceivedAt: number;

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
    this.#lastReceivedAt = clock.now();
  }

  /** Monotonic time of the last received message; the opening time before the first one. */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  /** Aborts when the connection ends, with the cause. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * Queues a message.
   *
   * @returns whether it was queued; `false` if the connection had already ended. `true` does not
   *   imply delivery: a send that exceeds `MAX_BUFFERED_BYTES` closes the connection.
   * @throws FrameLengthError when the message is too large; the connection stays open.
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

  /** Closes the connection; safe to call more than once. */
  close(reason: string, cause?: unknown): void {
    if (this.signal.aborted) return;
    this.#controller.abort(new Error(reason, { cause }));
    void this.#channel[Symbol.asyncDispose]();
  }

  /**
   * Passes each received message to `onMessage` until the connection ends.
   *
   * @throws MalformedMessageError, FrameLengthError, a network error or what `onMessage` throws.
   */
  async run(onMessage: (message: messages.Message) => void): Promise<void> {
    try {
      for (;;) {
        const next = await this.#frames.next();
        if (next.done === true || this.signal.aborted) return;
        this.#hasReceived = true;
        this.#lastReceivedAt = this.#clock.now();
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
   * Monitors the connection while it is in use; does nothing if it is monitored already. Silence is measured in periods,
   * not in elapsed time, so that a pause of the local process is not mistaken for silence of the peer.
   *
   * @param isInUse - whether either end waits for the other one; monitoring ends when it returns false.
   * @param onPeriod - called once per period while the connection is open and in use.
   */
  async runHeartbeat(isInUse: () => boolean, onPeriod: () => void): Promise<void> {
    if (this.#isHeartbeatRunning) return;
    this.#isHeartbeatRunning = true;
    let silentPeriods = 0;
    this.#hasReceived = true;
    while ((await this.#waitForPeriod()) && isInUse()) {
      silentPeriods = this.#hasReceived ? 0 : silentPeriods + 1;
      this.#hasReceived = false;
      if (silentPeriods >= MAX_SILENT_PERIODS) this.close("peer is silent");
      else onPeriod();
    }
    this.#isHeartbeatRunning = false;
  }

  /**
   * Closes the connection once it has been idle for `limitMs`.
   *
   * @param findIdleSince - returns the monotonic time of the last use, `undefined` while it is in use.
   */
  async runIdleCheck(limitMs: number, findIdleSince: () => number | undefined): Promise<void> {
    let waitMs = limitMs;
    while (await this.#waitWhileOpen(waitMs)) {
      const idleSince = findIdleSince() ?? this.#clock.now();
      waitMs = idleSince + limitMs - this.#clock.now();
      if (waitMs <= 0) this.close("connection is idle or too old");
    }
  }

  #waitForPeriod(): Promise<boolean> {
    return this.#waitWhileOpen(HEARTBEAT_PERIOD_MS);
  }

  /** Waits; returns whether the connection is still open. */
  async #waitWhileOpen(waitMs: number): Promise<boolean> {
    try {
      await clocks.sleep(this.#clock, waitMs, this.signal);
      return true;
    } catch {
      return false;
    }
  }

  /** Sends a ping. One ping and its pong per period keep both ends from timing out. */
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
