/** The attempts of one request: ids, attempt numbers, addresses, pauses and the time limit. */
import * as clocks from "../kernel/clock.js";
import * as codes from "../protocol/result-codes.js";
import type * as random from "../kernel/random.js";
import type * as addressCache from "./address-cache.js";
import * as outcome from "./outcome.js";
import type * as results from "./results.js";

/** Limits of the retries. */
export interface RetryLimits {
  readonly maxAttempts: number;
  /** Time for all attempts together. */
  readonly deadlineMs: number;
}

/** One attempt to make. */
export interface Attempt {
  readonly id: string;
  readonly number: number;
  readonly node: addressCache.NodeAddress;
}

/** Chooses what follows a failed attempt. */
export type RetryPolicy = (error: outcome.AttemptError, uncertain: boolean) => outcome.NextStep;

const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 2000;

/** Counts and spaces the attempts of one request, one after the other. */
export class Attempts {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #book: addressCache.AddressCache;
  readonly #limits: RetryLimits;
  readonly #chooseStep: RetryPolicy;
  readonly #startedAt: number;
  #id: string | undefined;
  #lastNode: addressCache.NodeAddress | undefined;
  #number = 0;
  #total = 0;
  #uncertain = false;

  constructor(
    clock: clocks.Clock,
    randomSource: random.RandomSource,
    book: addressCache.AddressCache,
    limits: RetryLimits,
    chooseStep: RetryPolicy,
  ) {
    this.#clock = clock;
    this.#random = randomSource;
    this.#book = book;
    this.#limits = limits;
    this.#chooseStep = chooseStep;
    this.#startedAt = clock.now();
  }

  /** Id and count so far. */
  get record(): results.RequestRecord {
    return { id: this.#id ?? "", attempts: this.#total };
  }

  /**
   * Creates the next attempt: the next number, at the next address.
   *
   * @throws AttemptError when no node gives an address.
   */
  async createNext(signal: AbortSignal): Promise<Attempt> {
    this.#total += 1;
    this.#id ??= await this.#book.createRequestId(signal);
    const node = this.#chooseNode(await this.#book.listAddresses(signal));
    this.#number += 1;
    this.#lastNode = node;
    return { id: this.#id, number: this.#number, node };
  }

  /**
   * Records that an attempt failed and waits before the next one.
   *
   * @returns the failure when the contract, the limits or `signal` end the retries.
   */
  async waitAfterFailure(
    error: unknown,
    signal: AbortSignal,
  ): Promise<results.Failure | undefined> {
    const failed = createAttemptError(error);
    if (failed.kind === outcome.ATTEMPT_FAILURE.broken && this.#number > 0) this.#uncertain = true;
    if (failed.kind !== outcome.ATTEMPT_FAILURE.refused) this.#book.removeAnswer();
    const step = this.#chooseStep(failed, this.#uncertain);
    const failure = this.#createFailure(failed);
    if (step === outcome.NEXT_STEP.stop || this.#total >= this.#limits.maxAttempts) return failure;
    if (step === outcome.NEXT_STEP.retryWithNewId) this.#replaceId(failed.session);
    const canRetry = await this.#waitBeforeRetry(failed, signal);
    return canRetry ? undefined : failure;
  }

  /** Chooses the address for this attempt: not the one that just failed, if there is another. */
  #chooseNode(nodes: readonly addressCache.NodeAddress[]): addressCache.NodeAddress {
    const others = nodes.filter(
      (node) => node.host !== this.#lastNode?.host || node.port !== this.#lastNode.port,
    );
    const candidates = others.length === 0 ? nodes : others;
    const node = candidates[(this.#total - 1) % candidates.length];
    if (node === undefined) throw new Error("an address answer has at least one address");
    return node;
  }

  #replaceId(session: string | undefined): void {
    if (session === undefined) {
      this.#book.removeAnswer();
    } else {
      this.#book.replaceSession(session);
    }
    this.#id = undefined;
    this.#number = 0;
    this.#uncertain = false;
  }

  /** Waits before the next attempt; returns whether the time limit allows one. */
  async #waitBeforeRetry(error: outcome.AttemptError, signal: AbortSignal): Promise<boolean> {
    const pauseMs = error.retryAfterMs ?? this.#computePause();
    const elapsedMs = this.#clock.now() - this.#startedAt;
    if (signal.aborted || elapsedMs + pauseMs >= this.#limits.deadlineMs) return false;
    try {
      await clocks.sleep(this.#clock, pauseMs, signal);
      return true;
    } catch {
      return false;
    }
  }

  /** Computes an exponential pause with full jitter. */
  #computePause(): number {
    const limitMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.#total - 1));
    return this.#random.nextFloat() * limitMs;
  }

  #createFailure(error: outcome.AttemptError): results.Failure {
    return {
      ok: false,
      ...this.record,
      code: error.code,
      message: error.message,
      ran: this.#number === 0 ? codes.RAN.no : outcome.computeRan(error, this.#uncertain),
      retryAfterMs: error.retryAfterMs,
    };
  }
}

function createAttemptError(error: unknown): outcome.AttemptError {
  if (error instanceof outcome.AttemptError) return error;
  const message = error instanceof Error ? error.message : "attempt failed";
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, message, { cause: error });
}
