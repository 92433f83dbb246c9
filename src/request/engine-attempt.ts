/** State shared by the steps of one engine attempt of a model request. */
import type * as capacity from "../capacity/types.js";
import type * as callerTypes from "../caller/types.js";
import type * as upstream from "../upstream/types.js";
import type * as modelRun from "./model-run.js";

/** A model request as this node runs it. */
export interface RequestContext {
  readonly call: callerTypes.ModelCall;
  readonly attempt: number;
  readonly fingerprint: string;
  /** Monotonic time at which this node started the run. */
  readonly startedAt: number;
  /** Whether this node owns the request id. */
  readonly isOwnedHere: boolean;
}

/** One attempt to run a request on a prefill and a decode runner. */
export interface EngineAttempt {
  readonly context: RequestContext;
  readonly run: modelRun.ModelRun;
  readonly attemptId: upstream.AttemptId;
  readonly reservation: capacity.Reservation;
  readonly signal: AbortSignal;
  /** Runners to which a command was sent, the latest last. */
  readonly contactedRunners: upstream.Upstream[];
}
