/**
 * Requests that this VM offers to others. A VM that was offered one has to claim it before it runs it. A request that was
 * not claimed can be taken back, and has certainly not run.
 */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as serving from "../serving/types.js";
import * as handoverCalls from "./handover-calls.js";

const OFFER_STATE = { open: "open", claimed: "claimed", cancelled: "cancelled" } as const;

/** A request that is offered to one VM. */
export class Offer implements Disposable {
  readonly number: number;
  readonly vm: string;
  readonly call: serving.ServedCall;
  readonly #onEnd: () => void;
  #state: (typeof OFFER_STATE)[keyof typeof OFFER_STATE] = OFFER_STATE.open;

  constructor(number: number, vm: string, call: serving.ServedCall, onEnd: () => void) {
    this.number = number;
    this.vm = vm;
    this.call = call;
    this.#onEnd = onEnd;
  }

  /** Whether the VM may run the request. */
  get isClaimed(): boolean {
    return this.#state === OFFER_STATE.claimed;
  }

  /** Lets the VM run the request; returns whether it may, which holds once. */
  claim(): boolean {
    if (this.#state !== OFFER_STATE.open || this.call.signal.aborted) return false;
    this.#state = OFFER_STATE.claimed;
    return true;
  }

  /** Takes the request back; returns whether it had not been claimed, so that it has certainly not run. */
  cancel(): boolean {
    if (this.#state === OFFER_STATE.open) this.#state = OFFER_STATE.cancelled;
    return this.#state === OFFER_STATE.cancelled;
  }

  /** Removes the offer; it cannot be claimed any more. */
  [Symbol.dispose](): void {
    this.cancel();
    this.#onEnd();
  }
}

/** The offers of this VM, which other VMs claim. */
export class Offers {
  readonly #clock: clocks.Clock;
  readonly #offers = new Map<number, Offer>();
  #lastNumber = 0;

  constructor(clock: clocks.Clock, peers: network.PeerNetwork) {
    this.#clock = clock;
    peers.onStream(handoverCalls.CLAIM, ({ offer }, from) => this.#streamBody(offer, from.vm));
  }

  /** Offers a request to a VM. */
  add(vm: string, call: serving.ServedCall): Offer {
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    const offer = new Offer(number, vm, call, () => this.#offers.delete(number));
    this.#offers.set(number, offer);
    return offer;
  }

  // eslint-disable-next-line @typescript-eslint/require-await -- streams are asynchronous for their reader
  async *#streamBody(number: number, vm: string): AsyncGenerator<handoverCalls.ClaimItem> {
    const offer = this.#offers.get(number);
    if (offer?.vm !== vm) return;
    const { arrivedAt, deadlineAt, body } = offer.call;
    if (this.#clock.now() >= deadlineAt || !offer.claim()) return;
    let sentBytes = 0;
    for (const bytes of handoverCalls.listParts(body)) {
      const now = this.#clock.now();
      sentBytes += bytes.byteLength;
      const isLast = sentBytes === body.byteLength;
      yield { waitedMs: now - arrivedAt, leftMs: deadlineAt - now, bytes, isLast };
    }
  }
}
