/** Runs idempotent plain calls: any backend, with retries within the deadline and a budget. */
import * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import type * as sessions from "../caller/types.js";
import * as codes from "../protocol/result-codes.js";
import * as upstream from "../upstream/types.js";
import type * as backendChoice from "./backend-choice.js";
import type * as crashTracker from "./crash-tracker.js";
import * as fingerprints from "./fingerprint.js";
import * as retryBudget from "./retry-budget.js";

/** Share of the time left that one try may take while another backend could answer instead. */
const TRY_SHARE = 0.5;
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);
const RETRY_AFTER_MS = 1000;
/** Pause before all backends are tried again, times the number of tries so far. */
const ROUND_PAUSE_MS = 50;

interface Progress {
  readonly call: sessions.PlainCall;
  readonly fingerprint: string;
  readonly deadlineAt: number;
  readonly tried: Set<string>;
  mayHaveRun: boolean;
  lastResponse: upstream.PlainResponse | undefined;
}

/** Sends idempotent calls to backends. */
export class IdempotentCalls {
  readonly #clock: clocks.Clock;
  readonly #backends: upstream.ServiceClient;
  readonly #crashes: sessions.CrashRecords;
  readonly #choice: backendChoice.BackendChoice;
  readonly #tracker: crashTracker.CrashTracker;
  readonly #budget = new retryBudget.RetryBudget();

  constructor(
    kernel: container.Kernel,
    choice: backendChoice.BackendChoice,
    tracker: crashTracker.CrashTracker,
  ) {
    this.#clock = kernel.use("clock");
    this.#backends = kernel.use("backends");
    this.#crashes = kernel.use("crashes");
    this.#choice = choice;
    this.#tracker = tracker;
  }

  /** @throws RequestError */
  async run(call: sessions.PlainCall, signal: AbortSignal): Promise<upstream.PlainResponse> {
    const fingerprint = fingerprints.computePlainFingerprint(
      this.#crashes,
      call.caller.name,
      call.service,
      call.request,
    );
    const progress: Progress = {
      call,
      fingerprint,
      deadlineAt: this.#clock.now() + call.deadlineMs,
      tried: new Set(),
      mayHaveRun: false,
      lastResponse: undefined,
    };
    this.#budget.recordCall();
    for (let tries = 0; tries === 0 || this.#budget.reserve(); tries += 1) {
      await this.#waitForNextRound(progress, tries);
      this.#checkMayTry(progress, signal);
      const backend = this.#choice.choose(call.service, progress.tried);
      if (!backend) break;
      progress.tried.add(backend.name);
      const response = await this.#runTry(progress, backend, signal);
      if (response && !RETRIED_STATUSES.has(response.status)) return response;
      progress.lastResponse = response ?? progress.lastResponse;
    }
    if (progress.lastResponse) return progress.lastResponse;
    throw createError(codes.RESULT_CODES.upstreamUnavailable, progress, RETRY_AFTER_MS);
  }

  /** Pauses, within the deadline, when every backend was tried; then each may be tried again. */
  async #waitForNextRound(progress: Progress, tries: number): Promise<void> {
    if (progress.tried.size < progress.call.service.backends.length) return;
    progress.tried.clear();
    const remainingMs = Math.max(0, progress.deadlineAt - this.#clock.now());
    await clocks.sleep(this.#clock, Math.min(remainingMs, ROUND_PAUSE_MS * tries));
  }

  #checkMayTry(progress: Progress, signal: AbortSignal): void {
    if (signal.aborted) throw createError(codes.RESULT_CODES.callerGone, progress);
    if (this.#crashes.isQuarantined(progress.fingerprint)) {
      throw createError(codes.RESULT_CODES.quarantined, progress);
    }
    if (this.#clock.now() >= progress.deadlineAt) {
      throw createError(codes.RESULT_CODES.deadlineExceeded, progress);
    }
  }

  /** Returns the response, or `undefined` when the try failed. */
  async #runTry(
    progress: Progress,
    backend: backendChoice.Backend,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse | undefined> {
    const { call, fingerprint } = progress;
    const remainingMs = progress.deadlineAt - this.#clock.now();
    const isLast = progress.tried.size >= call.service.backends.length;
    const limitMs = isLast ? remainingMs : remainingMs * TRY_SHARE;
    using limit = clocks.createTimeLimit(this.#clock, limitMs, signal);
    using tracked = this.#tracker.add(backend.name, fingerprint);
    const fresh = progress.mayHaveRun || progress.tried.size > 1;
    try {
      const options = { newConnection: fresh, signal: limit.signal };
      const response = await this.#backends.send(backend, call.request, options);
      this.#recordResponse(backend, fingerprint, response);
      return response;
    } catch (error) {
      const failure = error instanceof upstream.UpstreamError ? error.failure : undefined;
      const isBroken = failure === upstream.UPSTREAM_FAILURE.broken;
      if (isBroken && !limit.signal.aborted) tracked.recordBreak();
      if (!signal.aborted) this.#choice.recordFailure(backend);
      progress.mayHaveRun ||= failure !== upstream.UPSTREAM_FAILURE.notConnected;
      return undefined;
    }
  }

  #recordResponse(
    backend: backendChoice.Backend,
    fingerprint: string,
    response: upstream.PlainResponse,
  ): void {
    if (RETRIED_STATUSES.has(response.status)) {
      this.#choice.recordFailure(backend);
      return;
    }
    this.#choice.recordSuccess(backend);
    this.#crashes.recordSuccess(fingerprint);
  }
}

function createError(
  code: codes.ResultCode,
  progress: Progress,
  retryAfterMs?: number,
): codes.RequestError {
  const mayHaveRun = progress.mayHaveRun || progress.lastResponse !== undefined;
  const ran = mayHaveRun ? codes.RAN.unknown : codes.RAN.no;
  return new codes.RequestError(code, ran, { retryAfterMs });
}
