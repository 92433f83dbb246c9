/** What a caller asks of the fleet and what it gets back. */
import type * as codes from "../protocol/result-codes.js";

/** Limits and headers of one request. */
export interface RequestOptions {
  /** Time for all attempts together. */
  readonly deadlineMs?: number;
  /** W3C trace context to send along. */
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
  /** Whether the operation may be run again. */
  readonly idempotent: boolean;
}

/** Token counts of an answer. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Identity of a request and the number of its attempts. */
export interface RequestRecord {
  /** The last id used; empty when no node gave a session. */
  readonly id: string;
  readonly attempts: number;
}

/** A request without an answer. */
export interface Failure extends RequestRecord {
  readonly ok: false;
  /** Result code, absent when no node answered. */
  readonly code: number | undefined;
  readonly message: string;
  readonly ran: codes.Ran;
  readonly retryAfterMs: number | undefined;
}

/** A whole answer of a model. */
export interface ModelAnswer extends RequestRecord {
  readonly ok: true;
  readonly text: string;
  readonly finishReason: string;
  readonly usage: Usage;
}

/** An answer of a plain service. */
export interface ServiceAnswer extends RequestRecord {
  readonly ok: true;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** What a streamed model request yields: tokens, each offset once, then one last event. */
export type ModelStreamEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | { readonly type: "end"; readonly answer: ModelAnswer }
  | { readonly type: "failed"; readonly failure: Failure };
