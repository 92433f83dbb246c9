/** What allocators told this node of their runners, corrected by the node's own sends since. */
import type * as clocks from "../kernel/clock.js";
import * as lru from "lru-cache";
import type * as messages from "./messages.js";

const MAX_RUNNERS = 10_000;
/** Time in which a told state loses half its weight. */
const HALF_LIFE_MS = 1000;

interface KnownState extends messages.RunnerView {
  waitMs: number;
  free: number;
  readonly at: number;
}

const NOTHING_KNOWN = {
  waitMs: 0,
  free: 1,
  slowness: 1,
  available: true,
  gapMs: 0,
  probeDue: false,
} as const;

/** Told states by runner. */
export class RunnerViews {
  readonly #clock: clocks.Clock;
  readonly #states = new lru.LRUCache<string, KnownState>({ max: MAX_RUNNERS });

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Takes in the states that an allocator told. */
  update(views: readonly messages.RunnerView[]): void {
    const at = this.#clock.now();
    for (const view of views) this.#states.set(view.runner, { ...view, at });
  }

  /** Takes in a wait that an answer told. */
  updateWait(runner: string, waitMs: number): void {
    const known = this.#states.get(runner) ?? { ...NOTHING_KNOWN, runner };
    this.update([{ ...known, waitMs, free: waitMs > 0 ? 0 : known.free, available: true }]);
  }

  /** Records work of `workMs` that this node just sent. */
  recordSend(runner: string, workMs: number): void {
    const state = this.#states.get(runner);
    if (state === undefined) return;
    state.free -= 1;
    state.waitMs += workMs;
  }

  /** Expected wait at the runner; 0 when nothing is known. */
  computeWait(runner: string): number {
    const state = this.#states.get(runner);
    return state === undefined ? 0 : state.waitMs * this.#computeWeight(state);
  }

  /** Expected free slots. */
  countFree(runner: string): number {
    return this.#states.get(runner)?.free ?? 0;
  }

  /** Ratio of real to nominal prefill time. */
  getSlowness(runner: string): number {
    return this.#states.get(runner)?.slowness ?? 1;
  }

  /** Whether the runner's gaps are above the target and no probe is due. */
  isSlow(runner: string, targetMs: number): boolean {
    const state = this.#states.get(runner);
    return state !== undefined && state.gapMs > targetMs && !state.probeDue;
  }

  /** Whether the runner answered its allocator when last told. */
  isAvailable(runner: string): boolean {
    const state = this.#states.get(runner);
    return state === undefined || state.available || this.#computeWeight(state) < 0.1;
  }

  #computeWeight(state: KnownState): number {
    return 2 ** ((state.at - this.#clock.now()) / HALF_LIFE_MS);
  }
}
