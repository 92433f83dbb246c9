/** The holder's side: asks allocators for leases and gives up when none can meet the targets. */
import type * as random from "../kernel/random.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as allocatorCalls from "./allocator-calls.js";
import type * as catalogs from "./catalog.js";
import type * as holdings from "./holdings.js";
import * as messages from "./messages.js";
import type * as leaseRequests from "./lease-requests.js";
import type * as policies from "./policy.js";
import * as refusals from "./refusals.js";
import type * as reservations from "./reservation.js";
import type * as selections from "./selection.js";
import type * as types from "./types.js";

/** What leasing works with. */
export interface LeasingParts {
  readonly random: random.RandomSource;
  readonly calls: allocatorCalls.AllocatorCalls;
  readonly requests: leaseRequests.LeaseRequests;
  readonly policy: policies.CapacityPolicy;
  readonly selection: selections.Selection;
  readonly holdings: holdings.Holdings;
  readonly getCatalog: () => catalogs.Catalog;
}

/** Asks for leases on behalf of requests. */
export class Leasing {
  readonly #parts: LeasingParts;

  constructor(parts: LeasingParts) {
    this.#parts = parts;
  }

  /**
   * Leases a decode slot behind the prefill runner that is expected to end first.
   *
   * @throws RequestError when no runner can meet the targets.
   */
  async leaseDecode(
    demand: types.Demand,
    prefill: selections.PrefillChoice,
    onRevoke: () => void,
    signal: AbortSignal,
  ): Promise<reservations.DecodeGrant> {
    const refused = new refusals.Refusals();
    const asked = new Set(demand.exclude);
    let better: string | undefined;
    for (let count = 0; count < this.#parts.policy.maxAsked; count += 1) {
      const runner = this.#chooseNext(demand, prefill, asked, better);
      if (runner === undefined) break;
      asked.add(runner.name);
      const question = { demand, onRevoke, prefill, runner, isFirst: count === 0 };
      const { grant, answer } = await this.#parts.requests.callForDecode(question, signal);
      if (grant !== undefined) return grant;
      refused.add(answer);
      better = answer.better;
    }
    throw refused.createError(this.#parts.random);
  }

  /**
   * Waits for the turn of a queued lease. If the allocator lost the lease, asks for another.
   *
   * @throws RequestError when the turn cannot come in time.
   */
  async waitTurn(
    demand: types.Demand,
    grant: reservations.DecodeGrant,
    onRevoke: () => void,
    signal: AbortSignal,
  ): Promise<reservations.DecodeGrant> {
    let current = grant;
    while (!current.turn) {
      const turn = await this.#waitTurn(current, signal);
      if (turn.turn) return { ...current, turn: true };
      this.#parts.holdings.release(current.holding);
      signal.throwIfAborted();
      if (turn.known) throw this.#createTurnError(turn);
      const prefill = this.choosePrefill(demand);
      current = await this.leaseDecode(demand, prefill, onRevoke, signal);
    }
    return current;
  }

  /**
   * Leases prefill queue time for a request that has its decode turn.
   *
   * @throws RequestError when no runner can end the prefill in time.
   */
  async leasePrefill(
    demand: types.Demand,
    decode: reservations.DecodeGrant,
    onRevoke: () => void,
    signal: AbortSignal,
  ): Promise<reservations.PrefillGrant> {
    const refused = new refusals.Refusals();
    const asked = new Set(demand.exclude);
    for (let count = 0; count < this.#parts.policy.maxAsked; count += 1) {
      const choice = this.#parts.selection.choosePrefill(this.#parts.getCatalog(), demand, asked);
      if (choice === undefined) break;
      asked.add(choice.runner.name);
      const question = { demand, onRevoke, choice, decode };
      const { grant, answer } = await this.#parts.requests.callForPrefill(question, signal);
      if (grant !== undefined) return grant;
      refused.add(answer);
    }
    throw refused.createError(this.#parts.random);
  }

  /**
   * Waits for the turn of a prefill lease. If the allocator lost the lease, the prefill goes ahead.
   *
   * @throws RequestError when the turn cannot come in time.
   */
  async waitPrefillTurn(grant: reservations.PrefillGrant, signal: AbortSignal): Promise<void> {
    if (grant.turn) return;
    const turn = await this.#waitTurn(grant, signal);
    signal.throwIfAborted();
    if (turn.turn || !turn.known) return;
    throw this.#createTurnError(turn);
  }

  /**
   * Returns the prefill runner that is expected to end first.
   *
   * @throws RequestError when no prefill runner of the model is usable.
   */
  choosePrefill(demand: types.Demand): selections.PrefillChoice {
    const excluded = new Set(demand.exclude);
    const catalog = this.#parts.getCatalog();
    const choice = this.#parts.selection.choosePrefill(catalog, demand, excluded);
    if (choice !== undefined) return choice;
    throw new resultCodes.RequestError(
      resultCodes.RESULT_CODES.upstreamUnavailable,
      resultCodes.RAN.no,
      { detail: "no prefill runner is usable", retryAfterMs: 2 * refusals.DEFAULT_RETRY_MS },
    );
  }

  #chooseNext(
    demand: types.Demand,
    prefill: selections.PrefillChoice,
    asked: ReadonlySet<string>,
    better: string | undefined,
  ): catalogs.CatalogRunner | undefined {
    const catalog = this.#parts.getCatalog();
    if (better !== undefined && !asked.has(better)) return catalog.findRunner(better);
    return this.#parts.selection.chooseDecode(catalog, demand, prefill.runner, asked);
  }

  #waitTurn(
    { holding, startBy }: Pick<reservations.DecodeGrant, "holding" | "startBy">,
    signal: AbortSignal,
  ): Promise<messages.Turn> {
    const { runner, key, attempt } = holding;
    return this.#parts.calls.waitTurn({ runner, key, attempt, startBy }, signal);
  }

  #createTurnError(turn: messages.Turn): resultCodes.RequestError {
    const refused = new refusals.Refusals();
    const reason = turn.share ? messages.REFUSAL.share : messages.REFUSAL.overloaded;
    refused.add(messages.createRefusal(reason, refusals.DEFAULT_RETRY_MS));
    return refused.createError(this.#parts.random);
  }
}
