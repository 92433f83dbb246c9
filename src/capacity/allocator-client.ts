/** Client for the allocators of runners. A failed call is returned as a refusal. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as messages from "./messages.js";
import * as refusals from "./refusals.js";

const CALL_TIMEOUT_MS = 500;
/** Time for which the allocator's reply is still awaited after a lease's latest start time. */
const START_TIMEOUT_SLACK_MS = 50;

/** Services, state and functions that the client uses. */
export interface AllocatorClientOptions {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly findAllocator: (runner: string) => string | undefined;
}

/** A queued lease and its latest start time. */
export interface QueuedLease extends messages.LeaseId {
  /** Latest start time that still meets the request's targets. */
  readonly startBy: number;
}

/** Calls the node that currently allocates a runner. */
export class AllocatorClient {
  readonly #options: AllocatorClientOptions;

  constructor(options: AllocatorClientOptions) {
    this.#options = options;
  }

  /** Requests a lease. @throws the signal's reason when it aborts */
  async sendLeaseRequest<Request extends { readonly runner: string }>(
    call: network.PeerCall<Request, messages.LeaseReply>,
    request: Request,
    signal: AbortSignal,
  ): Promise<messages.LeaseReply> {
    const allocator = this.#options.findAllocator(request.runner);
    const failed = messages.createRefusal(messages.REFUSAL.unavailable, refusals.DEFAULT_RETRY_MS);
    if (allocator === undefined) return failed;
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal };
      return await this.#options.network.call(allocator, call, request, options);
    } catch {
      signal.throwIfAborted();
      return failed;
    }
  }

  /**
   * Waits until a queued lease may start or is refused. If the call fails, also because `signal`
   * aborts, the lease may not start; it counts as unknown unless its latest start time has passed.
   */
  async waitForStart(lease: QueuedLease, signal: AbortSignal): Promise<messages.StartReply> {
    const { clock, network: peers } = this.#options;
    const { runner, key, attempt, startBy } = lease;
    const allocator = this.#options.findAllocator(runner);
    if (allocator === undefined) return { mayStart: false, known: false, shareExceeded: false };
    const timeoutMs = Math.max(0, startBy - clock.now()) + START_TIMEOUT_SLACK_MS;
    try {
      const options = { timeoutMs, signal };
      return await peers.call(
        allocator,
        messages.WAIT_FOR_START,
        { runner, key, attempt },
        options,
      );
    } catch {
      return { mayStart: false, known: clock.now() >= startBy, shareExceeded: false };
    }
  }
}
