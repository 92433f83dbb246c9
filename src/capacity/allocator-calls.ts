/** Calls to the allocators of runners. A call that fails counts as a refusal. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as messages from "./messages.js";
import * as refusals from "./refusals.js";

const CALL_TIMEOUT_MS = 500;
/** How much later than the turn's last use its answer is awaited. */
const TURN_TIMEOUT_SLACK_MS = 50;

/** What the calls need. */
export interface AllocatorCallParts {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly findAllocator: (runner: string) => string | undefined;
}

/** A lease whose turn is awaited. */
export interface AwaitedLease extends messages.LeaseId {
  /** Time after which the turn is of no use. */
  readonly startBy: number;
}

/** Calls the allocator of a runner. */
export class AllocatorCalls {
  readonly #parts: AllocatorCallParts;

  constructor(parts: AllocatorCallParts) {
    this.#parts = parts;
  }

  /** Asks for a lease. @throws the signal's reason when it aborts */
  async callForLease<Request extends { readonly runner: string }>(
    call: network.PeerCall<Request, messages.Answer>,
    request: Request,
    signal: AbortSignal,
  ): Promise<messages.Answer> {
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

  /** Waits for a lease's turn; not known if the allocator did not answer in time. */
  async waitTurn(lease: AwaitedLease, signal: AbortSignal): Promise<messages.Turn> {
    const { clock, network: peers } = this.#parts;
    const { runner, key, attempt, startBy } = lease;
    const allocator = this.#parts.findAllocator(runner);
    if (allocator === undefined) return { turn: false, known: false, share: false };
    const timeoutMs = Math.max(0, startBy - clock.now()) + TURN_TIMEOUT_SLACK_MS;
    try {
      const options = { timeoutMs, signal };
      return await peers.call(allocator, messages.WAIT_TURN, { runner, key, attempt }, options);
    } catch {
      return { turn: false, known: clock.now() >= startBy, share: false };
    }
  }
}
