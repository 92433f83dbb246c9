/** The holder's side: asks allocators for leases and gives up when none can meet the targets. */
import type * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import type * as network from "../protocol/network.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as catalogs from "./catalog.js";
import type * as holdings from "./holdings.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as reservations from "./reservation.js";
import type * as views from "./runner-views.js";
import type * as selections from "./selection.js";
import type * as types from "./types.js";

const CALL_TIMEOUT_MS = 500;
/** How much later than the turn's last use its answer is awaited. */
const TURN_TIMEOUT_SLACK_MS = 200;
const DEFAULT_RETRY_MS = 500;
/** Part of a told retry time that is added at random, so that refused callers spread. */
const RETRY_JITTER = 0.5;

/** What leasing works with. */
export interface LeasingParts {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly network: network.PeerNetwork;
  readonly policy: policies.CapacityPolicy;
  readonly selection: selections.Selection;
  readonly views: views.RunnerViews;
  readonly holdings: holdings.Holdings;
  readonly getCatalog: () => catalogs.Catalog;
  readonly findAllocator: (runner: string) => string | undefined;
}

/** Which decode runner to ask for, behind which prefill. */
interface DecodeQuestion {
  readonly prefill: selections.PrefillChoice;
  readonly runner: catalogs.CatalogRunner;
  /** Whether no other runner was asked before. */
  readonly isFirst: boolean;
}

/** Collects the refusals of one request, to answer with the soonest time to come back. */
class Refusals {
  #retryAfterMs = Infinity;
  #shareOnly = true;
  #count = 0;

  add(answer: messages.Answer): void {
    this.#count += 1;
    this.#retryAfterMs = Math.min(this.#retryAfterMs, answer.retryAfterMs);
    if (answer.reason !== messages.REFUSAL.share) this.#shareOnly = false;
  }

