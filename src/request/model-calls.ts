/**
 * Routes model requests: finds the holder of a request, then runs the request here, attaches to the
 * run at another node, or takes over from a node that is gone.
 */
import type * as callerTypes from "../caller/types.js";
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import type * as network from "../protocol/network.js";
import * as codes from "../protocol/result-codes.js";
import * as events from "../telemetry/log-events.js";
import * as modelMessages from "./model-messages.js";
import * as modelAttempts from "./model-attempts.js";
import * as claimClients from "./claim-client.js";
import * as modelRecords from "./model-records.js";
import * as modelRun from "./model-run.js";

/** Limit on the wait for a run's first event; heartbeats detect an unresponsive holder sooner. */
const ATTACH_TIMEOUT_MS = 3_600_000;
/** How long a run with a session id waits for its caller to reattach on another connection. */
const REATTACH_GRACE_MS = 300;
/** Number of holders to attach to before this node runs the request itself. */
const MAX_HOLDER_CHANGES = 3;

class NodeModelCalls implements callerTypes.ModelCalls {
  readonly #kernel: kernels.Kernel;
  readonly #attempts: modelAttempts.ModelAttempts;
  readonly #claims: modelRecords.ModelClaims;
  readonly #runs: modelRecords.ModelRuns;
  readonly #claimClient: claimClients.ClaimClient;

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
    this.#attempts = new modelAttempts.ModelAttempts(kernel);
    this.#claimClient = new claimClients.ClaimClient(kernel);
    this.#claims = new modelRecords.ModelClaims(kernel.use("clock"));
    this.#runs = new modelRecords.ModelRuns(kernel.use("clock"));
    this.#registerHandlers(kernel.use("network"));
  }

  get activeCount(): number {
    return this.#runs.activeCount + this.#attempts.activeCancelCount;
  }

  has(id: callerTypes.RequestId): boolean {
    return this.#findLiveRun(id.text) !== undefined;
  }

  async *run(
    call: callerTypes.ModelCall,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    const crashes = this.#kernel.use("crashes");
    const content = `${call.adapter ?? ""} ${call.prompt}`;
    const fingerprint = crashes.computeFingerprint(call.caller.name, call.model.name, content);
    if (crashes.isQuarantined(fingerprint)) {
      throw new codes.RequestError(
        codes.RESULT_CODES.quarantined,
        codes.getRanBefore(call.attempt),
      );
    }
    const id = call.id ?? this.#kernel.use("sessions").createRequestId(call.caller.name);
    const identifiedCall = { call, id, attempt: call.attempt, fingerprint };
    if (this.#claimClient.isSelf(id.session.owner)) yield* this.#runAsOwner(identifiedCall, signal);
    else yield* this.#runForRemoteOwner(identifiedCall, signal);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#claimClient[Symbol.dispose]();
    return Promise.resolve();
  }

  async *#runAsOwner(
    identifiedCall: claimClients.IdentifiedCall,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    if (identifiedCall.call.id === undefined) {
      yield* this.#runHere(identifiedCall, 0, signal);
      return;
    }
    const holder = this.#claims.claim(
      this.#claimClient.createClaimRequest(identifiedCall, undefined),
    );
    if (this.#claimClient.isSelf(holder)) yield* this.#runHere(identifiedCall, 0, signal);
    else yield* this.#attachToHolder(identifiedCall, holder, signal);
  }

  /** Serves a request whose id another node owns. */
  async *#runForRemoteOwner(
    identifiedCall: claimClients.IdentifiedCall,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    const holder = await this.#claimClient.claim(identifiedCall, undefined, signal);
    if (this.#claimClient.isSelf(holder)) {
      this.#claimClient.startSupersede(identifiedCall, identifiedCall.id.session.owner);
      yield* this.#runHere(identifiedCall, 0, signal);
    } else {
      yield* this.#attachToHolder(identifiedCall, holder, signal);
    }
  }

  /** Streams the run from its holder; takes the request over when the holder is lost. */
  async *#attachToHolder(
    identifiedCall: claimClients.IdentifiedCall,
    firstHolder: callerTypes.NodeRef,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    let holder = firstHolder;
    let offset = 0;
    for (
      let holderChanges = 0;
      holderChanges < MAX_HOLDER_CHANGES && !this.#claimClient.isSelf(holder);
      holderChanges += 1
    ) {
      try {
        for await (const event of this.#attachAt(holder, identifiedCall, offset, signal)) {
          if (event.type === "token") offset = event.offset + 1;
          yield event;
          if (event.type === "end") return;
        }
      } catch (error) {
        if (signal.aborted || error instanceof codes.RequestError) throw error;
      }
      this.#claimClient.startSupersede(identifiedCall, holder);
      holder = await this.#claimClient.claim(identifiedCall, holder, signal);
    }
    yield* this.#runHere(identifiedCall, offset, signal);
  }

  async *#attachAt(
    holder: callerTypes.NodeRef,
    identifiedCall: claimClients.IdentifiedCall,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    const request = { id: identifiedCall.id.text, attempt: identifiedCall.attempt, offset };
    const options = { timeoutMs: ATTACH_TIMEOUT_MS, signal, incarnation: holder.incarnation };
    const network = this.#kernel.use("network");
    for await (const item of network.stream(
      holder.vm,
      modelMessages.MODEL_ATTACH,
      request,
      options,
    )) {
      const event = modelMessages.parseAttachItem(item);
      if (event !== undefined) yield event;
    }
  }

  /** Attaches to the run at this node; starts one if there is none. */
  async *#runHere(
    identifiedCall: claimClients.IdentifiedCall,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<callerTypes.ModelEvent> {
    const run = this.#findLiveRun(identifiedCall.id.text) ?? this.#startRun(identifiedCall);
    yield* run.attach(identifiedCall.attempt, offset, signal);
  }

  /** Finds a run that is in progress or complete, but not one that was cancelled. */
  #findLiveRun(id: string): modelRun.ModelRun | undefined {
    const run = this.#runs.find(id);
    return run?.abortController.signal.aborted === true ? undefined : run;
  }

  #startRun(identifiedCall: claimClients.IdentifiedCall): modelRun.ModelRun {
    const run = new modelRun.ModelRun(identifiedCall.id.text, identifiedCall.attempt, {
      onAbandoned: (abandoned) => {
        this.#onAbandoned(abandoned, identifiedCall.call.id !== undefined);
      },
    });
    this.#runs.add(run);
    void this.#runToEnd(identifiedCall, run);
    return run;
  }

  async #runToEnd(
    identifiedCall: claimClients.IdentifiedCall,
    run: modelRun.ModelRun,
  ): Promise<void> {
    const clock = this.#kernel.use("clock");
    using limit = clocks.createTimeLimit(
      clock,
      identifiedCall.call.deadlineMs,
      run.abortController.signal,
    );
    const isOwnedHere = this.#claimClient.isSelf(identifiedCall.id.session.owner);
    const context = { ...identifiedCall, isOwnedHere, startedAt: clock.now() };
    try {
      await this.#attempts.run(context, run, limit.signal);
    } catch (error) {
      run.markFailed(this.#createFailure(error, run, limit.signal));
    } finally {
      this.#writeEndEvent(identifiedCall, run);
      const isRetained = identifiedCall.call.id !== undefined && run.isComplete;
      this.#runs.markFinished(run, isRetained);
      if (!isRetained) this.#claims.remove(run.id);
    }
  }

  #writeEndEvent(identifiedCall: claimClients.IdentifiedCall, run: modelRun.ModelRun): void {
    const event = run.abortController.signal.aborted
      ? events.LOG_EVENTS.requestCancelled
      : events.LOG_EVENTS.requestFinished;
    const { caller, model } = identifiedCall.call;
    this.#kernel.use("log").write(event, {
      caller: caller.name,
      model: model.name,
      attempt: identifiedCall.attempt,
      tokens: run.offset,
      whole: run.isComplete,
    });
  }

  #createFailure(error: unknown, run: modelRun.ModelRun, signal: AbortSignal): codes.RequestError {
    if (error instanceof codes.RequestError) return error;
    const options = { cause: error };
    if (run.abortController.signal.aborted) {
      return new codes.RequestError(codes.RESULT_CODES.callerGone, codes.RAN.unknown, options);
    }
    if (signal.aborted) {
      return new codes.RequestError(
        codes.RESULT_CODES.deadlineExceeded,
        codes.RAN.unknown,
        options,
      );
    }
    return new codes.RequestError(codes.RESULT_CODES.internalError, codes.RAN.unknown, options);
  }

  /**
   * Cancels a run without a reader: immediately, or after a grace period if the caller can
   * reattach.
   */
  #onAbandoned(run: modelRun.ModelRun, canReattach: boolean): void {
    const cancelIfAbandoned = (): void => {
      if (!run.hasReader) run.abortController.abort(new Error("caller disconnected"));
    };
    if (!canReattach) cancelIfAbandoned();
    else this.#kernel.use("clock").schedule(REATTACH_GRACE_MS, cancelIfAbandoned);
  }

  #registerHandlers(network: network.PeerNetwork): void {
    network.onCall(modelMessages.MODEL_CLAIM, (request) => ({
      holder: this.#handleClaim(request),
    }));
    network.onCall(modelMessages.MODEL_SUPERSEDE, (request) => {
      const run = this.#runs.find(request.id);
      if (run === undefined || run.isFinished || run.attempt >= request.attempt) {
        return { cancelled: false };
      }
      run.abortController.abort(new Error("a newer attempt runs elsewhere"));
      return { cancelled: true };
    });
    network.onStream(modelMessages.MODEL_ATTACH, (request, _from, signal) =>
      this.#handleAttach(request, signal),
    );
  }

  /** A run at this node takes precedence over any later claim. */
  #handleClaim(request: modelMessages.ClaimRequest): callerTypes.NodeRef {
    if (this.#findLiveRun(request.id) !== undefined) return this.#claimClient.getSelf();
    return this.#claims.claim(request);
  }

  async *#handleAttach(
    request: { id: string; attempt: number; offset: number },
    signal: AbortSignal,
  ): AsyncGenerator<modelMessages.AttachItem> {
    const run = this.#findLiveRun(request.id);
    if (run === undefined) throw new Error("request does not run here");
    try {
      for await (const event of run.attach(request.attempt, request.offset, signal)) {
        yield { event };
      }
    } catch (error) {
      if (!(error instanceof codes.RequestError)) throw error;
      yield modelMessages.formatRefusalItem(error);
    }
  }
}

/** Creates the service that runs model requests; registers its peer calls. */
export function createModelCalls(kernel: kernels.Kernel): callerTypes.ModelCalls {
  return new NodeModelCalls(kernel);
}
