/** Cancels attempts at engines. Retries until the engine confirms, up to a limit. */
import type * as kernels from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import type * as upstream from "../upstream/types.js";
import * as events from "../telemetry/log-events.js";

const CANCEL_TIMEOUT_MS = 500;
const CANCEL_RETRY_DELAY_MS = 200;
const MAX_CANCEL_TRIES = 10;

/** Sends cancel requests in the background and retries those that failed. */
export class EngineCanceller {
  readonly #kernel: kernels.Kernel;
  #inProgressCount = 0;

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
  }

  /** Number of cancellations in progress, neither confirmed nor given up. */
  get inProgressCount(): number {
    return this.#inProgressCount;
  }

  /** Starts to cancel an attempt at a runner, without waiting for the result. */
  start(runner: upstream.Upstream, attempt: upstream.AttemptId): void {
    void this.#cancel(runner, attempt);
  }

  async #cancel(runner: upstream.Upstream, attempt: upstream.AttemptId): Promise<void> {
    this.#inProgressCount += 1;
    try {
      for (let tries = 0; tries < MAX_CANCEL_TRIES; tries += 1) {
        if (await this.#sendOnce(runner, attempt)) return;
        await clocks.sleep(this.#kernel.use("clock"), CANCEL_RETRY_DELAY_MS);
      }
      this.#kernel.use("log").write(events.LOG_EVENTS.runnerUnavailable, { runner: runner.name });
    } finally {
      this.#inProgressCount -= 1;
    }
  }

  async #sendOnce(runner: upstream.Upstream, attempt: upstream.AttemptId): Promise<boolean> {
    using limit = clocks.createTimeLimit(this.#kernel.use("clock"), CANCEL_TIMEOUT_MS);
    try {
      await this.#kernel.use("engines").cancel(runner, attempt, limit.signal);
      return true;
    } catch {
      return false;
    }
  }
}
