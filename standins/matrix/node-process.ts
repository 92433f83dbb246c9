/**
 * An emulated process: its clocks, and methods that pause, resume and kill it. Code that runs in
 * the process calls `waitUntilRunning`, which does not return while the process is paused or
 * killed.
 */
import * as clocks from "../../src/kernel/clock.js";
import type * as fakeClock from "../fake-clock.js";

/** The emulated process of a node, with a monotonic and a wall clock of its own. */
export class NodeProcess {
  readonly vm: string;
  readonly clock: clocks.Clock;
  readonly #nodeClock: fakeClock.NodeClock;
  readonly #killController = new AbortController();
  #wallSkewMs = 0;
  #resolveResume: (() => void) | undefined;
  #resumePromise: Promise<void> | undefined;

  constructor(vm: string, base: fakeClock.FakeClock) {
    this.vm = vm;
    this.#nodeClock = base.createNodeClock();
    this.clock = {
      now: () => this.#nodeClock.now(),
      wallTime: () => this.#nodeClock.wallTime() + this.#wallSkewMs,
      schedule: (delayMs, callback) => this.#nodeClock.schedule(delayMs, callback),
    };
  }

  /** Signal that aborts when the process is killed. */
  get killSignal(): AbortSignal {
    return this.#killController.signal;
  }

  /** Whether the process is neither paused nor killed. */
  get isRunning(): boolean {
    return !this.killSignal.aborted && this.#resumePromise === undefined;
  }

  /** Waits while the process is paused; never returns once it is killed. */
  async waitUntilRunning(): Promise<void> {
    while (this.#resumePromise) await this.#resumePromise;
    if (this.killSignal.aborted) await new Promise(() => undefined);
  }

  /** Stops the process as SIGSTOP does. */
  pause(): void {
    if (!this.isRunning) return;
    this.#nodeClock.pause();
    this.#resumePromise = new Promise((resolve) => {
      this.#resolveResume = resolve;
    });
  }

  /** Resumes a paused process as SIGCONT does; timers that came due meanwhile fire late. */
  resume(): void {
    if (this.killSignal.aborted) return;
    this.#nodeClock.resume();
    this.#resumePromise = undefined;
    this.#resolveResume?.();
  }

  /** Ends the process as SIGKILL does. */
  kill(): void {
    this.#nodeClock.pause();
    this.#killController.abort(new Error(`${this.vm} was killed`));
  }

  /** Sets the offset of the wall clock; the monotonic clock is unaffected. */
  setWallSkew(skewMs: number): void {
    this.#wallSkewMs = skewMs;
  }
}
