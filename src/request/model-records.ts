/** Runs of model requests at this node, and who claimed which request, by request id. */
import type * as types from "../caller/types.js";
import type * as clock from "../kernel/clock.js";
import type * as messages from "./messages-model.js";
import type * as modelRun from "./model-run.js";

const MAX_CLAIMS = 100_000;
const MAX_FINISHED_RUNS = 2_000;
const FINISHED_RUN_LIFE_MS = 10_000;

interface Claim {
  readonly holder: types.NodeRef;
  readonly expiresAt: number;
}

/** Claims on model requests, first come first served; holds at most `MAX_CLAIMS`. */
export class ModelClaims {
  readonly #clock: clock.Clock;
  readonly #claims = new Map<string, Claim>();

  constructor(timeSource: clock.Clock) {
    this.#clock = timeSource;
  }

  /**
   * Returns who runs the request, recording the claimant when nobody does.
   *
   * A full table records nothing and answers that the claimant runs: a model request may be run
   * again, so this costs prefill work at most.
   */
  claim(request: messages.ClaimRequest): types.NodeRef {
    const known = this.#claims.get(request.id);
    if (known !== undefined && !isSameNode(known.holder, request.replaces)) return known.holder;
    this.#removeExpired();
    if (this.#claims.size < MAX_CLAIMS) {
      this.#claims.set(request.id, { holder: request.claimant, expiresAt: request.expiresAt });
    }
    return request.claimant;
  }

  remove(id: string): void {
    this.#claims.delete(id);
  }

  get size(): number {
    return this.#claims.size;
  }

  /** Removes the oldest claims as long as they have expired. */
  #removeExpired(): void {
    const now = this.#clock.wallTime();
    for (const [id, claim] of this.#claims) {
      if (claim.expiresAt > now) return;
      this.#claims.delete(id);
    }
  }
}

/** Runs by request id; finished ones are kept for a short while, so that a retry replays them. */
export class ModelRuns {
  readonly #clock: clock.Clock;
  readonly #running = new Map<string, modelRun.ModelRun>();
  readonly #finished = new Map<string, modelRun.ModelRun>();

  constructor(timeSource: clock.Clock) {
    this.#clock = timeSource;
  }

  get active(): number {
    return this.#running.size;
  }

  find(id: string): modelRun.ModelRun | undefined {
    return this.#running.get(id) ?? this.#finished.get(id);
  }

  add(run: modelRun.ModelRun): void {
    this.#finished.delete(run.id);
    this.#running.set(run.id, run);
  }

  /** Moves a run to the finished ones, or forgets it when `keep` is false. */
  markFinished(run: modelRun.ModelRun, keep: boolean): void {
    if (this.#running.get(run.id) === run) this.#running.delete(run.id);
    if (!keep) return;
    const oldest = this.#finished.keys().next();
    if (this.#finished.size >= MAX_FINISHED_RUNS && oldest.done !== true) {
      this.#finished.delete(oldest.value);
    }
    this.#finished.set(run.id, run);
    this.#clock.schedule(FINISHED_RUN_LIFE_MS, () => {
      if (this.#finished.get(run.id) === run) this.#finished.delete(run.id);
    });
  }
}

function isSameNode(left: types.NodeRef, right: types.NodeRef | undefined): boolean {
  return left.vm === right?.vm && left.incarnation === right.incarnation;
}
