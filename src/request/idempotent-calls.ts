/** Sends idempotent plain calls to any backend; a deadline and a budget limit the retries. */
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import type * as callerTypes from "../caller/types.js";
import * as codes from "../protocol/result-codes.js";
import * as upstream from "../upstream/types.js";
import type * as backendSelector from "./backend-selector.js";
import type * as crashTracker from "./crash-tracker.js";
import * as fingerprints from "./fingerprint.js";
import type * as retryBudgets from "./retry-budgets.js";

/** Share of the remaining time that one backend may take while another has not been tried. */
const BACKEND_TIMEOUT_SHARE = 0.5;
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);
const RETRY_AFTER_MS = 1000;
/** Pause before the backends are tried again, multiplied by the number of requests sent so far. */
const ROUND_BACKOFF_MS = 50;

interface CallState {
  readonly call: callerTypes.PlainCall;
  readonly fingerprint: string;
  readonly deadlineAt: number;
  /** Names of the backends tried in the current round. */
  readonly tried: Set<string>;
  mayHaveRun: boolean;
  lastResponse: upstream.PlainResponse | undefined;
}

/** Sends idempotent calls to backends and retries those that fail. */
export class IdempotentCalls {
  readonly #clock: clocks.Clock;
  readonly #backends: upstream.ServiceClient;
  readonly #crashes: callerTypes.CrashRecords;
  readonly #selector: backendSelector.BackendSelector;
  readonly #tracker: crashTracker.CrashTracker;
  readonly #budgets: retryBudgets.RetryBudgets;

  constructor(
    kernel: kernels.Kernel,
    selector: backendSelector.BackendSelector,
    tracker: crashTracker.CrashTracker,
  ) {
    this.#clock = kernel.use("clock");
    this.#backends = kernel.use("backends");
    this.#budgets = kernel.use("retryBudgets");
    this.#crashes = kernel.use("crashes");
    this.#selector = selector;
    this.#tracker = tracker;
  }

  /**
   * Returns the first response with a status other than 502, 503 or 504; if no retry is left, the
   * last response with one of these.
   *
   * @throws RequestError `callerGone`, `quarantined`, `deadlineExceeded` or, if no backend
   * answered, `upstreamUnavailable`.
   */
  async run(call: callerTypes.PlainCall, signal: AbortSignal): Promise<upstream.PlainResponse> {
    const fingerprint = fingerprints.computePlainFingerprint(
      this.#crashes,
      call.caller.name,
      call.service,
      call.request,
    );
    const state: CallState = {
      call,
      fingerprint,
      deadlineAt: this.#clock.now() + call.deadlineMs,
      tried: new Set(),
      mayHaveRun: false,
      lastResponse: undefined,
    };
    const { name } = call.service;
    this.#budgets.recordCall(name);
    for (let sends = 0; sends === 0 || this.#budgets.reserve(name, 1); sends += 1) {
      await this.#waitForNextRound(state, sends);
      this.#checkCanSend(state, signal);
      const backend = this.#selector.choose(call.service, state.tried);
      if (!backend) break;
      state.tried.add(backend.name);
      const response = await this.#sendToBackend(state, backend, signal);
      if (response && !RETRYABLE_STATUSES.has(response.status)) return response;
      state.lastResponse = response ?? state.lastResponse;
    }
    if (state.lastResponse) return state.lastResponse;
    throw createCallError(codes.RESULT_CODES.upstreamUnavailable, state, RETRY_AFTER_MS);
  }

  /** Once every backend was tried, waits within the deadline and starts a new round. */
  async #waitForNextRound(state: CallState, sends: number): Promise<void> {
    if (state.tried.size < state.call.service.backends.length) return;
    state.tried.clear();
    const remainingMs = Math.max(0, state.deadlineAt - this.#clock.now());
    await clocks.sleep(this.#clock, Math.min(remainingMs, ROUND_BACKOFF_MS * sends));
  }

  #checkCanSend(state: CallState, signal: AbortSignal): void {
    if (signal.aborted) throw createCallError(codes.RESULT_CODES.callerGone, state);
    if (this.#crashes.isQuarantined(state.fingerprint)) {
      throw createCallError(codes.RESULT_CODES.quarantined, state);
    }
    if (this.#clock.now() >= state.deadlineAt) {
      throw createCallError(codes.RESULT_CODES.deadlineExceeded, state);
    }
  }

  /** Returns the response, or `undefined` when the backend sent none. */
  async #sendToBackend(
    state: CallState,
    backend: backendSelector.Backend,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse | undefined> {
    const { call, fingerprint } = state;
    const remainingMs = state.deadlineAt - this.#clock.now();
    const isLastUntried = state.tried.size >= call.service.backends.length;
    const timeoutMs = isLastUntried ? remainingMs : remainingMs * BACKEND_TIMEOUT_SHARE;
    using limit = clocks.createTimeLimit(this.#clock, timeoutMs, signal);
    using trackedCall = this.#tracker.add(backend.name, fingerprint);
    try {
      const response = await this.#backends.send(backend, call.request, limit.signal);
      this.#recordResponse(backend, trackedCall, response);
      return response;
    } catch (error) {
      const failure = error instanceof upstream.UpstreamError ? error.failure : undefined;
      const isBroken = failure === upstream.UPSTREAM_FAILURE.broken;
      if (isBroken && !limit.signal.aborted) trackedCall.recordBrokenConnection();
      if (!signal.aborted) this.#selector.recordFailure(backend);
      state.mayHaveRun ||= failure !== upstream.UPSTREAM_FAILURE.notConnected;
      return undefined;
    }
  }

  #recordResponse(
    backend: backendSelector.Backend,
    trackedCall: crashTracker.TrackedCall,
    response: upstream.PlainResponse,
  ): void {
    if (RETRYABLE_STATUSES.has(response.status)) {
      this.#selector.recordFailure(backend);
      return;
    }
    this.#selector.recordSuccess(backend);
    trackedCall.recordCompletion(response.status);
  }
}

function createCallError(
  code: codes.ResultCode,
  state: CallState,
  retryAfterMs?: number,
): codes.RequestError {
  const mayHaveRun = state.mayHaveRun || state.lastResponse !== undefined;
  const ran = mayHaveRun ? codes.RAN.unknown : codes.RAN.no;
  return new codes.RequestError(code, ran, { retryAfterMs });
}
