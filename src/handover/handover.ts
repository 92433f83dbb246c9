/**
 * Serves callers' requests on this VM's runners, or hands them over to another VM while this one is partitioned from the
 * runners. A request is handed over only if nothing of it has run, and never a second time.
 */
import type * as clocks from "../kernel/clock.js";
import * as answers from "../serving/answers.js";
import type * as serving from "../serving/types.js";
import * as logEvents from "../telemetry/log-events.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import * as handoverCalls from "./handover-calls.js";
import type * as handoverSender from "./handover-sender.js";
import * as types from "./types.js";

/** VMs to which a request is offered at most. */
const MAX_OFFERS = 3;
/** Least time that has to be left for a request to be handed over. */
const MIN_LEFT_MS = 20;
/** Retry time when no VM took the request; paths are found again within about this time. */
const NO_VM_RETRY_AFTER_MS = 250;
/** Retry time when no VM reaches a runner, which is checked once a second. */
const NO_RUNNER_RETRY_AFTER_MS = 500;

/** Dependencies of the hand-over. */
export interface HandoverOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly vm: string;
  readonly paths: types.RunnerPaths;
  readonly sender: Pick<handoverSender.HandoverSender, "send">;
  /** Serves calls on this VM's runners. */
  readonly handler: serving.CallHandler;
}

/** What became of a request at another VM: its kind, and its text in the log. */
interface SendRecord {
  readonly outcome: string;
  readonly result: string;
}

/** Chooses for each call whether this VM serves it. */
export class Handover implements serving.CallHandler {
  readonly #options: HandoverOptions;

  constructor(options: HandoverOptions) {
    this.#options = options;
  }

  async serve(call: serving.ServedCall): Promise<void> {
    const { paths, handler } = this.#options;
    const state = paths.getState(call.service.name);
    if (state === types.PATH_STATE.down)
      throw answers.createRefusal(NO_RUNNER_RETRY_AFTER_MS, "no VM reaches a runner");
    if (state === types.PATH_STATE.partitioned) {
      if (await this.#forward(call, false)) return;
      throw answers.createRefusal(NO_VM_RETRY_AFTER_MS, "no runner and no VM with a path to one");
    }
    try {
      await handler.serve(call);
    } catch (error) {
      if (!(await this.#isPartitioned(call, error)) || !(await this.#forward(call, true)))
        throw error;
    }
  }

  /** Whether a call failed because this VM is partitioned, and nothing of it arrived at a runner. */
  async #isPartitioned(call: serving.ServedCall, error: unknown): Promise<boolean> {
    if (!(error instanceof answers.UnreachableError) || call.signal.aborted) return false;
    const state = await this.#options.paths.check(call.service.name);
    return state === types.PATH_STATE.partitioned;
  }

  /**
   * Hands a call over; returns whether the caller has its answer. If not, nothing of the call has run.
   *
   * @throws RequestError when the VM that served it failed it.
   */
  async #forward(call: serving.ServedCall, hasCounted: boolean): Promise<boolean> {
    const { clock, paths } = this.#options;
    let isCounted = hasCounted;
    for (const vm of this.#chooseVms(call.service.name)) {
      call.signal.throwIfAborted();
      if (call.deadlineAt - clock.now() < MIN_LEFT_MS) return false;
      const result = await this.#sendTo(call, vm, isCounted);
      if (result.kind === "answered") return true;
      if (result.reason === handoverCalls.DECLINE_REASON.noPath)
        paths.recordPeerWithoutPath(call.service.name, vm);
      ({ isCounted } = result);
    }
    return false;
  }

  async #sendTo(
    call: serving.ServedCall,
    vm: string,
    isCounted: boolean,
  ): Promise<handoverSender.HandoverResult> {
    const { clock, sender, tracer } = this.#options;
    const startedAt = clock.now();
    let record: SendRecord = { outcome: "failed", result: "failed" };
    try {
      const sent = await spans.runInSpan(tracer, "hand-over", { vm, id: call.head.id }, () =>
        sender.send(call, vm, isCounted),
      );
      const result = sent.kind === "answered" ? sent.kind : sent.reason;
      record = { outcome: sent.kind, result };
      return sent;
    } catch (error) {
      const outcome = call.signal.aborted ? "cancelled" : "failed";
      record = { outcome, result: String(error) };
      throw error;
    } finally {
      this.#recordEnd(call, vm, record, startedAt);
    }
  }

  /** Returns the VMs to which to offer a call, in this order. */
  #chooseVms(service: string): readonly string[] {
    const { paths, vm: self } = this.#options;
    const peers = paths.listPeersWithPath(service).filter((vm) => vm !== self);
    return peers.slice(0, MAX_OFFERS);
  }

  #recordEnd(
    call: serving.ServedCall,
    vm: string,
    { outcome, result }: SendRecord,
    startedAt: number,
  ): void {
    const { clock, metrics, log } = this.#options;
    const tookMs = clock.now() - startedAt;
    const { name: service } = call.service;
    metrics.count("handed_over_calls", { service, outcome });
    metrics.recordDuration("handed_over_call", tookMs);
    const fields = { request: call.head.id, service, vm, result, tookMs: Math.round(tookMs) };
    log.write(logEvents.LOG_EVENTS.requestHandedOver, fields);
  }
}
