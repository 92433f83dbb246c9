/** One question to one allocator for a lease, and the grant that follows from its answer. */
import type * as clocks from "../kernel/clock.js";
import type * as allocatorCalls from "./allocator-calls.js";
import type * as catalogs from "./catalog.js";
import type * as holdings from "./holdings.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as reservations from "./reservation.js";
import type * as views from "./runner-views.js";
import type * as selections from "./selection.js";
import type * as types from "./types.js";

/** What the questions are made with. */
export interface LeaseRequestParts {
  readonly clock: clocks.Clock;
  readonly calls: allocatorCalls.AllocatorCalls;
  readonly selection: selections.Selection;
  readonly views: views.RunnerViews;
  readonly holdings: holdings.Holdings;
  readonly getCatalog: () => catalogs.Catalog;
}

/** Whom a lease is for. */
interface Question {
  readonly demand: types.Demand;
  /** Called when the allocator takes the lease back. */
  readonly onRevoke: () => void;
}

/** A question for a decode slot behind a prefill. */
export interface DecodeQuestion extends Question {
  readonly prefill: selections.PrefillChoice;
  readonly runner: catalogs.CatalogRunner;
  /** Whether no other runner was asked before. */
  readonly isFirst: boolean;
}

/** A question for prefill queue time before a decode lease. */
export interface PrefillQuestion extends Question {
  readonly choice: selections.PrefillChoice;
  readonly decode: reservations.DecodeGrant;
}

/** An allocator's answer, and the grant if it granted. */
export interface Outcome<Grant> {
  readonly answer: messages.Answer;
  readonly grant: Grant | undefined;
}

/** Asks single allocators. */
export class LeaseRequests {
  readonly #parts: LeaseRequestParts;

  constructor(parts: LeaseRequestParts) {
    this.#parts = parts;
  }

  /** Asks for a decode slot and pieces. @throws the signal's reason when it aborts */
  async callForDecode(
    question: DecodeQuestion,
    signal: AbortSignal,
  ): Promise<Outcome<reservations.DecodeGrant>> {
    const { calls, clock, holdings: held, views: known } = this.#parts;
    const { demand, runner, onRevoke } = question;
    const { startBy, leadMs } = this.#computeTimes(question);
    const request: messages.LeaseRequest = {
      runner: runner.name,
      id: demand.id,
      attempt: demand.attempt,
      caller: demand.caller,
      share: demand.share,
      priority: demand.priority,
      pieces: Math.ceil((demand.promptTokens + demand.maxTokens) / runner.tokensPerPiece),
      isFirst: question.isFirst,
      isSuspect: demand.isSuspect === true ? true : undefined,
      betweenTokensMs: Math.ceil(demand.betweenTokensMs),
      startWithinMs: Math.floor(startBy - clock.now()),
      leadMs: Math.ceil(leadMs),
    };
    const answer = await calls.callForLease(messages.LEASE_DECODE, request, signal);
    known.updateWait(runner.name, Math.max(answer.waitMs, answer.retryAfterMs));
    if (!answer.granted) return { answer, grant: undefined };
    const phase = answer.turn ? messages.PHASE.sent : messages.PHASE.queued;
    const details = { runner: runner.name, pieces: request.pieces, tokens: 0, phase, onRevoke };
    const holding = createHolding(demand, details, clock.now());
    held.add(holding);
    known.recordSend(runner.name, 0);
    return { answer, grant: { runner, holding, turn: answer.turn, startBy } };
  }

  /** Asks for prefill queue time. @throws the signal's reason when it aborts */
  async callForPrefill(
    question: PrefillQuestion,
    signal: AbortSignal,
  ): Promise<Outcome<reservations.PrefillGrant>> {
    const { calls, clock, holdings: held, selection, getCatalog, views: known } = this.#parts;
    const { demand, choice, decode, onRevoke } = question;
    const { runner } = choice;
    const tokens = demand.promptTokens;
    const transferMs = selection.computeTransfer(getCatalog(), tokens, runner, decode.runner);
    const endBy = demand.firstTokenBy - transferMs - decode.runner.stepMs;
    const request: messages.PrefillRequest = {
      runner: runner.name,
      id: demand.id,
      attempt: demand.attempt,
      isSuspect: demand.isSuspect === true ? true : undefined,
      tokens,
      prefixes: messages.choosePrefixes(demand.prefixes, tokens),
      endWithinMs: Math.floor(endBy - clock.now()),
    };
    const answer = await calls.callForLease(messages.LEASE_PREFILL, request, signal);
    known.updateWait(runner.name, answer.granted ? answer.waitMs + answer.workMs : 0);
    if (!answer.granted) return { answer, grant: undefined };
    const details = {
      runner: runner.name,
      pieces: 0,
      tokens,
      phase: messages.PHASE.sent,
      onRevoke,
    };
    const holding = createHolding(demand, details, clock.now());
    held.add(holding);
    const { turn, workMs } = answer;
    return { answer, grant: { runner, holding, turn, workMs, startBy: endBy - workMs } };
  }

  /** Computes until when the turn is of use, and the time from it to the end of the transfer. */
  #computeTimes({ demand, prefill, runner }: DecodeQuestion): {
    readonly startBy: number;
    readonly leadMs: number;
  } {
    const { selection, getCatalog } = this.#parts;
    const sizes = [getCatalog(), demand.promptTokens, prefill.runner, runner] as const;
    const readyMs = prefill.waitMs + prefill.workMs;
    const firstTokenMs = readyMs + selection.computeTransfer(...sizes) + runner.stepMs;
    return {
      startBy: Math.min(demand.firstTokenBy, demand.deadline) - firstTokenMs,
      leadMs: readyMs + selection.computeLink(...sizes),
    };
  }
}

type HoldingDetails = Pick<holdings.Holding, "runner" | "pieces" | "tokens" | "phase" | "onRevoke">;

function createHolding(
  demand: types.Demand,
  details: HoldingDetails,
  now: number,
): holdings.Holding {
  const { id, attempt, caller, share, priority } = demand;
  const key = leaseMaps.computeLeaseKey(id);
  return { ...details, id, key, attempt, caller, share, priority, grantedAt: now };
}
