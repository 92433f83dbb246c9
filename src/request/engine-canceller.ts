/** Cancels work at engines until the engine confirms it or cannot hold it any longer. */
import type * as kernels from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import type * as upstream from "../upstream/types.js";
import * as events from "../telemetry/log-events.js";

const CANCEL_TIMEOUT_MS = 500;
const CANCEL_RETRY_MS = 200;
const CANCEL_ATTEMPTS = 10;

/** Sends cancels in the background and repeats the ones that got no answer. */
export class EngineCanceller {
  readonly #kernel: kernels.Kernel;
  #pending = 0;

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
  }

  /** Number of cancels not yet confirmed. */
  get pending(): number {
    return this.#pending;
  }

  /** Starts to cancel an attempt at a runner; does not wait. */
  start(runner: upstream.Upstream, attempt: upstream.AttemptId): void {
    void this.#cancel(runner, attempt);
  }

  async #cancel(runner: upstream.Upstream, attempt: upstream.AttemptId): Promise<void> {
    this.#pending += 1;
    try {
      for (let tries = 0; tries < CANCEL_ATTEMPTS; tries += 1) {
        if (await this.#sendOnce(runner, attempt)) return;
        await clocks.sleep(this.#kernel.use("clock"), CANCEL_RETRY_MS);
      }
      this.#kernel.use("log").write(events.LOG_EVENTS.runnerUnavailable, { runner: runner.name });
    } finally {
      this.#pending -= 1;
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
