/** Prefill and decode leases held for one request, from the grant to the end of the response. */
import * as signals from "../kernel/signals.js";
import type * as clocks from "../kernel/clock.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./runner-catalog.js";
import type * as heldLeases from "./held-leases.js";
import * as messages from "./messages.js";
import type * as types from "./types.js";

/** A granted prefill lease, which may still be queued at the runner. */
export interface PrefillGrant {
  readonly runner: catalogs.CatalogRunner;
  readonly lease: heldLeases.HeldLease;
  readonly mayStart: boolean;
  readonly workMs: number;
  /** Latest start time that still meets the request's targets. */
  readonly startBy: number;
}

/** A granted decode lease, which may still be queued at the runner. */
export interface DecodeGrant {
  readonly runner: catalogs.CatalogRunner;
  readonly lease: heldLeases.HeldLease;
  readonly mayStart: boolean;
  /** Latest start time that still meets the request's targets. */
  readonly startBy: number;
}

/** Dependencies of a reservation, supplied by the capacity service. */
export interface ReservationOptions {
  readonly clock: clocks.Clock;
  readonly demand: types.Demand;
  /** Aborted when one of the reservation's leases is revoked. */
  readonly revocation: AbortController;
  /** Waits until a queued decode lease may start; leases again if its allocator does not know it. */
  readonly waitForDecodeLease: (grant: DecodeGrant, signal: AbortSignal) => Promise<DecodeGrant>;
  readonly leasePrefill: (decode: DecodeGrant, signal: AbortSignal) => Promise<PrefillGrant>;
  /** Waits until a queued prefill lease may start. */
  readonly waitForPrefillLease: (grant: PrefillGrant, signal: AbortSignal) => Promise<void>;
  readonly heldLeases: heldLeases.HeldLeases;
  readonly observer: ReservationObserver;
}

/** Receives what a reservation measured at its runners. */
export interface ReservationObserver {
  onPrefillEnd(grant: PrefillGrant, demand: types.Demand): void;
  /** @param handoverMs - time from the end of prefill to the start of decode. */
  onDecodeStart(
    prefill: PrefillGrant,
    decode: DecodeGrant,
    demand: types.Demand,
    handoverMs: number,
  ): void;
  onTokenGap(runner: string, gapMs: number): void;
  onFailure(runner: string): void;
}

/** The reservation that `Capacity.reserve` returns; its prefill lease may follow later. */
export class LeasedReservation implements types.Reservation {
  readonly #options: ReservationOptions;
  /** Prefill runner for which the decode lease was requested; the prefill lease may be at another. */
  readonly #plannedPrefill: catalogs.CatalogRunner;
  #decode: DecodeGrant;
  #prefill: PrefillGrant | undefined;
  #prefillEndedAt = 0;
  #disposed = false;

  constructor(
    options: ReservationOptions,
    decode: DecodeGrant,
    plannedPrefill: catalogs.CatalogRunner,
    prefill: PrefillGrant | undefined,
  ) {
    this.#options = options;
    this.#decode = decode;
    this.#plannedPrefill = plannedPrefill;
    this.#prefill = prefill;
  }

  /** The prefill runner, final once `waitForPrefillStart` has resolved. */
  get prefill(): upstream.Upstream {
    return createUpstream(this.#prefill?.runner ?? this.#plannedPrefill);
  }

  /** The decode runner, final once `waitForPrefillStart` has resolved. */
  get decode(): upstream.Upstream {
    return createUpstream(this.#decode.runner);
  }

  get revoked(): AbortSignal {
    return this.#options.revocation.signal;
  }

  async waitForPrefillStart(signal: AbortSignal): Promise<void> {
    const { clock, demand } = this.#options;
    using joined = signals.createJoinedSignal([signal, this.revoked]);
    const abortSignal = joined.signal;
    if (!this.#decode.mayStart)
      this.#decode = await this.#options.waitForDecodeLease(this.#decode, abortSignal);
    this.#prefill ??= await this.#options.leasePrefill(this.#decode, abortSignal);
    await this.#options.waitForPrefillLease(this.#prefill, abortSignal);
    abortSignal.throwIfAborted();
    if (clock.now() + this.#prefill.workMs <= demand.firstTokenBy) return;
    throw new resultCodes.RequestError(resultCodes.RESULT_CODES.overloaded, resultCodes.RAN.no, {
      detail: "first-token target can no longer be met",
      retryAfterMs: this.#prefill.workMs,
    });
  }

  recordPrefillEnd(cachedTokens: number): void {
    if (this.#prefill === undefined || this.#prefillEndedAt > 0) return;
    const { clock, heldLeases: held, observer, demand } = this.#options;
    this.#prefillEndedAt = clock.now();
    const computedTokens = Math.max(0, demand.promptTokens - cachedTokens);
    held.setPhase(this.#prefill.lease, messages.PHASE.running, computedTokens);
    held.release(this.#prefill.lease);
    observer.onPrefillEnd(this.#prefill, demand);
  }

  recordDecodeStart(): void {
    const { clock, heldLeases: held, observer, demand } = this.#options;
    if (this.#decode.lease.phase === messages.PHASE.running) return;
    held.setPhase(this.#decode.lease, messages.PHASE.running);
    if (this.#prefill === undefined || this.#prefillEndedAt === 0) return;
    observer.onDecodeStart(this.#prefill, this.#decode, demand, clock.now() - this.#prefillEndedAt);
  }

  recordTokenGap(gapMs: number): void {
    this.#options.observer.onTokenGap(this.#decode.runner.name, gapMs);
  }

  recordFailure(runner: string): void {
    this.#options.observer.onFailure(runner);
  }

  /** Releases both leases. */
  [Symbol.asyncDispose](): Promise<void> {
    if (!this.#disposed) {
      this.#disposed = true;
      this.#options.heldLeases.release(this.#decode.lease);
      if (this.#prefill !== undefined) this.#options.heldLeases.release(this.#prefill.lease);
    }
    return Promise.resolve();
  }
}

function createUpstream(runner: catalogs.CatalogRunner): upstream.Upstream {
  return { name: runner.name, host: runner.host, port: runner.port };
}
