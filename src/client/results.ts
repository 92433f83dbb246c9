/** Request and result types of the caller client. */
import type * as codes from "../protocol/result-codes.js";

/** Options of one request. */
export interface RequestOptions {
  /** Time limit for all attempts together. */
  readonly deadlineMs?: number;
  /** W3C trace context to send with the request. */
  readonly traceparent?: string;
  readonly signal?: AbortSignal;
}

/** One message of a chat. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant";
  readonly content: string;
}

/** A model request: a prompt, or the messages of a chat. */
export type ModelRequest = {
  /** Model, or `model:adapter`. */
  readonly model: string;
  readonly maxTokens: number;
} & ({ readonly prompt: string } | { readonly messages: readonly ChatMessage[] });

/** A call to a plain service. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Whether the operation may run more than once. */
  readonly idempotent: boolean;
}

/** Token counts of a response. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Id of a request and the number of its attempts. */
export interface RequestRecord {
  /** The last id used; empty when no session was obtained. */
  readonly id: string;
  readonly attempts: number;
}

/** The result of a failed request. */
export interface Failure extends RequestRecord {
  readonly ok: false;
  /** Result code; `undefined` when the failure has none, as when no node was reachable. */
  readonly code: number | undefined;
  readonly message: string;
  readonly ran: codes.Ran;
  readonly retryAfterMs: number | undefined;
}

/** A complete response of a model. */
export interface ModelAnswer extends RequestRecord {
  readonly ok: true;
  readonly text: string;
  readonly finishReason: string;
  readonly usage: Usage;
}

/** A response of a plain service. */
export interface ServiceAnswer extends RequestRecord {
  readonly ok: true;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Events of a streamed model request: tokens, each offset once, then one final event. */
export type ModelStreamEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | { readonly type: "end"; readonly answer: ModelAnswer }
  | { readonly type: "failed"; readonly failure: Failure };
