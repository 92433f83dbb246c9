/** An emulated process: its clock, its random draws, and gates that hold it while it does not run. */
import * as clocks from "../../src/kernel/clock.js";
import type * as fakeClock from "../fake-clock.js";

/** One emulated process of a node. */
export class NodeProcess {
  readonly vm: string;
  readonly clock: clocks.Clock;
  readonly #nodeClock: fakeClock.NodeClock;
  readonly #killed = new AbortController();
  #wallSkewMs = 0;
  #resume: (() => void) | undefined;
  #resumed: Promise<void> | undefined;

  constructor(vm: string, base: fakeClock.FakeClock) {
    this.vm = vm;
    this.#nodeClock = base.createNodeClock();
    this.clock = {
      now: () => this.#nodeClock.now(),
      wallTime: () => this.#nodeClock.wallTime() + this.#wallSkewMs,
      schedule: (delayMs, callback) => this.#nodeClock.schedule(delayMs, callback),
    };
  }

  /** Aborts when the process is killed. */
  get killed(): AbortSignal {
    return this.#killed.signal;
  }

  /** Whether the process runs, neither paused nor killed. */
  get isRunning(): boolean {
    return !this.killed.aborted && this.#resumed === undefined;
  }

  /** Waits while the process is paused; for ever once it is killed. */
  async waitRunning(): Promise<void> {
    while (this.#resumed) await this.#resumed;
    if (this.killed.aborted) await new Promise(() => undefined);
  }

  /** Stops the process as SIGSTOP does. */
  pause(): void {
    if (!this.isRunning) return;
    this.#nodeClock.pause();
    this.#resumed = new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Lets a paused process go on, with its timers late. */
  resume(): void {
    if (this.killed.aborted) return;
    this.#nodeClock.resume();
    this.#resumed = undefined;
    this.#resume?.();
  }

  /** Ends the process as SIGKILL does. */
  kill(): void {
    this.#nodeClock.pause();
    this.#killed.abort(new Error(`${this.vm} was killed`));
  }

  /** Moves the wall clock; the monotonic clock stays. */
  setWallSkew(skewMs: number): void {
    this.#wallSkewMs = skewMs;
  }
}
