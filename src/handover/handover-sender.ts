/** Hands a request over to one VM and passes its answer on to the caller. */
import * as otel from "@opentelemetry/api";
import * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as routingState from "../routing/routing-state.js";
import * as answers from "../serving/answers.js";
import type * as serving from "../serving/types.js";
import * as handoverCalls from "./handover-calls.js";
import * as offers from "./offers.js";

/** Time in which a VM has to claim a request; it takes a round trip, or three with a new connection. */
const CLAIM_LIMIT_MS = 400;
/** Time beyond the caller's deadline in which the VM's own answer may still arrive. */
const DEADLINE_GRACE_MS = 50;

/** Bytes that are held for a stream: those of its events that are on their way to a caller that reads slowly. */
const STREAM_BYTES = 65_536;

/** Services that the sender uses. */
export interface HandoverSenderOptions {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly routing: routingState.RoutingState;
}

/** What became of a request at a VM. */
export type HandoverResult =
  /** The caller has the whole answer. */
  | { readonly kind: "answered" }
  /** Nothing of it ran. */
  | { readonly kind: "declined"; readonly reason: string; readonly isCounted: boolean };

const ANSWERED: HandoverResult = { kind: "answered" };

type ItemOf<Type extends handoverCalls.HandoverItem["type"]> = Extract<
  handoverCalls.HandoverItem,
  { readonly type: Type }
>;

type ItemHandler<Item> = (
  call: serving.ServedCall,
  item: Item,
) => Promise<HandoverResult | undefined> | HandoverResult | undefined;

/** Pass the items of an answer on to the caller. */
const ITEM_HANDLERS: {
  readonly [Type in handoverCalls.HandoverItem["type"]]: ItemHandler<ItemOf<Type>>;
} = {
  response: (call, { status, headers, body }) => {
    call.buffers.add(body.byteLength);
    call.reply.send(status, headers, handoverCalls.createBuffer(body));
    return ANSWERED;
  },
  start: (call, { status, headers, bodyBytes }) => {
    call.buffers.add(Math.min(bodyBytes ?? STREAM_BYTES, handoverCalls.MAX_BYTES_ON_WAY));
    const length = bodyBytes === undefined ? [] : [["Content-Length", String(bodyBytes)] as const];
    call.reply.start(status, [...headers, ...length]);
    return undefined;
  },
  part: async (call, { bytes }) => {
    await call.reply.write(handoverCalls.createBuffer(bytes), call.signal);
    return undefined;
  },
  end: (call) => {
    call.reply.close();
    return ANSWERED;
  },
  failure: (_call, failure) => {
    throw createFailure(failure);
  },
  declined: (_call, { reason, isCounted }) => ({ kind: "declined", reason, isCounted }),
};

/** Sends requests to other VMs. */
export class HandoverSender {
  readonly #options: HandoverSenderOptions;
  readonly #offers: offers.Offers;

  constructor(options: HandoverSenderOptions) {
    this.#options = options;
    this.#offers = new offers.Offers(options.clock, options.network);
  }

  /**
   * Hands a request over to a VM.
   *
   * @param isCounted - whether a VM has counted the request in its retry budget.
   * @throws RequestError when the VM refused or failed it, or it may have run there without a whole answer; the signal's
   * reason when the caller disconnects.
   */
  async send(call: serving.ServedCall, vm: string, isCounted: boolean): Promise<HandoverResult> {
    const { clock } = this.#options;
    const leftMs = call.deadlineAt - clock.now();
    using limit = clocks.createTimeLimit(clock, leftMs + DEADLINE_GRACE_MS, call.signal);
    using offer = this.#offers.add(vm, call);
    using claim = createClaimLimit(clock, offer, limit.signal);
    let result: HandoverResult | undefined;
    try {
      for await (const item of this.#streamItems(call, offer, isCounted, claim.signal))
        result = (await handleItem(call, item)) ?? result;
    } catch (error) {
      result ??= this.#handleError(call, offer, error, isCounted);
    }
    return result ?? this.#handleError(call, offer, new Error("answer has no end"), isCounted);
  }

  #streamItems(
    call: serving.ServedCall,
    offer: offers.Offer,
    isCounted: boolean,
    signal: AbortSignal,
  ): AsyncIterable<handoverCalls.HandoverItem> {
    const { network: peers, routing, clock } = this.#options;
    const traceHeaders: Record<string, string> = {};
    otel.propagation.inject(otel.context.active(), traceHeaders);
    const request = {
      offer: offer.number,
      version: routing.current?.configuration.version ?? 0,
      head: handoverCalls.formatHead(call.head),
      callerIp: call.callerIp,
      isCounted,
      traceHeaders,
      keyDigest: call.keyDigest,
    };
    const timeoutMs = call.deadlineAt - clock.now() + DEADLINE_GRACE_MS;
    return peers.stream(offer.vm, handoverCalls.HAND_OVER, request, { timeoutMs, signal });
  }

  /**
   * Returns the result of a request whose answer broke off, if it has certainly not run.
   *
   * @throws the error for the caller.
   */
  #handleError(
    call: serving.ServedCall,
    offer: offers.Offer,
    error: unknown,
    isCounted: boolean,
  ): HandoverResult {
    call.signal.throwIfAborted();
    if (error instanceof resultCodes.RequestError) throw error;
    if (offer.cancel()) return { kind: "declined", reason: String(error), isCounted };
    const detail = `${offer.vm}: ${String(error)}`;
    const isDeadlinePassed = this.#options.clock.now() >= call.deadlineAt;
    throw isDeadlinePassed ? answers.createTimeout(detail) : answers.createFailure(detail, error);
  }
}

function handleItem(
  call: serving.ServedCall,
  item: handoverCalls.HandoverItem,
): Promise<HandoverResult | undefined> | HandoverResult | undefined {
  const handler = ITEM_HANDLERS[item.type] as ItemHandler<handoverCalls.HandoverItem>;
  return handler(call, item);
}

/** Creates a signal that also aborts when a VM does not claim its offer in time, which takes the offer back. */
function createClaimLimit(
  clock: clocks.Clock,
  offer: offers.Offer,
  parent: AbortSignal,
): clocks.TimeLimit {
  const controller = new AbortController();
  const onAbort = (): void => {
    controller.abort(parent.reason);
  };
  const cancel = clock.schedule(CLAIM_LIMIT_MS, () => {
    if (!offer.isClaimed && offer.cancel())
      controller.abort(new Error(`not claimed within ${CLAIM_LIMIT_MS} ms`));
  });
  if (parent.aborted) onAbort();
  parent.addEventListener("abort", onAbort, { once: true });
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      cancel();
      parent.removeEventListener("abort", onAbort);
    },
  };
}

/** Creates the error of a request that another VM refused or failed. */
function createFailure({
  code,
  ran,
  detail,
  retryAfterMs,
}: ItemOf<"failure">): resultCodes.RequestError {
  const known = resultCodes.findResultCode(code);
  return new resultCodes.RequestError(known, ran, { detail, retryAfterMs });
}
