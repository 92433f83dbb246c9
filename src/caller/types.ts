/** Sessions and the two kinds of calls, as the HTTP front uses them. */
import type * as document from "../settings/document.js";
import type * as upstream from "../upstream/types.js";

/** An incarnation of a node. */
export interface NodeRef {
  readonly vm: string;
  readonly incarnation: number;
}

/** Authority over request ids, carried inside each id. */
export interface Session {
  /** Random part that makes ids of different sessions differ. */
  readonly nonce: string;
  readonly caller: string;
  /** The only incarnation that may run a non-idempotent request of this session. */
  readonly owner: NodeRef;
  /** Where intents and results are recorded; absent when the fleet had one node. */
  readonly backup: NodeRef | undefined;
  /** Wall-clock milliseconds since the epoch. */
  readonly expiresAt: number;
}

/** A parsed and verified request id, `<session>.<sequence>`. */
export interface RequestId {
  readonly text: string;
  readonly session: Session;
  readonly sequence: number;
}

/** Creates and verifies sessions. */
export interface Sessions {
  /** Creates a sealed session owned by this node, or by another while this one leaves. */
  create(caller: string): string;
  /** Creates an id owned by this node for a request that came without one. */
  createRequestId(caller: string): RequestId;
  /**
   * Parses `<session>.<sequence>`.
   *
   * @throws RequestError `sessionInvalid` (also for another caller's) or `sessionExpired`.
   */
  parse(text: string, caller: string): RequestId;
}

/** A plain call from a caller. */
export interface PlainCall {
  readonly caller: document.Caller;
  readonly service: document.PlainService;
  readonly operation: document.Operation;
  readonly id: RequestId | undefined;
  readonly attempt: number;
  readonly request: upstream.PlainRequest;
  readonly deadlineMs: number;
}

/** Runs plain calls by the contract of their operation. */
export interface PlainCalls extends AsyncDisposable {
  /** @throws RequestError */
  run(call: PlainCall, signal: AbortSignal): Promise<upstream.PlainResponse>;
  /** Number of calls in progress, for draining. */
  readonly active: number;
}

/** A model request from a caller. */
export interface ModelCall {
  readonly caller: document.Caller;
  readonly model: document.Model;
  readonly adapter?: string;
  readonly id: RequestId | undefined;
  readonly attempt: number;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
  readonly deadlineMs: number;
}

/** What a model call yields, in order, each offset once; without `end` the answer is not whole. */
export type ModelEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | {
      readonly type: "end";
      readonly finishReason: upstream.FinishReason;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly completionTokens: number;
    };

/** Runs model requests. */
export interface ModelCalls extends AsyncDisposable {
  /** Whether this node runs the request now, or keeps its whole answer. */
  has(id: RequestId): boolean;
  /** Yields the answer; aborting `signal` means the caller is gone. @throws RequestError */
  run(call: ModelCall, signal: AbortSignal): AsyncIterable<ModelEvent>;
  readonly active: number;
}

/** Counts crashes by content, fleet-wide, and quarantines what crashes runner after runner. */
export interface CrashRecords {
  /** Returns the fingerprint of caller, service and body. */
  computeFingerprint(caller: string, service: string, body: string | Uint8Array): string;
  /** Records that `upstream` crashed while it ran these fingerprints, one or many at once. */
  recordCrash(upstream: string, fingerprints: readonly string[]): void;
  /** Whether a request was in flight at a crash and has not yet run to its end. */
  isSuspected(fingerprint: string): boolean;
  /** Records that an accused request generated tokens again, so that others are suspected first. */
  recordProgress(fingerprint: string): void;
  /** Records that a request ran to its end, which clears a bystander. */
  recordSuccess(fingerprint: string): void;
  isQuarantined(fingerprint: string): boolean;
  /** Fingerprints under quarantine, for status. */
  listQuarantined(): readonly string[];
}
