/** Places held for one request, from the grant to the end of its answer. */
import * as signals from "../kernel/signals.js";
import type * as clocks from "../kernel/clock.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./catalog.js";
import type * as holdings from "./holdings.js";
import * as messages from "./messages.js";
import type * as types from "./types.js";

/** A prefill lease, with or without its turn. */
export interface PrefillGrant {
  readonly runner: catalogs.CatalogRunner;
  readonly holding: holdings.Holding;
  readonly turn: boolean;
  readonly workMs: number;
  /** Time after which the turn is of no use. */
  readonly startBy: number;
}

/** A decode lease, with or without its turn. */
export interface DecodeGrant {
  readonly runner: catalogs.CatalogRunner;
  readonly holding: holdings.Holding;
  readonly turn: boolean;
  /** Time after which the turn is of no use. */
  readonly startBy: number;
}

/** What a reservation asks of the service that made it. */
export interface ReservationParts {
  readonly clock: clocks.Clock;
  readonly demand: types.Demand;
  readonly revoked: AbortController;
  /** Waits for the turn of a queued decode lease, and for one elsewhere if its allocator is lost. */
  readonly waitTurn: (grant: DecodeGrant, signal: AbortSignal) => Promise<DecodeGrant>;
  readonly leasePrefill: (decode: DecodeGrant, signal: AbortSignal) => Promise<PrefillGrant>;
  readonly waitPrefillTurn: (grant: PrefillGrant, signal: AbortSignal) => Promise<void>;
  readonly holdings: holdings.Holdings;
  readonly observer: Observer;
}

/** Takes in what a reservation observed of its runners. */
export interface Observer {
  onPrefillEnd(grant: PrefillGrant, demand: types.Demand): void;
  onDecodeStart(prefill: PrefillGrant, decode: DecodeGrant, demand: types.Demand, ms: number): void;
  onTokenGap(runner: string, gapMs: number): void;
  onFailure(runner: string): void;
}

/** The reservation that `Capacity.reserve` returns. */
export class LeasedReservation implements types.Reservation {
  readonly #parts: ReservationParts;
  readonly #plannedPrefill: catalogs.CatalogRunner;
  #decode: DecodeGrant;
  #prefill: PrefillGrant | undefined;
  #prefillEndedAt = 0;
  #disposed = false;

  constructor(
    parts: ReservationParts,
    decode: DecodeGrant,
    plannedPrefill: catalogs.CatalogRunner,
    prefill: PrefillGrant | undefined,
  ) {
    this.#parts = parts;
    this.#decode = decode;
    this.#plannedPrefill = plannedPrefill;
    this.#prefill = prefill;
  }

  /** The prefill runner; it may change until `waitForPrefill` returns. */
  get prefill(): upstream.Upstream {
    return createUpstream(this.#prefill?.runner ?? this.#plannedPrefill);
  }

  /** The decode runner; it may change until `waitForPrefill` returns. */
  get decode(): upstream.Upstream {
    return createUpstream(this.#decode.runner);
  }

  get revoked(): AbortSignal {
    return this.#parts.revoked.signal;
  }

  async waitForPrefill(signal: AbortSignal): Promise<void> {
    const { clock, demand } = this.#parts;
    using joined = signals.createJoinedSignal([signal, this.revoked]);
    const stop = joined.signal;
    if (!this.#decode.turn) this.#decode = await this.#parts.waitTurn(this.#decode, stop);
    this.#prefill ??= await this.#parts.leasePrefill(this.#decode, stop);
    await this.#parts.waitPrefillTurn(this.#prefill, stop);
    stop.throwIfAborted();
    if (clock.now() + this.#prefill.workMs <= demand.firstTokenBy) return;
    throw new resultCodes.RequestError(resultCodes.RESULT_CODES.overloaded, resultCodes.RAN.no, {
      detail: "first-token target can no longer be met",
      retryAfterMs: this.#prefill.workMs,
    });
  }

  recordPrefillEnd(cachedTokens: number): void {
    if (this.#prefill === undefined || this.#prefillEndedAt > 0) return;
    const { clock, holdings: held, observer, demand } = this.#parts;
    this.#prefillEndedAt = clock.now();
    const computedTokens = Math.max(0, demand.promptTokens - cachedTokens);
    held.setPhase(this.#prefill.holding, messages.PHASE.running, computedTokens);
    held.release(this.#prefill.holding);
    observer.onPrefillEnd(this.#prefill, demand);
  }

  recordDecodeStart(): void {
    const { clock, holdings: held, observer, demand } = this.#parts;
    if (this.#decode.holding.phase === messages.PHASE.running) return;
    held.setPhase(this.#decode.holding, messages.PHASE.running);
    if (this.#prefill === undefined || this.#prefillEndedAt === 0) return;
    observer.onDecodeStart(this.#prefill, this.#decode, demand, clock.now() - this.#prefillEndedAt);
  }

  recordTokenGap(gapMs: number): void {
    this.#parts.observer.onTokenGap(this.#decode.runner.name, gapMs);
  }

  recordFailure(runner: string): void {
    this.#parts.observer.onFailure(runner);
  }

  /** Gives both leases back. */
  [Symbol.asyncDispose](): Promise<void> {
    if (!this.#disposed) {
      this.#disposed = true;
      this.#parts.holdings.release(this.#decode.holding);
      if (this.#prefill !== undefined) this.#parts.holdings.release(this.#prefill.holding);
    }
    return Promise.resolve();
  }
}

function createUpstream(runner: catalogs.CatalogRunner): upstream.Upstream {
  return { name: runner.name, host: runner.host, port: runner.port };
}
