/** Placement of model requests on runners. */

import type * as sharing from "../sharing/team-shares.js";

/** Limit on the runners that a request excludes. */
export const MAX_EXCLUDED = 16;

/** A model request to be placed. */
export interface PlacementRequest {
  /** Placement key: `{call id}/{number of the placement}`. */
  readonly key: string;
  readonly service: string;
  /** Identifies the request across its caller's retries. */
  readonly retryKey: string;
  readonly promptTokens: number;
  /** The caller's estimate of the remaining output. */
  readonly estimatedOutputTokens: number;
  /** Output that earlier placements of this request have generated. */
  readonly generatedTokens: number;
  readonly maxOutputTokens: number;
  /**
   * Remaining time to the latency target, or to the gap target when a stream is resumed; negative
   * when it has passed.
   */
  readonly targetMs: number;
  /** Longest useful wait for a placement. */
  readonly maxWaitMs: number;
  readonly zone: string;
  /**
   * The runner that keeps the prefilled prompt; set when the request is placed again before its
   * prompt was fetched.
   */
  readonly prefilledBy?: string;
  /** The runner that processed the prompt last and may still have it in its cache. */
  readonly cachedBy?: string;
  /** Runners that failed this request or could not be reached from its VM. */
  readonly excluded: readonly string[];
  /** Whether the decode runner processes the prompt itself. */
  readonly skipsPrefill?: boolean;
  /** Software version of the decode runner, for a stream that another run began. */
  readonly softwareVersion?: string | undefined;
  /** Rank among the requests of the service, 0 first; absent where all rank alike. */
  readonly priority?: number | undefined;
  /** Team of the caller; absent where the configuration has no teams. */
  readonly team?: sharing.ShareHolder | undefined;
}

/** The runners of a request. */
export interface Placement {
  /** Processes the prompt; `undefined` when the decode runner does. */
  readonly prefillRunner: string | undefined;
  readonly decodeRunner: string;
}

/** Result of a placement request. */
export type PlacementResult =
  | { readonly granted: true; readonly place: Placement }
  | {
      readonly granted: false;
      /** Time after which capacity is expected. */
      readonly retryAfterMs: number;
    };

/** Outcome of a run on its decode runner. */
export interface RunOutcome {
  readonly outputTokens: number;
  /** Time from the first to the last event. */
  readonly decodeMs: number;
  /** Whether this run generated the whole response. */
  readonly complete: boolean;
}

/** Progress of a placed request; each report sets only the fields that changed. */
export interface PlacementProgress {
  readonly key: string;
  /** Set when the prefill has finished: its duration. */
  readonly prefillMs?: number;
  /** A runner of the placement that could not be reached or responded with status 421. */
  readonly failedRunner?: string;
  /** Whether the placement has been released. */
  readonly ended?: boolean;
  /** Output tokens that the run generated. */
  readonly outputTokens?: number;
  /** Whether they are the whole response. */
  readonly complete?: boolean;
  /** Time from the first to the last event. */
  readonly decodeMs?: number;
}

/** A running request, as its VM reports it to a new scheduler. */
export interface RunningRequest {
  readonly key: string;
  readonly decodeRunner: string;
  readonly promptTokens: number;
  readonly estimatedOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Time since decoding started. */
  readonly runningMs: number;
}
