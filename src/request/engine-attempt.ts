/** What the steps of one run of a model request share. */
import type * as capacity from "../capacity/types.js";
import type * as types from "../caller/types.js";
import type * as upstream from "../upstream/types.js";
import type * as modelRun from "./model-run.js";

/** A model request with its times on the own clock. */
export interface RequestContext {
  readonly call: types.ModelCall;
  readonly attempt: number;
  readonly fingerprint: string;
  readonly startedAt: number;
  /** Whether this node owns the request's id. */
  readonly isOwnedHere: boolean;
}

/** One run on its runners, while it is under way. */
export interface EngineAttempt {
  readonly context: RequestContext;
  readonly run: modelRun.ModelRun;
  readonly attemptId: upstream.AttemptId;
  readonly reservation: capacity.Reservation;
  readonly signal: AbortSignal;
  /** Runners that were sent something, the latest last. */
  readonly contactedRunners: upstream.Upstream[];
}
