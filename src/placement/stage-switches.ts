/** Tracks runners that were ordered to another stage and have not completed the switch. */
import type * as clocks from "../kernel/clock.js";
import type * as runners from "../runners/types.js";

/** Multiple of the usual duration of a stage switch after which it times out. */
const TIMEOUT_FACTOR = 2;

interface PendingSwitch {
  readonly stage: runners.Stage;
  /**
   * Start of the runner process that accepted the order; a later process does not know the order.
   */
  readonly bornAt: number;
  readonly until: number;
}

/** Excludes runners from placement while they switch their stage. */
export class StageSwitches {
  readonly #clock: clocks.Clock;
  readonly #switches = new Map<string, PendingSwitch>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Records an order; `switchMs` is the usual duration of a switch. */
  add(runner: runners.Runner, stage: runners.Stage, switchMs: number): void {
    const until = this.#clock.now() + switchMs * TIMEOUT_FACTOR;
    this.#switches.set(runner.id, { stage, bornAt: runner.bornAt, until });
  }

  remove(runnerId: string): void {
    this.#switches.delete(runnerId);
  }

  /**
   * Whether a runner is still switching: it is listed neither with the ordered stage nor as a new
   * process. Removes a switch that has completed or timed out; the call that removes a timed-out
   * switch still returns true.
   */
  has(runner: runners.Runner): boolean {
    const known = this.#switches.get(runner.id);
    if (known === undefined) return false;
    const isDone = runner.stage === known.stage || runner.bornAt !== known.bornAt;
    if (isDone || this.#clock.now() > known.until) this.#switches.delete(runner.id);
    return !isDone;
  }
}
