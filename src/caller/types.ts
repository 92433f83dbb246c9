/** Interfaces of sessions, plain calls, model calls and crash records. */
import type * as document from "../settings/document.js";
import type * as crashRecordFormat from "../request/crash-record-format.js";
import type * as upstream from "../upstream/types.js";

/** Identifies one incarnation of a node. */
export interface NodeRef {
  readonly vm: string;
  readonly incarnation: number;
}

/** Names the nodes that are responsible for a caller's request ids; encoded in each id. */
export interface Session {
  /** Makes ids of different sessions unique. */
  readonly nonce: string;
  readonly caller: string;
  /** The only incarnation that may run a non-idempotent request of this session. */
  readonly owner: NodeRef;
  /** Node that stores intents and results; `undefined` when the fleet had only one node. */
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
  /**
   * Creates a sealed session owned by this node. While this node is leaving, another one becomes
   * the owner, if there is any.
   */
  create(caller: string): string;
  /** Creates an id owned by this node for a request without one. */
  createRequestId(caller: string): RequestId;
  /**
   * Parses `<session>.<sequence>`.
   *
   * @throws RequestError `sessionInvalid` (also for another caller's session) or `sessionExpired`.
   */
  parse(text: string, caller: string): RequestId;
}

/** A caller's call to a plain service. */
export interface PlainCall {
  readonly caller: document.Caller;
  readonly service: document.PlainService;
  readonly operation: document.Operation;
  readonly id: RequestId | undefined;
  readonly attempt: number;
  readonly request: upstream.PlainRequest;
  readonly deadlineMs: number;
}

/** Runs plain calls with the delivery semantics that their operation declares. */
export interface PlainCalls extends AsyncDisposable {
  /** Returns the response of the service. @throws RequestError */
  run(call: PlainCall, signal: AbortSignal): Promise<upstream.PlainResponse>;
  /** Number of calls, runs and reports to backups in progress, for draining. */
  readonly activeCount: number;
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

/** Events of a model call in order, each offset once; without `end` the response is truncated. */
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
  /** Whether this node is running the request or still stores its complete response. */
  has(id: RequestId): boolean;
  /** Yields the response; `signal` aborts when the caller disconnects. @throws RequestError */
  run(call: ModelCall, signal: AbortSignal): AsyncIterable<ModelEvent>;
  /** Number of runs and of cancellations in progress, for draining. */
  readonly activeCount: number;
}

/**
 * Counts crashes by request fingerprint across the fleet; quarantines requests that crash several
 * upstreams.
 */
export interface CrashRecords {
  /** Computes the fingerprint of caller, service and body. */
  computeFingerprint(caller: string, service: string, body: string | Uint8Array): string;
  /**
   * Records that `upstream` crashed while it ran the requests with these fingerprints. Crashes of an upstream count
   * once; one that is known to have started again is given another name.
   *
   * @param at - monotonic time of the crash; the current time by default.
   */
  recordCrash(upstream: string, fingerprints: readonly string[], at?: number): void;
  /** Whether a crash of `upstream` under the request is recorded. */
  hasCrashed(fingerprint: string, upstream: string): boolean;
  /** Whether the request completed lately, so that it is unlikely to be the cause of crashes. */
  hasSucceededLately(fingerprint: string): boolean;
  /** Whether a request was in flight during a crash and has not completed since, or lately before. */
  isSuspect(fingerprint: string): boolean;
  /** Records that requests with the fingerprint have nothing else in common, so that two crashes show little. */
  markBroad(fingerprint: string): void;
  /** Records that a suspect generated tokens after a crash, which reduces the suspicion. */
  recordProgress(fingerprint: string): void;
  /**
   * Records that a request completed, after which it is no suspect.
   *
   * @param isHeld - whether runs without a known outcome may hold it back at peers, which are then told of the success.
   */
  recordSuccess(fingerprint: string, isHeld?: boolean): void;
  /** Whether requests with the fingerprint are refused, because they crashed several upstreams. */
  isQuarantined(fingerprint: string): boolean;
  /**
   * Returns the time in milliseconds after which a request with all of these fingerprints may be tried again, if it is
   * refused because of crashes.
   */
  findRefusal(fingerprints: readonly string[]): number | undefined;
  /** Lists the quarantined fingerprints for the status report. */
  listQuarantined(): readonly string[];
  /** Hash of the set of quarantined fingerprints; nodes compare it. */
  readonly digest: number;
  /** Returns the record of a fingerprint in its format for peers. */
  findRecord(fingerprint: string): crashRecordFormat.SentRecord | undefined;
  /** Returns up to `limit` records, those of quarantined requests first. */
  listRecords(limit: number): readonly crashRecordFormat.SentRecord[];
  /** Adds the evidence of a peer. */
  merge(records: readonly crashRecordFormat.SentRecord[]): void;
  /** Returns the last success of a fingerprint in its format for peers. */
  findSuccess(fingerprint: string): crashRecordFormat.SentSuccess | undefined;
  /** Clears the requests that succeeded at a peer. */
  mergeSuccesses(successes: readonly crashRecordFormat.SentSuccess[]): void;
  /** Calls `listener` with each fingerprint that a crash seen by this node implicates, or a success clears. */
  onChange(listener: (fingerprint: string) => void): void;
}
