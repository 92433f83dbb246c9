/** Serves requests that other VMs hand over because they reach no runner. */
import * as refusals from "../caller/refusals.js";
import * as requestBody from "../gateway/request-body.js";
import type * as bufferBudget from "../kernel/buffer-budget.js";
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as routingState from "../routing/routing-state.js";
import * as answers from "../serving/answers.js";
import * as servedCall from "../serving/served-call.js";
import type * as serving from "../serving/types.js";
import * as logEvents from "../telemetry/log-events.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import * as handoverCalls from "./handover-calls.js";
import * as remoteReply from "./remote-reply.js";
import * as types from "./types.js";

/** Requests of other VMs that this VM serves at a time. */
export const MAX_CALLS = 256;
/** Time limit for the first part of a body; the sender lets the request be claimed for less long. */
const CLAIM_TIMEOUT_MS = 1_000;

const { DECLINE_REASON } = handoverCalls;

/** Dependencies of the receiver. */
export interface HandoverReceiverOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly network: network.PeerNetwork;
  readonly routing: routingState.RoutingState;
  readonly buffers: bufferBudget.BufferBudget;
  readonly paths: types.RunnerPaths;
  /** Serves calls on this VM's runners; hands nothing over. */
  readonly handler: serving.CallHandler;
  /** Whether the VM has the data that it needs to serve requests. */
  readonly isReady: () => boolean;
  readonly grace: servedCall.CallGrace;
  /** Whether a newer configuration than the one in force is known to exist. */
  readonly isOutdated?: () => boolean;
  /** Requests of other VMs that may be served at a time; by default `MAX_CALLS`. */
  readonly maxCalls?: number | undefined;
  /** Whether the processor has no time for further requests; by default it has. */
  readonly isProcessorFull?: () => boolean;
}

/** A request of another VM while this VM serves it. */
interface ReceivedCall {
  readonly request: handoverCalls.HandoverRequest;
  readonly from: network.PeerIdentity;
  readonly reply: remoteReply.RemoteReply;
  readonly buffers: bufferBudget.BufferAccount;
  readonly receivedAt: number;
  readonly signal: AbortSignal;
}

/** A body with the times that its sender stated when the request was claimed. */
interface ClaimedBody {
  readonly body: Buffer;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** Accepts requests of other VMs and serves each as if its caller had asked this VM. */
export class HandoverReceiver {
  readonly #options: HandoverReceiverOptions;
  /** Ends each request in progress. */
  readonly #cancels = new Set<() => void>();
  #active = 0;
  #isDraining = false;

  constructor(options: HandoverReceiverOptions) {
    this.#options = options;
    options.network.onStream(handoverCalls.HAND_OVER, (request, from, signal) =>
      this.#handle(request, from, signal),
    );
  }

  /** Number of requests of other VMs in progress. */
  get activeCount(): number {
    return this.#active;
  }

  /** Declines all further requests. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Ends all requests in progress with a failure. */
  cancelCalls(): void {
    for (const cancel of this.#cancels) cancel();
  }

  async *#handle(
    request: handoverCalls.HandoverRequest,
    from: network.PeerIdentity,
    peerSignal: AbortSignal,
  ): AsyncGenerator<handoverCalls.HandoverItem> {
    const { buffers: budget, clock } = this.#options;
    const reason = this.#findDeclineReason(request);
    if (reason !== undefined) {
      this.#recordEnd(request, from, reason, clock.now());
      yield { type: "declined", reason, isCounted: request.isCounted };
      return;
    }
    this.#active += 1;
    const controller = new AbortController();
    const onAbort = (): void => {
      controller.abort(new Error("caller disconnected", { cause: peerSignal.reason }));
      reply.cancel();
    };
    const cancel = (): void => {
      controller.abort(answers.createTimeout("no answer before the shutdown of the VM"));
    };
    this.#cancels.add(cancel);
    const reply = new remoteReply.RemoteReply();
    using buffers = budget.createAccount();
    const { signal } = controller;
    const receivedAt = clock.now();
    peerSignal.addEventListener("abort", onAbort, { once: true });
    if (peerSignal.aborted) onAbort();
    const serving = this.#run({ request, from, reply, buffers, receivedAt, signal });
    try {
      yield* reply.streamItems();
    } finally {
      onAbort();
      peerSignal.removeEventListener("abort", onAbort);
      await serving;
      this.#cancels.delete(cancel);
      this.#active -= 1;
    }
  }

