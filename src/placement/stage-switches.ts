/** Runners that were ordered to another stage and have not got there yet. */
import type * as clocks from "../kernel/clock.js";
import type * as runners from "../runners/types.js";

/** A change of stage that takes this many times its usual time is no longer waited for. */
const PATIENCE = 2;

interface Switch {
  readonly stage: runners.Stage;
  /** Start of the runner's process that took the order; a later one knows nothing of it. */
  readonly bornAt: number;
  readonly until: number;
}

/** Keeps runners out of use while they change their stage. */
export class StageSwitches {
  readonly #clock: clocks.Clock;
  readonly #switches = new Map<string, Switch>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Notes an order; `switchMs` is the usual time of a change. */
  add(runner: runners.Runner, stage: runners.Stage, switchMs: number): void {
    const until = this.#clock.now() + switchMs * PATIENCE;
    this.#switches.set(runner.id, { stage, bornAt: runner.bornAt, until });
  }

  remove(runnerId: string): void {
    this.#switches.delete(runnerId);
  }

  /** Whether a runner, as it is listed now, still changes its stage. */
  has(runner: runners.Runner): boolean {
    const known = this.#switches.get(runner.id);
    if (known === undefined) return false;
    const isDone = runner.stage === known.stage || runner.bornAt !== known.bornAt;
    if (isDone || this.#clock.now() > known.until) this.#switches.delete(runner.id);
    return !isDone;
  }
}