  createError(draw: random.RandomSource): resultCodes.RequestError {
    const isShare = this.#count > 0 && this.#shareOnly;
    const code = isShare
      ? resultCodes.RESULT_CODES.shareExceeded
      : resultCodes.RESULT_CODES.overloaded;
    const soonestMs = Number.isFinite(this.#retryAfterMs) ? this.#retryAfterMs : DEFAULT_RETRY_MS;
    const retryAfterMs = Math.ceil(soonestMs * (1 + RETRY_JITTER * draw.nextFloat()));
    return new resultCodes.RequestError(code, resultCodes.RAN.no, { retryAfterMs });
  }
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
    const refusals = new Refusals();
    const asked = new Set(demand.exclude);
    let better: string | undefined;
    for (let count = 0; count < this.#parts.policy.maxAsked; count += 1) {
      const runner = this.#chooseNext(demand, prefill, asked, better);
      if (runner === undefined) break;
      asked.add(runner.name);
      const question = { prefill, runner, isFirst: count === 0 };
      const answer = await this.#callDecodeAllocator(demand, question, signal);
      if (answer.granted) return this.#addDecode(demand, runner, answer, onRevoke);
      refusals.add(answer);
      better = answer.better;
    }
    throw refusals.createError(this.#parts.random);
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
      const turn = await this.#waitForTurn(current, signal);
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
    const refusals = new Refusals();
    const asked = new Set(demand.exclude);
    for (let count = 0; count < this.#parts.policy.maxAsked; count += 1) {
      const choice = this.#parts.selection.choosePrefill(this.#parts.getCatalog(), demand, asked);
      if (choice === undefined) break;
      asked.add(choice.runner.name);
      const answer = await this.#callPrefillAllocator(demand, choice, decode, signal);
      if (answer.granted) return this.#addPrefill(demand, choice, answer, onRevoke);
      refusals.add(answer);
    }
    throw refusals.createError(this.#parts.random);
  }

  /**
   * Waits for the turn of a prefill lease. If the allocator lost the lease, the prefill goes ahead.
   *
   * @throws RequestError when the turn cannot come in time.
   */
  async waitPrefillTurn(grant: reservations.PrefillGrant, signal: AbortSignal): Promise<void> {
    if (grant.turn) return;
    const turn = await this.#waitForTurn(grant, signal);
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
      { detail: "no prefill runner is usable", retryAfterMs: 2 * DEFAULT_RETRY_MS },
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

  async #callDecodeAllocator(
    demand: types.Demand,
    { prefill, runner, isFirst }: DecodeQuestion,
    signal: AbortSignal,
  ): Promise<messages.Answer> {
    const { clock, selection, getCatalog, views: known } = this.#parts;
    const sizes = [getCatalog(), demand.promptTokens, prefill.runner, runner] as const;
    const readyMs = prefill.waitMs + prefill.workMs;
    const leadMs = readyMs + selection.computeLink(...sizes);
    const firstTokenMs = readyMs + selection.computeTransfer(...sizes) + runner.stepMs;
    const startBy = Math.min(demand.firstTokenBy, demand.deadline) - firstTokenMs;
    const pieces = Math.ceil((demand.promptTokens + demand.maxTokens) / runner.tokensPerPiece);
    const answer = await this.#callAllocator(
      runner.name,
      messages.LEASE_DECODE,
      {
        runner: runner.name,
        id: demand.id,
        attempt: demand.attempt,
        caller: demand.caller,
        share: demand.share,
        priority: demand.priority,
        pieces,
        isFirst,
        betweenTokensMs: demand.betweenTokensMs,
        startWithinMs: startBy - clock.now(),
        leadMs,
      },
      signal,
    );
    known.updateWait(runner.name, Math.max(answer.waitMs, answer.retryAfterMs));
    return answer;
  }

  async #callPrefillAllocator(
    demand: types.Demand,
    choice: selections.PrefillChoice,
    decode: reservations.DecodeGrant,
    signal: AbortSignal,
  ): Promise<messages.Answer> {
    const { clock, selection, getCatalog, views: known } = this.#parts;
    const transferMs = selection.computeTransfer(
      getCatalog(),
      demand.promptTokens,
      choice.runner,
      decode.runner,
    );
    const answer = await this.#callAllocator(
      choice.runner.name,
      messages.LEASE_PREFILL,
      {
        runner: choice.runner.name,
        id: demand.id,
        attempt: demand.attempt,
        tokens: demand.promptTokens,
        prefixes: messages.choosePrefixes(demand.prefixes, demand.promptTokens),
        endWithinMs: demand.firstTokenBy - clock.now() - transferMs - decode.runner.stepMs,
      },
      signal,
    );
    known.updateWait(choice.runner.name, answer.granted ? answer.waitMs + answer.workMs : 0);
    return answer;
  }

  async #waitForTurn(grant: reservations.DecodeGrant, signal: AbortSignal): Promise<messages.Turn> {
    const { clock, network: peers } = this.#parts;
    const { runner, id, attempt } = grant.holding;
    const allocator = this.#parts.findAllocator(runner);
    const timeoutMs = Math.max(0, grant.startBy - clock.now()) + TURN_TIMEOUT_SLACK_MS;
    if (allocator === undefined) return { turn: false, known: false, share: false };
    try {
      const options = { timeoutMs, signal };
      return await peers.call(allocator, messages.WAIT_TURN, { runner, id, attempt }, options);
    } catch {
      const isLate = clock.now() >= grant.startBy;
      return { turn: false, known: isLate, share: false };
    }
  }

  async #callAllocator<Request>(
    runner: string,
    call: network.PeerCall<Request, messages.Answer>,
    request: Request,
    signal: AbortSignal,
  ): Promise<messages.Answer> {
    const allocator = this.#parts.findAllocator(runner);
    const failed = messages.createRefusal(messages.REFUSAL.unavailable, DEFAULT_RETRY_MS);
    if (allocator === undefined) return failed;
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal };
      return await this.#parts.network.call(allocator, call, request, options);
    } catch {
      signal.throwIfAborted();
      return failed;
    }
  }

  #addDecode(
    demand: types.Demand,
    runner: catalogs.CatalogRunner,
    answer: messages.Answer,
    onRevoke: () => void,
  ): reservations.DecodeGrant {
    const now = this.#parts.clock.now();
    const pieces = Math.ceil((demand.promptTokens + demand.maxTokens) / runner.tokensPerPiece);
    const phase = answer.turn ? messages.PHASE.sent : messages.PHASE.queued;
    const holding = createHolding(demand, runner, { pieces, tokens: 0, phase, now, onRevoke });
    this.#parts.holdings.add(holding);
    this.#parts.views.recordSend(runner.name, 0);
    return { runner, holding, turn: answer.turn, startBy: demand.firstTokenBy };
  }

  #addPrefill(
    demand: types.Demand,
    choice: selections.PrefillChoice,
    answer: messages.Answer,
    onRevoke: () => void,
  ): reservations.PrefillGrant {
    const now = this.#parts.clock.now();
    const tokens = demand.promptTokens;
    const phase = messages.PHASE.sent;
    const { runner } = choice;
    const holding = createHolding(demand, runner, { pieces: 0, tokens, phase, now, onRevoke });
    this.#parts.holdings.add(holding);
    const { turn, workMs } = answer;
    return { runner, holding, turn, workMs, startBy: demand.firstTokenBy - workMs };
  }

  #createTurnError(turn: messages.Turn): resultCodes.RequestError {
    const refusals = new Refusals();
    const reason = turn.share ? messages.REFUSAL.share : messages.REFUSAL.overloaded;
    refusals.add(messages.createRefusal(reason, DEFAULT_RETRY_MS));
    return refusals.createError(this.#parts.random);
  }
}

interface HoldingDetails {
  readonly pieces: number;
  readonly tokens: number;
  readonly phase: messages.Phase;
  readonly now: number;
  readonly onRevoke: () => void;
}

function createHolding(
  demand: types.Demand,
  runner: catalogs.CatalogRunner,
  details: HoldingDetails,
): holdings.Holding {
  return {
    runner: runner.name,
    id: demand.id,
    attempt: demand.attempt,
    caller: demand.caller,
    share: demand.share,
    priority: demand.priority,
    pieces: details.pieces,
    tokens: details.tokens,
    grantedAt: details.now,
    phase: details.phase,
    onRevoke: details.onRevoke,
  };
}