  #findDeclineReason({
    version,
    head,
  }: handoverCalls.HandoverRequest): handoverCalls.DeclineReason | undefined {
    const { routing, isReady, paths, maxCalls = MAX_CALLS } = this.#options;
    const isProcessorFull = this.#options.isProcessorFull?.() ?? false;
    const table = routing.current;
    if (this.#isDraining) return DECLINE_REASON.leaving;
    if (table === undefined || !isReady()) return DECLINE_REASON.notReady;
    if (table.configuration.version < version) return DECLINE_REASON.olderConfiguration;
    if (this.#active >= maxCalls || isProcessorFull) return DECLINE_REASON.full;
    const service = servedCall.findService(table, head);
    const hasPath =
      service === undefined || paths.getState(service.name) === types.PATH_STATE.reachable;
    return hasPath ? undefined : DECLINE_REASON.noPath;
  }

  /** Serves a request, and sends what became of it as the last item. */
  async #run(received: ReceivedCall): Promise<void> {
    const { tracer } = this.#options;
    const { request, from, reply, receivedAt } = received;
    const { head, traceHeaders } = request;
    let result = "answered";
    try {
      const declined = await spans.runInSpanFromHeaders(
        tracer,
        "call",
        traceHeaders,
        { id: head.id, from: from.vm },
        () => this.#serve(received),
      );
      if (declined !== undefined) {
        result = declined;
        reply.sendDeclined(declined, request.isCounted);
      }
    } catch (error) {
      result = this.#handleFailure(received, error);
    } finally {
      reply.cancel();
      this.#recordEnd(request, from, result, receivedAt);
    }
  }

  /** Serves a request once it was claimed; returns why it did not, if nothing of it ran. */
  async #serve(received: ReceivedCall): Promise<handoverCalls.DeclineReason | undefined> {
    const { request, reply, buffers, signal } = received;
    const claimed = await this.#claim(received);
    signal.throwIfAborted();
    if (claimed === undefined) return DECLINE_REASON.notClaimed;
    const { body, arrivedAt, deadlineAt } = claimed;
    const head = handoverCalls.createHead(request.head);
    const { callerIp, isCounted, keyDigest } = request;
    const call = servedCall.createServedCall(this.#options, head, {
      ...{ body, callerIp, arrivedAt, signal, reply, buffers, isCounted, keyDigest },
      latestDeadlineAt: deadlineAt,
    });
    await this.#options.handler.serve(call);
    return undefined;
  }

  /** Claims a request and reads its body; returns `undefined` when it may not run. */
  async #claim(received: ReceivedCall): Promise<ClaimedBody | undefined> {
    const { clock, routing } = this.#options;
    const maxBytes = routing.current?.configuration.limits.maxBodyBytes ?? 0;
    const parts = this.#streamParts(received);
    const first = await parts.next();
    if (first.done === true) return undefined;
    const now = clock.now();
    const { waitedMs, leftMs } = first.value;
    const state = { isComplete: false };
    const body = await requestBody.readRequestBody(
      listBytes(first.value, parts, state),
      maxBytes,
      received.buffers,
    );
    if (!state.isComplete) return undefined;
    return { body, arrivedAt: now - Math.max(0, waitedMs), deadlineAt: now + leftMs };
  }

  async *#streamParts({
    request,
    from,
    signal,
  }: ReceivedCall): AsyncGenerator<handoverCalls.ClaimItem, undefined> {
    const { network: peers } = this.#options;
    const options = { timeoutMs: CLAIM_TIMEOUT_MS, incarnation: from.incarnation, signal };
    const claim = { offer: request.offer };
    try {
      yield* peers.stream(from.vm, handoverCalls.CLAIM, claim, options);
    } catch {
      // A body that is not complete is not used, whatever broke it off.
    }
  }

  /** Sends the failure of a request; returns its name. */
  #handleFailure({ request, reply, signal }: ReceivedCall, error: unknown): string {
    const isEnded = signal.reason instanceof resultCodes.RequestError;
    if (signal.aborted && !isEnded) return "cancelled";
    if (error instanceof answers.UnreachableError) {
      reply.sendDeclined(DECLINE_REASON.noPath, true);
      return DECLINE_REASON.noPath;
    }
    const failure = refusals.createRequestError(error);
    if (failure !== error) {
      const fields = { request: request.head.id, error: String(error) };
      this.#options.log.write(logEvents.LOG_EVENTS.unexpectedError, fields);
    }
    reply.sendFailure(failure);
    return String(failure.code.number);
  }

  #recordEnd(
    { head }: handoverCalls.HandoverRequest,
    from: network.PeerIdentity,
    result: string,
    receivedAt: number,
  ): void {
    const { metrics, log, clock } = this.#options;
    const tookMs = clock.now() - receivedAt;
    metrics.count("taken_over_calls", { result });
    metrics.recordDuration("taken_over_call", tookMs);
    const fields = { request: head.id, from: from.vm, result, tookMs: Math.round(tookMs) };
    log.write(logEvents.LOG_EVENTS.requestTakenOver, fields);
  }
}

/** Yields the bytes of a body; records in `state` whether the last part was among them. */
async function* listBytes(
  first: handoverCalls.ClaimItem,
  rest: AsyncIterable<handoverCalls.ClaimItem>,
  state: { isComplete: boolean },
): AsyncGenerator<Buffer> {
  state.isComplete = first.isLast;
  yield handoverCalls.createBuffer(first.bytes);
  for await (const { bytes, isLast } of rest) {
    state.isComplete = isLast;
    yield handoverCalls.createBuffer(bytes);
  }
}
