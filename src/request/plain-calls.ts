/** Routes plain calls: idempotent ones run at this node, others only at the owner of their id. */
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import type * as callerTypes from "../caller/types.js";
import * as membership from "../membership/types.js";
import type * as configuration from "../configuration/types.js";
import * as codes from "../protocol/result-codes.js";
import type * as upstream from "../upstream/types.js";
import * as backendSelector from "./backend-selector.js";
import * as backupRecords from "./backup-records.js";
import * as crashTracker from "./crash-tracker.js";
import * as forwardedCalls from "./forwarded-calls.js";
import * as idempotentCalls from "./idempotent-calls.js";
import * as plainMessages from "./plain-messages.js";
import * as outcomes from "./outcome.js";
import * as ownedCalls from "./owned-calls.js";
import * as ownerRecords from "./owner-records.js";

const { RAN, RESULT_CODES } = codes;

type PlainCallWithId = callerTypes.PlainCall & { readonly id: callerTypes.RequestId };

class RoutedPlainCalls implements callerTypes.PlainCalls {
  readonly #clock: clocks.Clock;
  readonly #sessions: callerTypes.Sessions;
  readonly #membership: membership.Membership;
  readonly #configuration: configuration.Configuration;
  readonly #idempotent: idempotentCalls.IdempotentCalls;
  readonly #owned: ownedCalls.OwnedCalls;
  readonly #forwarded: forwardedCalls.ForwardedCalls;
  #runningCount = 0;

  constructor(kernel: kernels.Kernel) {
    this.#clock = kernel.use("clock");
    this.#sessions = kernel.use("sessions");
    this.#membership = kernel.use("membership");
    this.#configuration = kernel.use("configuration");
    const { zone } = kernel.use("settings");
    const selector = new backendSelector.BackendSelector(this.#clock, kernel.use("random"), zone);
    const tracker = new crashTracker.CrashTracker(kernel.use("crashes"));
    const records = new ownerRecords.OwnerRecords(kernel);
    this.#idempotent = new idempotentCalls.IdempotentCalls(kernel, selector, tracker);
    this.#owned = new ownedCalls.OwnedCalls(kernel, records, selector, tracker);
    this.#forwarded = new forwardedCalls.ForwardedCalls(kernel);
    kernel.use("network").onCall(plainMessages.FORWARD, (request) => this.#handleForward(request));
  }

  get activeCount(): number {
    return this.#runningCount + this.#owned.activeCount;
  }

  async run(call: callerTypes.PlainCall, signal: AbortSignal): Promise<upstream.PlainResponse> {
    this.#runningCount += 1;
    try {
      return await this.#runOperation(call, signal);
    } finally {
      this.#runningCount -= 1;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned.waitUntilIdle();
  }

  async #runOperation(
    call: callerTypes.PlainCall,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    if (call.operation.idempotent) return this.#runIdempotent(call, signal);
    const { id } = call;
    const createSession = (): string => this.#sessions.create(call.caller.name);
    if (!id) {
      const session = createSession();
      throw new codes.RequestError(RESULT_CODES.sessionRequired, RAN.no, { session });
    }
    const outcome = await this.#runWithId({ ...call, id }, signal);
    return outcomes.getResponse(outcome, createSession);
  }

  #runIdempotent(
    call: callerTypes.PlainCall,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    if (this.#membership.self.state !== membership.MEMBER_STATE.leaving) {
      return this.#idempotent.run(call, signal);
    }
    const session = this.#sessions.create(call.caller.name);
    throw new codes.RequestError(RESULT_CODES.leaving, RAN.no, { session });
  }

  async #runWithId(call: PlainCallWithId, signal: AbortSignal): Promise<outcomes.Outcome> {
    try {
      if (!this.#owned.isOwner(call.id)) return await this.#forwarded.run(call, signal);
      const outcomePromise = this.#owned.run({ ...call, caller: call.caller.name });
      return await this.#waitForOutcome(outcomePromise, call.deadlineMs, signal);
    } catch (error) {
      if (!signal.aborted) throw error;
      throw new codes.RequestError(RESULT_CODES.callerGone, RAN.unknown);
    }
  }

  /** Stops waiting at the deadline or when the caller disconnects. The run itself continues. */
  async #waitForOutcome(
    outcomePromise: Promise<outcomes.Outcome>,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<outcomes.Outcome> {
    const unknown = outcomes.createRefusal(RESULT_CODES.outcomeUnknown, RAN.unknown);
    using limit = clocks.createTimeLimit(this.#clock, deadlineMs + 1, signal);
    const timeout = new Promise<outcomes.Outcome>((resolve, reject) => {
      limit.signal.addEventListener("abort", () => {
        if (signal.aborted) reject(signal.reason as Error);
        else resolve(unknown);
      });
    });
    return await Promise.race([outcomePromise, timeout]);
  }

  async #handleForward(
    request: plainMessages.ForwardRequest,
  ): Promise<{ outcome: outcomes.Outcome | undefined }> {
    const id = this.#sessions.parse(request.id, request.caller);
    if (!this.#owned.isOwner(id)) return { outcome: undefined };
    const service = this.#configuration.current?.document.services.find(
      (candidate) => candidate.name === request.service,
    );
    if (!service) return { outcome: undefined };
    const { method, path, headers, body, caller, deadlineMs } = request;
    const owned = { caller, service, id, request: { method, path, headers, body }, deadlineMs };
    return { outcome: await this.#owned.run(owned) };
  }
}

/**
 * Creates the service of plain calls and its records, and registers their peer calls.
 *
 * @example kernel.register("plainCalls", createPlainCalls);
 */
export function createPlainCalls(kernel: kernels.Kernel): callerTypes.PlainCalls {
  backupRecords.createBackupRecords(kernel);
  return new RoutedPlainCalls(kernel);
}
