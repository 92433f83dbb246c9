/** Serves the calls of a peer on one connection. */
import type * as handlers from "./call-handlers.js";
import * as messages from "./message-codec.js";
import * as outgoing from "./outgoing-calls.js";
import type * as peerLink from "./peer-link.js";

/** Maximum number of concurrent calls per connection; further ones are answered with an error. */
export const MAX_SERVED_CALLS = 4096;
/** Length to which the text of an error is truncated before it is sent to the peer. */
const MAX_ERROR_CHARACTERS = 300;

interface ServedCall {
  readonly controller: AbortController;
  /** Number of items that may be sent before the reader grants more credit. */
  credit: number;
  /** Resumes a stream that waits for credit. */
  onCredit: (() => void) | undefined;
}

/** Serves the calls of one peer concurrently. */
export class IncomingCalls {
  readonly #link: peerLink.PeerLink;
  readonly #handlers: handlers.CallHandlers;
  readonly #onError: (error: unknown) => void;
  readonly #served = new Map<number, ServedCall>();

  readonly #messageHandlers: Readonly<Record<number, (message: messages.Message) => void>> = {
    [messages.MESSAGE_TYPE.ping]: () => {
      this.#link.sendPong();
    },
    [messages.MESSAGE_TYPE.call]: (message) => {
      this.#handleStart(message, (served) => this.#runUnary(message, served));
    },
    [messages.MESSAGE_TYPE.stream]: (message) => {
      this.#handleStart(message, (served) => this.#runStream(message, served));
    },
    [messages.MESSAGE_TYPE.cancel]: (message) => {
      this.#served.get(message.correlation)?.controller.abort(new Error("peer cancelled the call"));
    },
    [messages.MESSAGE_TYPE.credit]: (message) => {
      this.#handleCredit(message);
    },
  };

  /** @param onError - called with each error that fails a call, unless the call was aborted. */
  constructor(
    link: peerLink.PeerLink,
    callHandlers: handlers.CallHandlers,
    onError: (error: unknown) => void,
  ) {
    this.#link = link;
    this.#handlers = callHandlers;
    this.#onError = onError;
  }

  /** Number of calls in progress. */
  get size(): number {
    return this.#served.size;
  }

  /**
   * Handles one message.
   *
   * @throws MalformedMessageError
   */
  handleMessage(message: messages.Message): void {
    const handler = this.#messageHandlers[message.type];
    if (handler === undefined) {
      throw new messages.MalformedMessageError(`unexpected message type ${message.type}`);
    }
    handler(message);
  }

  /** Aborts all calls in progress, after the connection was lost. */
  close(cause: unknown): void {
    for (const served of this.#served.values()) served.controller.abort(cause);
  }

  #handleStart(message: messages.Message, run: (served: ServedCall) => Promise<void>): void {
    if (this.#served.has(message.correlation)) {
      throw new messages.MalformedMessageError(
        `call ${message.correlation} is already in progress`,
      );
    }
    if (this.#served.size >= MAX_SERVED_CALLS) {
      this.#sendError(message.correlation, "too many calls at once");
      return;
    }
    const served: ServedCall = {
      controller: new AbortController(),
      credit: outgoing.STREAM_WINDOW_ITEMS,
      onCredit: undefined,
    };
    this.#served.set(message.correlation, served);
    void this.#handle(message, served, run);
  }

  async #handle(
    message: messages.Message,
    served: ServedCall,
    run: (served: ServedCall) => Promise<void>,
  ): Promise<void> {
    try {
      await run(served);
    } catch (error) {
      if (!served.controller.signal.aborted) this.#onError(error);
      this.#sendError(message.correlation, formatError(error));
    } finally {
      this.#served.delete(message.correlation);
    }
  }

  async #runUnary(message: messages.Message, served: ServedCall): Promise<void> {
    const handler = this.#handlers.findUnary(message.kind);
    if (handler === undefined) {
      this.#sendError(message.correlation, `no handler of call kind ${message.kind}`);
      return;
    }
    const request = handler.codecs.request.decode(message.fields);
    const reply = await handler.run(request, this.#link.peer, served.controller.signal);
    this.#sendReply(messages.MESSAGE_TYPE.reply, message, handler.codecs.reply.encode(reply));
  }

  async #runStream(message: messages.Message, served: ServedCall): Promise<void> {
    const handler = this.#handlers.findStream(message.kind);
    if (handler === undefined) {
      this.#sendError(message.correlation, `no handler of streamed call kind ${message.kind}`);
      return;
    }
    const { signal } = served.controller;
    const request = handler.codecs.request.decode(message.fields);
    for await (const item of handler.run(request, this.#link.peer, signal)) {
      if (served.credit === 0) await waitForCredit(served);
      if (signal.aborted) return;
      served.credit -= 1;
      this.#sendReply(messages.MESSAGE_TYPE.item, message, handler.codecs.reply.encode(item));
    }
    this.#sendReply(messages.MESSAGE_TYPE.end, message, undefined);
  }

  #handleCredit(message: messages.Message): void {
    const served = this.#served.get(message.correlation);
    if (served === undefined) return;
    served.credit = Math.min(served.credit + message.kind, outgoing.STREAM_WINDOW_ITEMS);
    served.onCredit?.();
  }

  #sendReply(type: number, message: messages.Message, fields: unknown): void {
    this.#link.send({ type, correlation: message.correlation, kind: 0, fields });
  }

  #sendError(correlation: number, text: string): void {
    const fields = text.slice(0, MAX_ERROR_CHARACTERS);
    this.#link.send({ type: messages.MESSAGE_TYPE.error, correlation, kind: 0, fields });
  }
}

/** Waits until the reader grants credit or the call is aborted. */
function waitForCredit(served: ServedCall): Promise<void> {
  return new Promise((resolve) => {
    const onResume = (): void => {
      served.onCredit = undefined;
      served.controller.signal.removeEventListener("abort", onResume);
      resolve();
    };
    served.onCredit = onResume;
    served.controller.signal.addEventListener("abort", onResume, { once: true });
    if (served.controller.signal.aborted) onResume();
  });
}

function formatError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
