/** Requests a lease from one allocator and records the granted lease as held. */
import type * as clocks from "../kernel/clock.js";
import type * as allocatorClients from "./allocator-client.js";
import type * as catalogs from "./runner-catalog.js";
import type * as heldLeases from "./held-leases.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as reservations from "./reservation.js";
import type * as views from "./runner-views.js";
import type * as selectors from "./runner-selector.js";
import type * as types from "./types.js";

/** Services, state and functions that the requester uses. */
export interface LeaseRequesterOptions {
  readonly clock: clocks.Clock;
  readonly client: allocatorClients.AllocatorClient;
  readonly selector: selectors.RunnerSelector;
  readonly views: views.RunnerViews;
  readonly heldLeases: heldLeases.HeldLeases;
  readonly getCatalog: () => catalogs.RunnerCatalog;
}

/** Parameters common to both kinds of lease. */
interface LeaseParameters {
  readonly demand: types.Demand;
  /** Called when the allocator revokes the lease. */
  readonly onRevoke: () => void;
}

/** Parameters of a decode lease, which follows the chosen prefill. */
export interface DecodeLeaseParameters extends LeaseParameters {
  readonly prefill: selectors.PrefillChoice;
  readonly runner: catalogs.CatalogRunner;
  /** Whether no other runner was asked for this request before. */
  readonly isFirstCandidate: boolean;
}

/** Parameters of a prefill lease, whose result the granted decode lease's runner fetches. */
export interface PrefillLeaseParameters extends LeaseParameters {
  readonly choice: selectors.PrefillChoice;
  readonly decode: reservations.DecodeGrant;
}

/** An allocator's reply, with the grant unless it refused. */
export interface LeaseResult<Grant> {
  readonly reply: messages.LeaseReply;
  readonly grant: Grant | undefined;
}

/** Sends lease requests to the allocators of runners. */
export class LeaseRequester {
  readonly #options: LeaseRequesterOptions;

  constructor(options: LeaseRequesterOptions) {
    this.#options = options;
  }

  /**
   * Requests a decode slot and pieces of the KV cache.
   *
   * @throws the signal's reason when it aborts
   */
  async sendDecodeRequest(
    parameters: DecodeLeaseParameters,
    signal: AbortSignal,
  ): Promise<LeaseResult<reservations.DecodeGrant>> {
    const { client, clock, heldLeases: held, views: runnerViews } = this.#options;
    const { demand, runner, onRevoke } = parameters;
    const { startBy, leadMs } = this.#computeTimes(parameters);
    const request: messages.DecodeLeaseRequest = {
      runner: runner.name,
      id: demand.id,
      attempt: demand.attempt,
      caller: demand.caller,
      share: demand.share,
      priority: demand.priority,
      pieces: Math.ceil((demand.promptTokens + demand.maxTokens) / runner.tokensPerPiece),
      isFirstCandidate: parameters.isFirstCandidate,
      isCrashSuspect: demand.isCrashSuspect === true ? true : undefined,
      betweenTokensMs: Math.ceil(demand.betweenTokensMs),
      startWithinMs: Math.floor(startBy - clock.now()),
      leadMs: Math.ceil(leadMs),
    };
    const reply = await client.sendLeaseRequest(messages.LEASE_DECODE, request, signal);
    runnerViews.recordLeaseReply(runner.name, Math.max(reply.waitMs, reply.retryAfterMs));
    if (!reply.granted) return { reply, grant: undefined };
    const phase = reply.mayStart ? messages.PHASE.started : messages.PHASE.queued;
    const details = { runner: runner.name, pieces: request.pieces, tokens: 0, phase, onRevoke };
    const lease = createHeldLease(demand, details, clock.now());
    held.add(lease);
    runnerViews.recordSend(runner.name, 0);
    return { reply, grant: { runner, lease, mayStart: reply.mayStart, startBy } };
  }

  /** Requests prefill time. @throws the signal's reason when it aborts */
  async sendPrefillRequest(
    parameters: PrefillLeaseParameters,
    signal: AbortSignal,
  ): Promise<LeaseResult<reservations.PrefillGrant>> {
    const {
      client,
      clock,
      heldLeases: held,
      selector,
      getCatalog,
      views: runnerViews,
    } = this.#options;
    const { demand, choice, decode, onRevoke } = parameters;
    const { runner } = choice;
    const tokens = demand.promptTokens;
    const transferMs = selector.computeHandoverMs(getCatalog(), tokens, runner, decode.runner);
    const endBy = demand.firstTokenBy - transferMs - decode.runner.stepMs;
    const request: messages.PrefillLeaseRequest = {
      runner: runner.name,
      id: demand.id,
      attempt: demand.attempt,
      isCrashSuspect: demand.isCrashSuspect === true ? true : undefined,
      tokens,
      prefixes: messages.choosePrefixes(demand.prefixes, tokens),
      endWithinMs: Math.floor(endBy - clock.now()),
    };
    const reply = await client.sendLeaseRequest(messages.LEASE_PREFILL, request, signal);
    runnerViews.recordLeaseReply(runner.name, reply.granted ? reply.waitMs + reply.workMs : 0);
    if (!reply.granted) return { reply, grant: undefined };
    const details = {
      runner: runner.name,
      pieces: 0,
      tokens,
      phase: messages.PHASE.started,
      onRevoke,
    };
    const lease = createHeldLease(demand, details, clock.now());
    held.add(lease);
    const { mayStart, workMs } = reply;
    return { reply, grant: { runner, lease, mayStart, workMs, startBy: endBy - workMs } };
  }

  /** Computes the latest start and the expected time from the start to the end of the transfer. */
  #computeTimes({ demand, prefill, runner }: DecodeLeaseParameters): {
    readonly startBy: number;
    readonly leadMs: number;
  } {
    const { selector, getCatalog } = this.#options;
    const sizes = [getCatalog(), demand.promptTokens, prefill.runner, runner] as const;
    const readyMs = prefill.waitMs + prefill.workMs;
    const firstTokenMs = readyMs + selector.computeHandoverMs(...sizes) + runner.stepMs;
    return {
      startBy: Math.min(demand.firstTokenBy, demand.deadline) - firstTokenMs,
      leadMs: readyMs + selector.computeTransferMs(...sizes),
    };
  }
}

type HeldLeaseDetails = Pick<
  heldLeases.HeldLease,
  "runner" | "pieces" | "tokens" | "phase" | "onRevoke"
>;

function createHeldLease(
  demand: types.Demand,
  details: HeldLeaseDetails,
  now: number,
): heldLeases.HeldLease {
  const { id, attempt, caller, share, priority } = demand;
  const key = leaseMaps.computeLeaseKey(id);
  return { ...details, id, key, attempt, caller, share, priority, grantedAt: now };
}
