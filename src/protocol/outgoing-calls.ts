/** Calls that this node sends on one connection. */
import type * as clocks from "../kernel/clock.js";
import * as asyncQueue from "./async-queue.js";
import * as handlers from "./call-handlers.js";
import * as messages from "./message-codec.js";
import * as network from "./network.js";
import type * as peerLink from "./peer-link.js";

/** Maximum number of pending calls per connection; further ones fail without being sent. */
export const MAX_OUTSTANDING_CALLS = 4096;
/** Number of items that a stream may send ahead of its reader. */
export const STREAM_WINDOW_ITEMS = 64;
/** Number of consumed items after which the reader grants credit for as many more. */
const CREDIT_STEP_ITEMS = STREAM_WINDOW_ITEMS / 2;

interface PendingCall {
  onReply(fields: unknown): void;
  onItem(fields: unknown): void;
  onEnd(): void;
  /** Ends the call with an error. */
  onFailure(error: network.PeerCallError): void;
}

/** Sends calls over a link and matches replies to them by their correlation number. */
export class OutgoingCalls {
  readonly #link: peerLink.PeerLink;
  readonly #clock: clocks.Clock;
  readonly #onUnanswered: (sentAt: number) => void;
  readonly #pending = new Map<number, PendingCall>();
  #lastCorrelation = 0;

  readonly #messageHandlers: Readonly<
    Record<number, (pending: PendingCall, message: messages.Message) => void>
  > = {
    [messages.MESSAGE_TYPE.reply]: (pending, message) => {
      this.#pending.delete(message.correlation);
      pending.onReply(message.fields);
    },
    [messages.MESSAGE_TYPE.item]: (pending, message) => {
      pending.onItem(message.fields);
    },
    [messages.MESSAGE_TYPE.end]: (pending, message) => {
      this.#pending.delete(message.correlation);
      pending.onEnd();
    },
    [messages.MESSAGE_TYPE.error]: (pending, message) => {
      this.#pending.delete(message.correlation);
      const text = typeof message.fields === "string" ? message.fields : "no reason given";
      pending.onFailure(new network.PeerCallError(network.CALL_FAILURE.failed, text));
    },
  };

  /** @param onUnanswered - called when a call is given up before its first answer, with the time at which it was sent. */
  constructor(
    link: peerLink.PeerLink,
    clock: clocks.Clock,
    onUnanswered: (sentAt: number) => void,
  ) {
    this.#link = link;
    this.#clock = clock;
    this.#onUnanswered = onUnanswered;
  }

  /** Number of pending calls. */
  get size(): number {
    return this.#pending.size;
  }

  /** Handles a message that answers a call; dropped if the call is no longer pending. */
  handleMessage(message: messages.Message): void {
    const pending = this.#pending.get(message.correlation);
    if (pending !== undefined) this.#messageHandlers[message.type]?.(pending, message);
  }

