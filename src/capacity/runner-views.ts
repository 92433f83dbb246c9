/** Runner states last reported by allocators, adjusted for the work this node has sent since. */
import type * as clocks from "../kernel/clock.js";
import * as lru from "lru-cache";
import type * as messages from "./messages.js";

const MAX_RUNNERS = 10_000;
/** Half-life of the weight of a reported wait and a reported unavailability. */
const HALF_LIFE_MS = 1000;
/** Weight below which a reported unavailability is ignored as stale. */
const MIN_WEIGHT = 0.1;

interface ReportedState extends messages.RunnerView {
  waitMs: number;
  freeSlots: number;
  readonly receivedAt: number;
}

/** State assumed when a lease reply arrives before the first report; one slot is assumed to be free. */
const DEFAULT_STATE = {
  waitMs: 0,
  freeSlots: 1,
  slowdown: 1,
  available: true,
  gapMs: 0,
  probeDue: false,
} as const;

/** Last reported state of each runner. */
export class RunnerViews {
  readonly #clock: clocks.Clock;
  readonly #states = new lru.LRUCache<string, ReportedState>({ max: MAX_RUNNERS });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Stores the states that an allocator reported. */
  update(views: readonly messages.RunnerView[]): void {
    const at = this.#clock.now();
    for (const view of views) this.#states.set(view.runner, { ...view, receivedAt: at });
  }

  /**
   * Stores the wait stated in a lease reply. A reply shows that the runner is available; a wait shows
   * that it has no free slot.
   */
  recordLeaseReply(runner: string, waitMs: number): void {
    const known = this.#states.get(runner) ?? { ...DEFAULT_STATE, runner };
    this.update([
      { ...known, waitMs, freeSlots: waitMs > 0 ? 0 : known.freeSlots, available: true },
    ]);
  }

  /** Adds `workMs` of work that this node just sent to the runner and takes one slot. */
  recordSend(runner: string, workMs: number): void {
    const state = this.#states.get(runner);
    if (state === undefined) return;
    state.freeSlots -= 1;
    state.waitMs += workMs;
  }

  /** Expected wait at the runner, decayed by the age of the report; 0 if no state is known. */
  computeWaitMs(runner: string): number {
    const state = this.#states.get(runner);
    return state === undefined ? 0 : state.waitMs * this.#computeWeight(state);
  }

  /** Reported number of free slots minus those taken since; 0 if no state is known. */
  countFreeSlots(runner: string): number {
    return this.#states.get(runner)?.freeSlots ?? 0;
  }

  /** Ratio of observed to nominal prefill time; 1 if no state is known. */
  getSlowdown(runner: string): number {
    return this.#states.get(runner)?.slowdown ?? 1;
  }

  /**
   * Whether the allocator would refuse a request with this target because the runner's mean
   * inter-token latency exceeds it. False if a probe request is due.
   */
  isRefusedAsSlow(runner: string, targetMs: number): boolean {
    const state = this.#states.get(runner);
    return state !== undefined && state.gapMs > targetMs && !state.probeDue;
  }

  /**
   * Whether the runner answered its allocator at the last report; true if no state is known or the
   * report is stale.
   */
  isAvailable(runner: string): boolean {
    const state = this.#states.get(runner);
    return state === undefined || state.available || this.#computeWeight(state) < MIN_WEIGHT;
  }

  #computeWeight(state: ReportedState): number {
    return 2 ** ((state.receivedAt - this.#clock.now()) / HALF_LIFE_MS);
  }
}
