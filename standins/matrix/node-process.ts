/**
 * An emulated process: its clocks, and a wait that blocks its work while it is paused or killed.
 */
import * as clocks from "../../src/kernel/clock.js";
import type * as fakeClock from "../fake-clock.js";

/** The emulated process of a node. */
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

  /** Whether the process is neither paused nor killed. */
  get isRunning(): boolean {
    return !this.killed.aborted && this.#resumed === undefined;
  }

  /** Waits while the process is paused; never returns once it is killed. */
  async waitUntilRunning(): Promise<void> {
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

  /** Resumes a paused process as SIGCONT does; timers that came due meanwhile fire late. */
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

  /** Sets the offset of the wall clock; the monotonic clock is unaffected. */
  setWallSkew(skewMs: number): void {
    this.#wallSkewMs = skewMs;
  }
}