  /** Fails all pending calls, after the connection was lost. */
  close(cause: unknown): void {
    const failure = createNoReplyError("connection was lost", cause);
    const failed = [...this.#pending.values()];
    this.#pending.clear();
    for (const pending of failed) pending.onFailure(failure);
  }

  /** @throws PeerCallError */
  call<Request, Reply>(
    call: network.PeerCall<Request, Reply>,
    request: Request,
    signal: AbortSignal,
  ): Promise<Reply> {
    const codecs = handlers.useCallCodecs(call);
    const sentAt = this.#clock.now();
    return new Promise<Reply>((resolve, reject) => {
      const onAbort = (): void => {
        this.#cancel(correlation);
        this.#onUnanswered(sentAt);
        reject(createNoReplyError(`no reply to ${call.name}`, signal.reason));
      };
      const removeAbortListener = (): void => {
        signal.removeEventListener("abort", onAbort);
      };
      const pending: PendingCall = {
        onReply: (fields) => {
          removeAbortListener();
          try {
            resolve(codecs.reply.decode(fields));
          } catch (error) {
            reject(createMalformedError(call.name, error));
          }
        },
        onItem: () => undefined,
        onEnd: () => {
          removeAbortListener();
          reject(createMalformedError(call.name, new Error("end in place of a reply")));
        },
        onFailure: (error) => {
          removeAbortListener();
          reject(error);
        },
      };
      const correlation = this.#send(messages.MESSAGE_TYPE.call, call, request, pending);
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** @throws PeerCallError */
  async *stream<Request, Item>(
    call: network.PeerCall<Request, Item>,
    request: Request,
    signal: AbortSignal,
  ): AsyncGenerator<Item, undefined> {
    const codecs = handlers.useCallCodecs(call);
    const queue = new asyncQueue.AsyncQueue<unknown>();
    const pending = this.#createPendingStream(call.name, queue);
    const sentAt = this.#clock.now();
    const correlation = this.#send(messages.MESSAGE_TYPE.stream, call, request, pending);
    const onAbort = (): void => {
      queue.close(createNoReplyError(`${call.name} was given up`, signal.reason));
    };
    signal.addEventListener("abort", onAbort, { once: true });
    let consumed = 0;
    try {
      for await (const item of queue) {
        consumed += 1;
        if (consumed % CREDIT_STEP_ITEMS === 0) this.#sendCredit(correlation);
        yield this.#decodeItem(call.name, codecs, item);
      }
    } finally {
      signal.removeEventListener("abort", onAbort);
      this.#cancel(correlation);
      if (consumed === 0) this.#onUnanswered(sentAt);
    }
  }

  #createPendingStream(name: string, queue: asyncQueue.AsyncQueue<unknown>): PendingCall {
    return {
      onReply: () => {
        queue.close(createMalformedError(name, new Error("reply in place of items")));
      },
      onItem: (fields) => {
        queue.push(fields);
        if (queue.length > STREAM_WINDOW_ITEMS) this.#link.close("peer exceeds the stream window");
      },
      onEnd: () => {
        queue.close();
      },
      onFailure: (error) => {
        queue.close(error);
      },
    };
  }

  #decodeItem<Request, Item>(
    name: string,
    codecs: handlers.CallCodecs<Request, Item>,
    item: unknown,
  ): Item {
    try {
      return codecs.reply.decode(item);
    } catch (error) {
      throw createMalformedError(name, error);
    }
  }

  /**
   * Sends the request of a call and returns its correlation number.
   *
   * @throws PeerCallError `notSent`, or what the codec throws for an invalid request.
   */
  #send<Request, Reply>(
    type: number,
    call: network.PeerCall<Request, Reply>,
    request: Request,
    pending: PendingCall,
  ): number {
    if (this.#pending.size >= MAX_OUTSTANDING_CALLS)
      throw createNotSentError("too many calls wait");
    this.#lastCorrelation += 1;
    const correlation = this.#lastCorrelation;
    const fields = handlers.useCallCodecs(call).request.encode(request);
    this.#pending.set(correlation, pending);
    try {
      if (this.#link.send({ type, correlation, kind: call.kind, fields })) return correlation;
    } catch (error) {
      this.#pending.delete(correlation);
      throw createNotSentError(`${call.name} was not sent`, error);
    }
    this.#pending.delete(correlation);
    throw createNotSentError("connection has ended");
  }

  #sendCredit(correlation: number): void {
    if (!this.#pending.has(correlation)) return;
    const type = messages.MESSAGE_TYPE.credit;
    this.#link.send({ type, correlation, kind: CREDIT_STEP_ITEMS, fields: undefined });
  }

  /** Notifies the peer that the call is cancelled, unless it has already ended. */
  #cancel(correlation: number): void {
    if (!this.#pending.delete(correlation)) return;
    const type = messages.MESSAGE_TYPE.cancel;
    this.#link.send({ type, correlation, kind: 0, fields: undefined });
  }
}

function createNotSentError(text: string, cause?: unknown): network.PeerCallError {
  return new network.PeerCallError(network.CALL_FAILURE.notSent, text, { cause });
}

function createNoReplyError(text: string, cause: unknown): network.PeerCallError {
  return new network.PeerCallError(network.CALL_FAILURE.noReply, text, { cause });
}

function createMalformedError(name: string, cause: unknown): network.PeerCallError {
  return createNoReplyError(`reply to ${name} is malformed`, cause);
}
