/** Calls of a node to itself, which are handled in process. */
import type * as callHandlers from "./call-handlers.js";
import * as network from "./network.js";

/** Runs the handlers of the local node as if a peer had called. */
export class LocalCalls {
  readonly #self: network.PeerIdentity;
  readonly #handlers: callHandlers.CallHandlers;

  constructor(self: network.PeerIdentity, handlers: callHandlers.CallHandlers) {
    this.#self = self;
    this.#handlers = handlers;
  }

  /** @throws PeerCallError `gone`, `failed` or `noReply`. */
  async call<Request, Reply>(
    call: network.PeerCall<Request, Reply>,
    request: Request,
    incarnation: number | undefined,
    signal: AbortSignal,
  ): Promise<Reply> {
    this.#checkIncarnation(incarnation);
    const handler = this.#handlers.findUnary(call.kind);
    if (handler === undefined) throw createCallFailure(`no handler of call kind ${call.kind}`);
    const reply = handler.run(request, this.#self, signal);
    return (await waitForReply(call.name, reply, signal)) as Reply;
  }

  /** @throws PeerCallError `gone`, `failed` or `noReply`. */
  async *stream<Request, Item>(
    call: network.PeerCall<Request, Item>,
    request: Request,
    incarnation: number | undefined,
    signal: AbortSignal,
  ): AsyncGenerator<Item, undefined> {
    this.#checkIncarnation(incarnation);
    const handler = this.#handlers.findStream(call.kind);
    if (handler === undefined) throw createCallFailure(`no handler of call kind ${call.kind}`);
    using handlerSignal = createHandlerSignal(signal);
    const items = handler.run(request, this.#self, handlerSignal.signal)[Symbol.asyncIterator]();
    try {
      for (;;) {
        const next = await waitForReply(call.name, items.next(), signal);
        if (next.done === true) return;
        yield next.value as Item;
      }
    } finally {
      handlerSignal.stop();
      items.return?.().catch(() => undefined);
    }
  }

  #checkIncarnation(incarnation: number | undefined): void {
    if (incarnation === undefined || incarnation === this.#self.incarnation) return;
    const text = "that process of the own VM is gone";
    throw new network.PeerCallError(network.CALL_FAILURE.gone, text);
  }
}

interface HandlerSignal extends Disposable {
  readonly signal: AbortSignal;
  stop(): void;
}

/** Creates the signal passed to a handler; aborts with `parent` or when the reader stops iterating. */
function createHandlerSignal(parent: AbortSignal): HandlerSignal {
  const controller = new AbortController();
  const onAbort = (): void => {
    controller.abort(parent.reason);
  };
  if (parent.aborted) onAbort();
  parent.addEventListener("abort", onAbort, { once: true });
  return {
    signal: controller.signal,
    stop: () => {
      controller.abort(new Error("reader stopped"));
    },
    [Symbol.dispose]: () => {
      parent.removeEventListener("abort", onAbort);
    },
  };
}

function waitForReply<Value>(
  name: string,
  running: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      const options = { cause: signal.reason as unknown };
      const text = `no reply to ${name}`;
      reject(new network.PeerCallError(network.CALL_FAILURE.noReply, text, options));
    };
    if (signal.aborted) onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
    running
      .then(resolve, (error: unknown) => {
        reject(createCallFailure(error instanceof Error ? error.message : String(error), error));
      })
      .finally(() => {
        signal.removeEventListener("abort", onAbort);
      });
  });
}

function createCallFailure(text: string, cause?: unknown): network.PeerCallError {
  return new network.PeerCallError(network.CALL_FAILURE.failed, text, { cause });
}
