/** Finds requests that crash the runners that run them, so that they do not go on to crash the others. */
import type * as callerTypes from "../caller/types.js";
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import * as crashTracker from "../request/crash-tracker.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runners from "../runners/types.js";
import * as upstream from "../upstream/types.js";
import * as answers from "./answers.js";
import type * as types from "./types.js";

/** A crashed process refuses connections at once; a sound one answers within this time. */
const CHECK_LIMIT_MS = 150;

/** What the watch works with. */
export interface CrashWatchOptions {
  readonly clock: clocks.Clock;
  readonly crashes: callerTypes.CrashRecords;
  readonly calls: runnerCalls.RunnerCalls;
  readonly wire: gateway.RunnerCodec;
}

/** A run that is watched until it is disposed of. */
export interface WatchedRun extends Disposable {
  /** Records that the runner answered: whatever crashes, it is not this request. */
  recordAnswer(): void;
  /** Finds out whether the runner, which broke the connection, has crashed. */
  checkBreak(): Promise<void>;
}

/** Watches the runs of this VM; what it finds spreads to the others. */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #tracker: crashTracker.CrashTracker;

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.#tracker = new crashTracker.CrashTracker(options.crashes);
  }

  /** @throws RequestError when the request has crashed several runners. */
  checkAllowed(call: types.ServedCall): void {
    const isQuarantined = this.#options.crashes.isQuarantined(this.#computeFingerprint(call));
    if (isQuarantined) throw answers.createFailure("request crashed several runners");
  }

  /** Watches a run of a call at a runner. */
  add(call: types.ServedCall, runner: runners.Runner): WatchedRun {
    const fingerprint = this.#computeFingerprint(call);
    const tracked = this.#tracker.add(runner.id, fingerprint);
    return {
      recordAnswer: () => {
        this.#options.crashes.recordSuccess(fingerprint);
      },
      checkBreak: async () => {
        if (await this.#isGone(runner)) tracked.recordBreak();
      },
      [Symbol.dispose]: () => {
        tracked[Symbol.dispose]();
      },
    };
  }

  /** Prompts are told apart by their parts, other requests by path, caller and body. */
  #computeFingerprint(call: types.ServedCall): string {
    const { head, body, service, caller } = call;
    const parts = head.prompt?.parts.join(",") ?? "";
    const target = `${service.name} ${head.method} ${head.target} ${parts}`;
    return this.#options.crashes.computeFingerprint(caller, target, body);
  }

  async #isGone(runner: runners.Runner): Promise<boolean> {
    const { clock, calls, wire } = this.#options;
    using limit = clocks.createTimeLimit(clock, CHECK_LIMIT_MS);
    try {
      await calls.sendMessage(runner, wire.formatReport(runner), CHECK_LIMIT_MS, limit.signal);
      return false;
    } catch (error) {
      // Whoever does not answer in time may only be slow: nothing is held against its requests.
      return (
        error instanceof upstream.UpstreamError &&
        error.failure === upstream.UPSTREAM_FAILURE.notConnected &&
        !limit.signal.aborted
      );
    }
  }
}
