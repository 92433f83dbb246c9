/** Runs of model requests at this node, and claims on model requests, by request id. */
import type * as callerTypes from "../caller/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as modelMessages from "./model-messages.js";
import type * as modelRun from "./model-run.js";

const MAX_CLAIMS = 100_000;
const MAX_FINISHED_RUNS = 2_000;
/** Time during which a retry can still read a finished run. */
const FINISHED_RUN_RETENTION_MS = 10_000;

interface Claim {
  readonly holder: callerTypes.NodeRef;
  readonly expiresAt: number;
}

/** Claims on model requests; the first claimant of a request becomes its holder. */
export class ModelClaims {
  readonly #clock: clocks.Clock;
  readonly #claims = new Map<string, Claim>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /**
   * Returns the holder of the request, which is the claimant if there is no other.
   *
   * A full table grants the claim without recording it: a model request may run more than once,
   * so this costs at most duplicate prefill work.
   */
  claim(request: modelMessages.ClaimRequest): callerTypes.NodeRef {
    const existing = this.#claims.get(request.id);
    if (existing !== undefined && !isSameNode(existing.holder, request.replaces))
      return existing.holder;
    this.#removeExpired();
    if (this.#claims.size < MAX_CLAIMS) {
      this.#claims.set(request.id, { holder: request.claimant, expiresAt: request.expiresAt });
    }
    return request.claimant;
  }

  /** Removes the claim on a request, so that the next claimant becomes its holder. */
  remove(id: string): void {
    this.#claims.delete(id);
  }

  /** Number of claims. */
  get size(): number {
    return this.#claims.size;
  }

  /** Removes expired claims from the oldest one, up to the first that has not expired. */
  #removeExpired(): void {
    const now = this.#clock.wallTime();
    for (const [id, claim] of this.#claims) {
      if (claim.expiresAt > now) return;
      this.#claims.delete(id);
    }
  }
}

/** Runs by request id. Finished runs are retained for a short time, so that a retry can replay. */
export class ModelRuns {
  readonly #clock: clocks.Clock;
  readonly #running = new Map<string, modelRun.ModelRun>();
  readonly #finished = new Map<string, modelRun.ModelRun>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Number of unfinished runs. */
  get activeCount(): number {
    return this.#running.size;
  }

  find(id: string): modelRun.ModelRun | undefined {
    return this.#running.get(id) ?? this.#finished.get(id);
  }

  add(run: modelRun.ModelRun): void {
    this.#finished.delete(run.id);
    this.#running.set(run.id, run);
  }

  /** Moves a run to the finished ones, or removes it when `isRetained` is false. */
  markFinished(run: modelRun.ModelRun, isRetained: boolean): void {
    if (this.#running.get(run.id) === run) this.#running.delete(run.id);
    if (!isRetained) return;
    const oldest = this.#finished.keys().next();
    if (this.#finished.size >= MAX_FINISHED_RUNS && oldest.done !== true) {
      this.#finished.delete(oldest.value);
    }
    this.#finished.set(run.id, run);
    this.#clock.schedule(FINISHED_RUN_RETENTION_MS, () => {
      if (this.#finished.get(run.id) === run) this.#finished.delete(run.id);
    });
  }
}

function isSameNode(left: callerTypes.NodeRef, right: callerTypes.NodeRef | undefined): boolean {
  return left.vm === right?.vm && left.incarnation === right.incarnation;
}
