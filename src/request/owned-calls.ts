/** Runs non-idempotent plain calls at their owner: at most once, with the backup's permission. */
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import type * as callerTypes from "../caller/types.js";
import * as membership from "../membership/types.js";
import * as codes from "../protocol/result-codes.js";
import type * as document from "../settings/document.js";
import * as upstream from "../upstream/types.js";
import type * as backendSelector from "./backend-selector.js";
import type * as crashTracker from "./crash-tracker.js";
import * as records from "./expiring-records.js";
import * as backupClient from "./backup-client.js";
import * as fingerprints from "./fingerprint.js";
import * as outcomes from "./outcome.js";
import * as ownerRecords from "./owner-records.js";

const RETRY_AFTER_MS = 1000;
/** Header by which the service recognises a repeated request. */
const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** A non-idempotent call at its owner. */
export interface OwnedCall {
  readonly caller: string;
  readonly service: document.PlainService;
  readonly id: callerTypes.RequestId;
  readonly request: upstream.PlainRequest;
  readonly deadlineMs: number;
}

/** A run in progress of an owned call. */
interface OwnedRun {
  readonly call: OwnedCall;
  readonly fingerprint: string;
  readonly deadlineAt: number;
}

const { RAN, RESULT_CODES } = codes;

/** Runs the calls that this node owns and reports their outcomes to the backups. */
export class OwnedCalls {
  readonly #clock: clocks.Clock;
  readonly #backup: backupClient.BackupClient;
  readonly #membership: membership.Membership;
  readonly #backends: upstream.ServiceClient;
  readonly #crashes: callerTypes.CrashRecords;
  readonly #records: ownerRecords.OwnerRecords;
  readonly #selector: backendSelector.BackendSelector;
  readonly #tracker: crashTracker.CrashTracker;
  readonly #tasks = new Set<Promise<unknown>>();

  constructor(
    kernel: kernels.Kernel,
    records: ownerRecords.OwnerRecords,
    selector: backendSelector.BackendSelector,
    tracker: crashTracker.CrashTracker,
  ) {
    this.#clock = kernel.use("clock");
    this.#backup = new backupClient.BackupClient(kernel);
    this.#membership = kernel.use("membership");
    this.#backends = kernel.use("backends");
    this.#crashes = kernel.use("crashes");
    this.#records = records;
    this.#selector = selector;
    this.#tracker = tracker;
  }

  /** Number of unfinished runs and unfinished reports to backups. */
  get activeCount(): number {
    return this.#tasks.size;
  }

