/** The attempts of one request: ids, attempt numbers, addresses, backoff and the deadline. */
import * as clocks from "../kernel/clock.js";
import * as codes from "../protocol/result-codes.js";
import type * as random from "../kernel/random.js";
import type * as addressCache from "./address-cache.js";
import * as outcome from "./outcome.js";
import type * as results from "./results.js";

/** Limits of the retries. */
export interface RetryLimits {
  readonly maxAttempts: number;
  /** Time limit for all attempts together. */
  readonly deadlineMs: number;
}

/** Parameters of one attempt. */
export interface Attempt {
  readonly id: string;
  readonly number: number;
  readonly node: addressCache.NodeAddress;
}

/** Chooses the step after a failed attempt. */
export type RetryPolicy = (error: outcome.AttemptError, mayHaveRun: boolean) => outcome.NextStep;

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;

/** Numbers the sequential attempts of one request and delays its retries. */
export class Attempts {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #addresses: addressCache.AddressCache;
  readonly #limits: RetryLimits;
  readonly #chooseStep: RetryPolicy;
  readonly #startedAt: number;
  #id: string | undefined;
  #lastNode: addressCache.NodeAddress | undefined;
  #attemptNumber = 0;
  #attemptCount = 0;
  #mayHaveRun = false;

  constructor(
    clock: clocks.Clock,
    randomSource: random.RandomSource,
    addresses: addressCache.AddressCache,
    limits: RetryLimits,
    chooseStep: RetryPolicy,
  ) {
    this.#clock = clock;
    this.#random = randomSource;
    this.#addresses = addresses;
    this.#limits = limits;
    this.#chooseStep = chooseStep;
    this.#startedAt = clock.now();
  }

  /** Current id and number of attempts so far. */
  get record(): results.RequestRecord {
    return { id: this.#id ?? "", attempts: this.#attemptCount };
  }

  /**
   * Creates the next attempt, with the next number and at the next address.
   *
   * @throws AttemptError when no node responds to the address lookup.
   */
  async createNext(signal: AbortSignal): Promise<Attempt> {
    this.#attemptCount += 1;
    this.#id ??= await this.#addresses.createRequestId(signal);
    const node = this.#chooseNode(await this.#addresses.listAddresses(signal));
    this.#attemptNumber += 1;
    this.#lastNode = node;
    return { id: this.#id, number: this.#attemptNumber, node };
  }

  /**
   * Records a failed attempt and waits before the next one.
   *
   * @returns the failure when the retry policy, the limits or `signal` end the retries.
   */
  async waitAfterFailure(
    error: unknown,
    signal: AbortSignal,
  ): Promise<results.Failure | undefined> {
    const failed = createAttemptError(error);
    if (failed.kind === outcome.ATTEMPT_FAILURE.broken && this.#attemptNumber > 0) {
      this.#mayHaveRun = true;
    }
    if (failed.kind !== outcome.ATTEMPT_FAILURE.refused) this.#addresses.expire();
    const step = this.#chooseStep(failed, this.#mayHaveRun);
    const failure = this.#createFailure(failed);
    if (step === outcome.NEXT_STEP.stop || this.#attemptCount >= this.#limits.maxAttempts) {
      return failure;
    }
    if (step === outcome.NEXT_STEP.retryWithNewId) this.#replaceId(failed.session);
    const canRetry = await this.#waitBeforeRetry(failed, signal);
    return canRetry ? undefined : failure;
  }

  /** Chooses a node for this attempt, other than the last one used if possible. */
  #chooseNode(nodes: readonly addressCache.NodeAddress[]): addressCache.NodeAddress {
    const others = nodes.filter(
      (node) => node.host !== this.#lastNode?.host || node.port !== this.#lastNode.port,
    );
    const candidates = others.length === 0 ? nodes : others;
    const node = candidates[(this.#attemptCount - 1) % candidates.length];
    if (node === undefined) throw new Error("an address answer has at least one address");
    return node;
  }

  #replaceId(session: string | undefined): void {
    if (session === undefined) {
      this.#addresses.expire();
    } else {
      this.#addresses.replaceSession(session);
    }
    this.#id = undefined;
    this.#attemptNumber = 0;
    this.#mayHaveRun = false;
  }

  /** Waits before the next attempt; returns whether the deadline allows one. */
  async #waitBeforeRetry(error: outcome.AttemptError, signal: AbortSignal): Promise<boolean> {
    const delayMs = error.retryAfterMs ?? this.#computeBackoffMs();
    const elapsedMs = this.#clock.now() - this.#startedAt;
    if (signal.aborted || elapsedMs + delayMs >= this.#limits.deadlineMs) return false;
    try {
      await clocks.sleep(this.#clock, delayMs, signal);
      return true;
    } catch {
      return false;
    }
  }

  /** Computes an exponential backoff with full jitter. */
  #computeBackoffMs(): number {
    const limitMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.#attemptCount - 1));
    return this.#random.nextFloat() * limitMs;
  }

  #createFailure(error: outcome.AttemptError): results.Failure {
    return {
      ok: false,
      ...this.record,
      code: error.code,
      message: error.message,
      ran: this.#attemptNumber === 0 ? codes.RAN.no : outcome.computeRan(error, this.#mayHaveRun),
      retryAfterMs: error.retryAfterMs,
    };
  }
}

function createAttemptError(error: unknown): outcome.AttemptError {
  if (error instanceof outcome.AttemptError) return error;
  const message = error instanceof Error ? error.message : "attempt failed";
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, message, { cause: error });
}
