/** Client for the allocators of runners. A failed call counts as a refusal. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as messages from "./messages.js";
import * as refusals from "./refusals.js";

const CALL_TIMEOUT_MS = 500;
/** Time beyond a lease's latest start during which the allocator's reply is still awaited. */
const TURN_TIMEOUT_SLACK_MS = 50;

/** Dependencies of the client. */
export interface AllocatorClientParts {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly findAllocator: (runner: string) => string | undefined;
}

/** A queued lease that is waited for. */
export interface AwaitedLease extends messages.LeaseId {
  /** Latest start time that still meets the request's targets. */
  readonly startBy: number;
}

/** Calls the node that currently allocates a runner. */
export class AllocatorClient {
  readonly #parts: AllocatorClientParts;

  constructor(parts: AllocatorClientParts) {
    this.#parts = parts;
  }

  /** Requests a lease. @throws the signal's reason when it aborts */
  async sendLeaseRequest<Request extends { readonly runner: string }>(
    call: network.PeerCall<Request, messages.LeaseReply>,
    request: Request,
    signal: AbortSignal,
  ): Promise<messages.LeaseReply> {
    const allocator = this.#parts.findAllocator(request.runner);
    const failed = messages.createRefusal(messages.REFUSAL.unavailable, refusals.DEFAULT_RETRY_MS);
    if (allocator === undefined) return failed;
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal };
      return await this.#parts.network.call(allocator, call, request, options);
    } catch {
      signal.throwIfAborted();
      return failed;
    }
  }

  /** Waits until a queued lease may start. After a failed call the lease counts as unknown. */
  async waitTurn(lease: AwaitedLease, signal: AbortSignal): Promise<messages.TurnReply> {
    const { clock, network: peers } = this.#parts;
    const { runner, key, attempt, startBy } = lease;
    const allocator = this.#parts.findAllocator(runner);
    if (allocator === undefined) return { mayStart: false, known: false, shareExceeded: false };
    const timeoutMs = Math.max(0, startBy - clock.now()) + TURN_TIMEOUT_SLACK_MS;
    try {
      const options = { timeoutMs, signal };
      return await peers.call(allocator, messages.WAIT_TURN, { runner, key, attempt }, options);
    } catch {
      return { mayStart: false, known: clock.now() >= startBy, shareExceeded: false };
    }
  }
}