  /** Waits until every run has ended and its report to the backup is finished. */
  async waitUntilIdle(): Promise<void> {
    while (this.#tasks.size > 0) await Promise.allSettled(this.#tasks);
  }

  /** Whether this incarnation of this node owns the id. */
  isOwner(id: callerTypes.RequestId): boolean {
    const { self } = this.#membership;
    const { owner } = id.session;
    return owner.vm === self.vm && owner.incarnation === self.incarnation;
  }

  /** Runs a request that has no record, else returns the recorded outcome. Never rejects. */
  run(call: OwnedCall): Promise<outcomes.Outcome> {
    const existing = this.#records.find(call.id);
    if (existing) return existing;
    const refusal = this.#checkNewRequest(call.id);
    if (refusal) return Promise.resolve(refusal);
    const running = this.#addTask(this.#runNewRequest(call).catch(createInternalRefusal));
    this.#records.add(call.id, running);
    return running;
  }

  /** Returns a refusal if a request without a record must not run. Every refusal is permanent. */
  #checkNewRequest(id: callerTypes.RequestId): outcomes.Outcome | undefined {
    if (this.#records.isPastRetention(id)) {
      return outcomes.createRefusal(RESULT_CODES.sessionExpired, RAN.unknown);
    }
    if (this.#membership.self.state === membership.MEMBER_STATE.leaving) {
      return outcomes.createRefusal(RESULT_CODES.leaving, RAN.no);
    }
    const admission = this.#records.checkAdmission(id);
    if (admission === records.ADMISSION.expired)
      return outcomes.createRefusal(RESULT_CODES.sessionExpired, RAN.no);
    if (admission === records.ADMISSION.full) {
      return outcomes.createRefusal(RESULT_CODES.recordsFull, RAN.no, {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    return undefined;
  }

  async #runNewRequest(call: OwnedCall): Promise<outcomes.Outcome> {
    const { caller, service, request } = call;
    const fingerprint = fingerprints.computePlainFingerprint(
      this.#crashes,
      caller,
      service,
      request,
    );
    const deadlineAt = this.#clock.now() + call.deadlineMs;
    if (call.deadlineMs <= 0) return createDeadlineRefusal();
    if (this.#crashes.isQuarantined(fingerprint)) {
      return outcomes.createRefusal(RESULT_CODES.quarantined, RAN.no);
    }
    const refusal = await this.#backup.sendIntent(call.id, call.deadlineMs);
    if (refusal) return refusal;
    // Peers may have reported crashes while the intent was sent.
    const outcome = this.#crashes.isQuarantined(fingerprint)
      ? outcomes.createRefusal(RESULT_CODES.quarantined, RAN.no)
      : await this.#callService({ call, fingerprint, deadlineAt });
    void this.#addTask(this.#backup.sendResult(call.id, outcome));
    return outcome;
  }

  /** Tries one backend after another until a connection is made. The outcome there is final. */
  async #callService(run: OwnedRun): Promise<outcomes.Outcome> {
    const tried = new Set<string>();
    for (;;) {
      if (this.#clock.now() >= run.deadlineAt || this.#records.isExpired(run.call.id)) {
        return createDeadlineRefusal();
      }
      const backend = this.#selector.choose(run.call.service, tried);
      if (!backend) {
        return outcomes.createRefusal(RESULT_CODES.upstreamUnavailable, RAN.no, {
          retryAfterMs: RETRY_AFTER_MS,
        });
      }
      tried.add(backend.name);
      const outcome = await this.#callBackend(run, backend);
      if (outcome) return outcome;
    }
  }

  /** Returns `undefined` when no connection was made, so that another backend may be tried. */
  async #callBackend(
    run: OwnedRun,
    backend: backendSelector.Backend,
  ): Promise<outcomes.Outcome | undefined> {
    const { call, fingerprint, deadlineAt } = run;
    const headers = { ...call.request.headers, [IDEMPOTENCY_KEY_HEADER]: call.id.text };
    using limit = clocks.createTimeLimit(this.#clock, deadlineAt - this.#clock.now());
    using trackedCall = this.#tracker.add(backend.name, fingerprint);
    try {
      const response = await this.#backends.send(
        backend,
        { ...call.request, headers },
        limit.signal,
      );
      this.#selector.recordSuccess(backend);
      trackedCall.recordCompletion(response.status);
      return outcomes.createResponseOutcome(response);
    } catch (error) {
      this.#selector.recordFailure(backend);
      const failure = error instanceof upstream.UpstreamError ? error.failure : undefined;
      if (failure === upstream.UPSTREAM_FAILURE.notConnected) return undefined;
      const isCrash = failure === upstream.UPSTREAM_FAILURE.broken && !limit.signal.aborted;
      if (isCrash) trackedCall.recordBrokenConnection();
      return outcomes.createRefusal(RESULT_CODES.outcomeUnknown, RAN.unknown);
    }
  }

  #addTask<Value>(task: Promise<Value>): Promise<Value> {
    this.#tasks.add(task);
    void task.finally(() => this.#tasks.delete(task)).catch(() => undefined);
    return task;
  }
}

function createInternalRefusal(): outcomes.Outcome {
  return outcomes.createRefusal(RESULT_CODES.internalError, RAN.unknown);
}

function createDeadlineRefusal(): outcomes.Outcome {
  return outcomes.createRefusal(RESULT_CODES.deadlineExceeded, RAN.no);
}
