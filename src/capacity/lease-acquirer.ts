/** Acquires leases for requests: asks for several runners and fails if none can meet the targets. */
import type * as random from "../kernel/random.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as allocatorClients from "./allocator-client.js";
import type * as catalogs from "./runner-catalog.js";
import type * as heldLeases from "./held-leases.js";
import * as messages from "./messages.js";
import type * as leaseRequesters from "./lease-requester.js";
import type * as policies from "./policy.js";
import * as refusals from "./refusals.js";
import type * as reservations from "./reservation.js";
import type * as selectors from "./runner-selector.js";
import type * as types from "./types.js";

/** Services, state and functions that the acquirer uses. */
export interface LeaseAcquirerOptions {
  readonly random: random.RandomSource;
  readonly client: allocatorClients.AllocatorClient;
  readonly requester: leaseRequesters.LeaseRequester;
  readonly policy: policies.CapacityPolicy;
  readonly selector: selectors.RunnerSelector;
  readonly heldLeases: heldLeases.HeldLeases;
  readonly getCatalog: () => catalogs.RunnerCatalog;
}

/** Acquires decode and prefill leases on behalf of requests. */
export class LeaseAcquirer {
  readonly #options: LeaseAcquirerOptions;

  constructor(options: LeaseAcquirerOptions) {
    this.#options = options;
  }

  /**
   * Leases a decode slot for a request whose prefill is expected at the given runner.
   *
   * @throws RequestError when no runner can meet the targets, or the signal's reason when it aborts.
   */
  async leaseDecode(
    demand: types.Demand,
    prefill: selectors.PrefillChoice,
    onRevoke: () => void,
    signal: AbortSignal,
  ): Promise<reservations.DecodeGrant> {
    const refused = new refusals.Refusals();
    const asked = new Set(demand.exclude);
    let alternative: string | undefined;
    for (let count = 0; count < this.#options.policy.maxRunnersAsked; count += 1) {
      const runner = this.#chooseNext(demand, prefill, asked, alternative);
      if (runner === undefined) break;
      asked.add(runner.name);
      const parameters = { demand, onRevoke, prefill, runner, isFirstCandidate: count === 0 };
      const { grant, reply } = await this.#options.requester.sendDecodeRequest(parameters, signal);
      if (grant !== undefined) return grant;
      refused.add(reply);
      alternative = reply.alternativeRunner;
    }
    throw refused.createError(this.#options.random);
  }

  /**
   * Waits until a queued decode lease may start. If its allocator does not know the lease, acquires
   * another one, possibly at another runner.
   *
   * @throws RequestError when no lease can start in time, or the signal's reason when it aborts.
   */
  async waitForDecodeLease(
    demand: types.Demand,
    grant: reservations.DecodeGrant,
    onRevoke: () => void,
    signal: AbortSignal,
  ): Promise<reservations.DecodeGrant> {
    let current = grant;
    while (!current.mayStart) {
      const reply = await this.#waitForStart(current, signal);
      if (reply.mayStart) return { ...current, mayStart: true };
      this.#options.heldLeases.release(current.lease);
      signal.throwIfAborted();
      if (reply.known) throw this.#createStartError(reply);
      const prefill = this.choosePrefill(demand);
      current = await this.leaseDecode(demand, prefill, onRevoke, signal);
    }
    return current;
  }

  /**
   * Leases prefill time for a request whose decode lease may start.
   *
   * @throws RequestError when no runner can end the prefill in time, or the signal's reason when it
   *   aborts.
   */
  async leasePrefill(
    demand: types.Demand,
    decode: reservations.DecodeGrant,
    onRevoke: () => void,
    signal: AbortSignal,
  ): Promise<reservations.PrefillGrant> {
    const refused = new refusals.Refusals();
    const asked = new Set(demand.exclude);
    for (let count = 0; count < this.#options.policy.maxRunnersAsked; count += 1) {
      const choice = this.#options.selector.choosePrefill(
        this.#options.getCatalog(),
        demand,
        asked,
      );
      if (choice === undefined) break;
      asked.add(choice.runner.name);
      const parameters = { demand, onRevoke, choice, decode };
      const { grant, reply } = await this.#options.requester.sendPrefillRequest(parameters, signal);
      if (grant !== undefined) return grant;
      refused.add(reply);
    }
    throw refused.createError(this.#options.random);
  }

  /**
   * Waits until a prefill lease may start. If its allocator does not know it, the prefill starts
   * anyway.
   *
   * @throws RequestError when the lease cannot start in time, or the signal's reason when it aborts.
   */
  async waitForPrefillLease(grant: reservations.PrefillGrant, signal: AbortSignal): Promise<void> {
    if (grant.mayStart) return;
    const reply = await this.#waitForStart(grant, signal);
    signal.throwIfAborted();
    if (reply.mayStart || !reply.known) return;
    throw this.#createStartError(reply);
  }

  /**
   * Returns the prefill runner with the earliest expected end of prefill.
   *
   * @throws RequestError when no prefill runner of the model is usable.
   */
  choosePrefill(demand: types.Demand): selectors.PrefillChoice {
    const excluded = new Set(demand.exclude);
    const catalog = this.#options.getCatalog();
    const choice = this.#options.selector.choosePrefill(catalog, demand, excluded);
    if (choice !== undefined) return choice;
    throw new resultCodes.RequestError(
      resultCodes.RESULT_CODES.upstreamUnavailable,
      resultCodes.RAN.no,
      { detail: "no prefill runner is usable", retryAfterMs: 2 * refusals.DEFAULT_RETRY_MS },
    );
  }

  #chooseNext(
    demand: types.Demand,
    prefill: selectors.PrefillChoice,
    asked: ReadonlySet<string>,
    alternative: string | undefined,
  ): catalogs.CatalogRunner | undefined {
    const catalog = this.#options.getCatalog();
    if (alternative !== undefined && !asked.has(alternative))
      return catalog.findRunner(alternative);
    return this.#options.selector.chooseDecode(catalog, demand, prefill.runner, asked);
  }

  #waitForStart(
    { lease, startBy }: Pick<reservations.DecodeGrant, "lease" | "startBy">,
    signal: AbortSignal,
  ): Promise<messages.StartReply> {
    const { runner, key, attempt } = lease;
    return this.#options.client.waitForStart({ runner, key, attempt, startBy }, signal);
  }

  #createStartError(reply: messages.StartReply): resultCodes.RequestError {
    const refused = new refusals.Refusals();
    const reason = reply.shareExceeded ? messages.REFUSAL.share : messages.REFUSAL.overloaded;
    refused.add(messages.createRefusal(reason, refusals.DEFAULT_RETRY_MS));
    return refused.createError(this.#options.random);
  }
}
