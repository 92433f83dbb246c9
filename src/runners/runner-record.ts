/** What this VM knows of one runner from its own calls. */
import type * as clocks from "../kernel/clock.js";
import type * as types from "./types.js";

/** Weight of the newest result in the failure rate: about the last ten results count. */
const FAILURE_WEIGHT = 0.1;
/** Time in which reported load of others loses most of its meaning: a few answers of usual length. */
const LOAD_HALF_LIFE_MS = 500;
/** Pause after a failed connection; doubles with each further one. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 4_000;

/** Results, load and pauses of one runner. */
export class RunnerRecord {
  readonly #clock: clocks.Clock;
  #runner: types.Runner;
  #changedAt: number;
  #inFlight = 0;
  #failureRate = 0;
  #othersLoad = 0;
  #loadAt = 0;
  #unreachableCount = 0;
  #pausedUntil = 0;

  constructor(runner: types.Runner, clock: clocks.Clock) {
    this.#runner = runner;
    this.#clock = clock;
    this.#changedAt = clock.now();
  }

  get runner(): types.Runner {
    return this.#runner;
  }

  /** Time since what is known of the runner changed. */
  get unchangedMs(): number {
    return this.#clock.now() - this.#changedAt;
  }

  /** Takes in what the runner has become. */
  setRunner(runner: types.Runner): void {
    this.#runner = runner;
    this.#changedAt = this.#clock.now();
  }

  /** Calls of this VM that wait for the runner's answer. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Share of failed results among the latest. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Whether it is left alone after it could not be reached. */
  get paused(): boolean {
    return this.#clock.now() < this.#pausedUntil;
  }

  /** Returns the expected number of calls at the runner, those of other VMs included. */
  computeLoad(): number {
    const ageMs = this.#clock.now() - this.#loadAt;
    return this.#inFlight + this.#othersLoad * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  }

  /** Counts a call until the returned function is called. */
  startCall(): () => void {
    this.#inFlight += 1;
    let isRunning = true;
    return () => {
      if (isRunning) this.#inFlight -= 1;
      isRunning = false;
    };
  }

  /** Records the load that an answer stated; the answered call itself no longer counts. */
  recordLoad(load: types.InstanceLoad): void {
    this.#othersLoad = Math.max(0, load.running + load.waiting - this.#inFlight);
    this.#loadAt = this.#clock.now();
  }

  /** Records a result; answers of any kind show that it is reachable. */
  recordResult(succeeded: boolean): void {
    this.#failureRate += FAILURE_WEIGHT * ((succeeded ? 0 : 1) - this.#failureRate);
    this.#unreachableCount = 0;
    this.#pausedUntil = 0;
  }

  /** Records that it could not be reached or broke the connection. */
  recordUnreachable(): void {
    this.#failureRate += FAILURE_WEIGHT * (1 - this.#failureRate);
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#unreachableCount);
    this.#unreachableCount += 1;
    this.#pausedUntil = this.#clock.now() + pauseMs;
  }
}
