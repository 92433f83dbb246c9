/** Types of the clients of model engines and plain services. */

/** Name and address of an upstream. */
export interface Upstream {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Identifies one attempt of a request on every hop. */
export interface AttemptId {
  readonly id: string;
  readonly attempt: number;
}

/** Command to compute the KV cache of a prompt. */
export interface PrefillCommand extends AttemptId {
  readonly model: string;
  readonly adapter?: string;
  readonly prompt: string;
  /** Output already delivered; generation continues after the prompt and this text. */
  readonly continuation: string;
  readonly priority: number;
  /** Milliseconds from now after which the engine drops the request on its own. */
  readonly deadlineMs: number;
}

/** Result of a prefill; kept for `expiresInMs` unless a decode runner fetches it earlier. */
export interface PrefillResult {
  readonly handle: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly pieces: number;
  readonly expiresInMs: number;
}

/** Command to fetch a KV cache and generate tokens. */
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

/** Events of a decode stream; a stream without `end` is truncated. */
export type DecodeEvent =
  | (AttemptId & { readonly type: "imported" })
  | (AttemptId & { readonly type: "token"; readonly offset: number; readonly text: string })
  | (AttemptId & {
      readonly type: "end";
      /** Offset after the last token, including tokens of earlier runs. */
      readonly tokens: number;
      readonly finishReason: FinishReason;
    });

/** A runner's load report; it lags behind the actual load. */
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

/** Prefix-cache change on a runner; numbers are consecutive, a gap means lost events. */
export interface CacheEvent {
  readonly number: number;
  readonly type: "stored" | "evicted";
  /** Hash of the prefix up to and including its last block. */
  readonly prefix: string;
}

/** Command to change the model, adapters or role that a runner serves. */
export interface RunnerOrder {
  readonly fencing: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: "prefill" | "decode";
}

/** How far an upstream call had progressed when it failed. */
export const UPSTREAM_FAILURE = {
  /** No connection was established, so nothing ran. */
  notConnected: "not-connected",
  /** Refused by the upstream before running. */
  refused: "refused",
  /** Failed after the connection was established; the call may have run. */
  broken: "broken",
} as const;

/** One of the values of `UPSTREAM_FAILURE`. */
export type UpstreamFailure = (typeof UPSTREAM_FAILURE)[keyof typeof UPSTREAM_FAILURE];

/** A failed call to an upstream. */
export class UpstreamError extends Error {
  override readonly name = "UpstreamError";
  readonly failure: UpstreamFailure;
  /** HTTP status of an error response, or the status in an engine's error message. */
  readonly status: number | undefined;

  constructor(failure: UpstreamFailure, message: string, status?: number, options?: ErrorOptions) {
    super(message, options);
    this.failure = failure;
    this.status = status;
  }
}

/** Calls model engines. Every method throws `UpstreamError`, the streams while they are iterated. */
export interface EngineClient {
  prefill(runner: Upstream, command: PrefillCommand, signal: AbortSignal): Promise<PrefillResult>;
  decode(runner: Upstream, command: DecodeCommand, signal: AbortSignal): AsyncIterable<DecodeEvent>;
  /** Reattaches to a running decode and streams from `offset`. */
  resume(
    runner: Upstream,
    attempt: AttemptId & { readonly offset: number },
    signal: AbortSignal,
  ): AsyncIterable<DecodeEvent>;
  /** Releases all engine resources of the attempts of `id` up to `attempt`; idempotent. */
  cancel(runner: Upstream, attempt: AttemptId, signal: AbortSignal): Promise<void>;
  readLoad(runner: Upstream, signal: AbortSignal): Promise<RunnerLoad>;
  readCacheEvents(runner: Upstream, after: number, signal: AbortSignal): Promise<CacheEvent[]>;
  sendOrder(runner: Upstream, order: RunnerOrder, signal: AbortSignal): Promise<void>;
}

/** A call to a plain service; the body is forwarded unchanged. */
export interface PlainRequest {
  readonly method: string;
  /** Path and query relative to the service's root, with a leading slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Calls plain services. */
export interface ServiceClient {
  /**
   * Sends a call on a connection of its own: on a shared one, an earlier answer that the backend writes once more would be
   * taken for the one to this call, as plain services name no request in their answers.
   *
   * @throws UpstreamError
   */
  send(backend: Upstream, request: PlainRequest, signal: AbortSignal): Promise<PlainResponse>;
}
