/** Clients of model engines and plain services. */

/** Where an upstream listens. */
export interface Upstream {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Identifies one attempt of a request at every hop. */
export interface AttemptId {
  readonly id: string;
  readonly attempt: number;
}

/** Order to compute a prompt's KV cache. */
export interface PrefillCommand extends AttemptId {
  readonly model: string;
  readonly adapter?: string;
  readonly prompt: string;
  /** Output already delivered, to be continued after the prompt. */
  readonly continuation: string;
  readonly priority: number;
  /** Milliseconds from now after which the engine drops the work by itself. */
  readonly deadlineMs: number;
}

/** A prefill's result; it survives `expiresInMs` unless a decode runner fetches it. */
export interface PrefillResult {
  readonly handle: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly pieces: number;
  readonly expiresInMs: number;
}

/** Order to fetch a KV cache and generate. */
export interface DecodeCommand extends AttemptId {
  readonly model: string;
  readonly adapter?: string;
  readonly source: Upstream;
  readonly handle: string;
  /** Offset of the first token to generate. */
  readonly offset: number;
  readonly maxTokens: number;
  readonly priority: number;
  readonly deadlineMs: number;
}

/** Why generation ended. */
export const FINISH_REASON = { stop: "stop", length: "length", cancelled: "cancelled" } as const;

/** One of the values of `FINISH_REASON`. */
export type FinishReason = (typeof FINISH_REASON)[keyof typeof FINISH_REASON];

/** What a decode stream yields; a stream without its `end` is not whole. */
export type DecodeEvent =
  | (AttemptId & { readonly type: "imported" })
  | (AttemptId & { readonly type: "token"; readonly offset: number; readonly text: string })
  | (AttemptId & {
      readonly type: "end";
      /** Offset behind the last token, those of earlier runs included. */
      readonly tokens: number;
      readonly finishReason: FinishReason;
    });

/** A runner's load, as it reports it, late. */
export interface RunnerLoad {
  readonly slotsUsed: number;
  readonly slotsTotal: number;
  readonly piecesUsed: number;
  readonly piecesTotal: number;
  readonly queuedPrefillTokens: number;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly version: string;
  readonly role: "prefill" | "decode";
  readonly fencing: number;
  /** Age of the report when it was sent. */
  readonly ageMs: number;
  /** Requests that hold engine memory. */
  readonly held: readonly AttemptId[];
}

/** Prefix-cache change at a runner; numbers rise by one, a gap means lost events. */
export interface CacheEvent {
  readonly number: number;
  readonly type: "stored" | "evicted";
  /** Hash of the prefix up to and including its last block. */
  readonly prefix: string;
}

/** Order to change what a runner serves. */
export interface RunnerOrder {
  readonly fencing: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: "prefill" | "decode";
}

/** How far an upstream call got when it failed. */
export const UPSTREAM_FAILURE = {
  /** The connection was never made: nothing ran. */
  notConnected: "not-connected",
  /** Refused before running, by the upstream itself. */
  refused: "refused",
  /** Broke off after sending; it may have run. */
  broken: "broken",
} as const;

/** One of the values of `UPSTREAM_FAILURE`. */
export type UpstreamFailure = (typeof UPSTREAM_FAILURE)[keyof typeof UPSTREAM_FAILURE];

/** A call to an upstream that failed. */
export class UpstreamError extends Error {
  override readonly name = "UpstreamError";
  readonly failure: UpstreamFailure;
  /** HTTP status of a refusal. */
  readonly status: number | undefined;

  constructor(failure: UpstreamFailure, message: string, status?: number, options?: ErrorOptions) {
    super(message, options);
    this.failure = failure;
    this.status = status;
  }
}

/** Calls model engines. Every method throws `UpstreamError`. */
export interface EngineClient {
  prefill(runner: Upstream, command: PrefillCommand, signal: AbortSignal): Promise<PrefillResult>;
  decode(runner: Upstream, command: DecodeCommand, signal: AbortSignal): AsyncIterable<DecodeEvent>;
  /** Reads a running decode again from `offset`. */
  resume(
    runner: Upstream,
    attempt: AttemptId & { readonly offset: number },
    signal: AbortSignal,
  ): AsyncIterable<DecodeEvent>;
  /** Frees whatever the engine holds for attempts of `id` up to `attempt`; safe to repeat. */
  cancel(runner: Upstream, attempt: AttemptId, signal: AbortSignal): Promise<void>;
  readLoad(runner: Upstream, signal: AbortSignal): Promise<RunnerLoad>;
  readCacheEvents(runner: Upstream, after: number, signal: AbortSignal): Promise<CacheEvent[]>;
  sendOrder(runner: Upstream, order: RunnerOrder, signal: AbortSignal): Promise<void>;
}

/** A call to a plain service, body passed through. */
export interface PlainRequest {
  readonly method: string;
  /** Path and query below the service's root, beginning with a slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The answer of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Calls plain services. */
export interface ServiceClient {
  /**
   * @param newConnection - whether to use a new connection, as a non-idempotent call must.
   * @throws UpstreamError
   */
  send(
    backend: Upstream,
    request: PlainRequest,
    options: { readonly newConnection: boolean; readonly signal: AbortSignal },
  ): Promise<PlainResponse>;
}
