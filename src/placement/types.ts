/** Placing of model requests on runners. */

/** A model request that asks for a place. */
export interface PlaceRequest {
  /** The caller's id of this attempt. */
  readonly key: string;
  readonly service: string;
  /** What the request is about; the same when its caller sends it again. */
  readonly subject: string;
  readonly promptTokens: number;
  /** The caller's estimate of the output that is still to come. */
  readonly estimatedOutputTokens: number;
  /** Output that earlier places of this request have made. */
  readonly madeTokens: number;
  readonly maxOutputTokens: number;
  /** Time left until the first event is late; negative when it is. */
  readonly targetMs: number;
  /** Longest useful wait for a place. */
  readonly patienceMs: number;
  readonly zone: string;
  /** The runner that has read the prompt already, when another decode runner refused it. */
  readonly prefilledBy?: string;
  /** The runner that read the prompt last and may still have it in its cache. */
  readonly cachedBy?: string;
  /** Runners that failed this request or cannot be reached from its VM. */
  readonly excluded: readonly string[];
}

/** Where a request is to run. */
export interface Place {
  /** Reads the prompt; `undefined` when the decode runner does. */
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string;
}

/** Answer to a request for a place. */
export type PlaceAnswer =
  | { readonly granted: true; readonly place: Place }
  | {
      readonly granted: false;
      /** When a place is expected to be free. */
      readonly retryAfterMs: number;
    };

/** What a run made at its decode runner. */
export interface RunOutcome {
  readonly outputTokens: number;
  /** Time from the first to the last event. */
  readonly decodeMs: number;
  /** Whether the run made the whole answer. */
  readonly complete: boolean;
}

/** What became of a placed request. */
export interface PlaceProgress {
  readonly key: string;
  /** The prompt has been read, in this time. */
  readonly prefillMs?: number;
  /** A runner of its place that could not be reached or fell silent. */
  readonly failedRunner?: string;
  /** The request no longer uses its place. */
  readonly ended?: boolean;
  /** Output tokens that it made until it ended. */
  readonly outputTokens?: number;
  /** Whether these are the whole answer. */
  readonly complete?: boolean;
  /** Time from the first to the last event. */
  readonly decodeMs?: number;
}

/** A request that runs, as its VM tells a new scheduler. */
export interface RunningRequest {
  readonly key: string;
  readonly decodeRunner: string;
  readonly promptTokens: number;
  readonly estimatedOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Time since its decoding began. */
  readonly runningMs: number;
}
