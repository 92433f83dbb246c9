/** Registry of call handlers by kind, used for calls of peers and of the local node. */
import * as fields from "./field-codec.js";
import type * as network from "./network.js";

/** Codecs of the request and the reply of a call. */
export interface CallCodecs<Request, Reply> {
  readonly request: fields.FieldCodec<Request>;
  readonly reply: fields.FieldCodec<Reply>;
}

/** Handler of a call with one reply. */
export interface UnaryHandler {
  readonly codecs: CallCodecs<unknown, unknown>;
  run(request: unknown, from: network.PeerIdentity, signal: AbortSignal): Promise<unknown>;
}

/** Handler of a call with a streamed reply. */
export interface StreamHandler {
  readonly codecs: CallCodecs<unknown, unknown>;
  run(request: unknown, from: network.PeerIdentity, signal: AbortSignal): AsyncIterable<unknown>;
}

type AnyCall = network.PeerCall<unknown, unknown>;

const codecsByCall = new WeakMap<AnyCall, CallCodecs<unknown, unknown>>();

/** Returns the codecs of a call, creating them on first use. */
export function useCallCodecs<Request, Reply>(
  call: network.PeerCall<Request, Reply>,
): CallCodecs<Request, Reply> {
  const key = call as unknown as AnyCall;
  let codecs = codecsByCall.get(key);
  if (codecs === undefined) {
    codecs = {
      request: fields.createFieldCodec(key.request),
      reply: fields.createFieldCodec(key.reply),
    };
    codecsByCall.set(key, codecs);
  }
  return codecs as unknown as CallCodecs<Request, Reply>;
}

/** Holds at most one handler for each kind of call. */
export class CallHandlers {
  readonly #unary = new Map<number, UnaryHandler>();
  readonly #streams = new Map<number, StreamHandler>();

  /** @throws when the kind already has a handler. */
  addUnary(kind: number, handler: UnaryHandler): void {
    this.#checkFree(kind);
    this.#unary.set(kind, handler);
  }

  /** @throws when the kind already has a handler. */
  addStream(kind: number, handler: StreamHandler): void {
    this.#checkFree(kind);
    this.#streams.set(kind, handler);
  }

  findUnary(kind: number): UnaryHandler | undefined {
    return this.#unary.get(kind);
  }

  findStream(kind: number): StreamHandler | undefined {
    return this.#streams.get(kind);
  }

  #checkFree(kind: number): void {
    if (this.#unary.has(kind) || this.#streams.has(kind)) {
      throw new Error(`call kind ${kind} already has a handler`);
    }
  }
}
