/** The attempts of one request: ids, attempt numbers, addresses, backoff and the deadline. */
import * as clocks from "../kernel/clock.js";
import * as codes from "../protocol/result-codes.js";
import type * as random from "../kernel/random.js";
import type * as addressCache from "./address-cache.js";
import * as outcome from "./outcome.js";
import type * as results from "./results.js";

/** Limits of all attempts of a request. */
export interface RetryLimits {
  readonly maxAttempts: number;
  /** Time limit for all attempts together. */
  readonly deadlineMs: number;
}

/** One attempt: the request id, the attempt number under this id, and the node to send it to. */
export interface Attempt {
  readonly id: string;
  readonly number: number;
  readonly node: addressCache.NodeAddress;
}

/**
 * Chooses the step after a failed attempt; `mayHaveRun` states whether an attempt with the same id
 * broke off after it was sent.
 */
export type RetryPolicy = (error: outcome.AttemptError, mayHaveRun: boolean) => outcome.NextStep;

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;

/** Creates the sequential attempts of one request and delays its retries. */
export class Attempts {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #addresses: addressCache.AddressCache;
  readonly #limits: RetryLimits;
  readonly #chooseStep: RetryPolicy;
  readonly #startedAt: number;
  #id: string | undefined;
  #lastNode: addressCache.NodeAddress | undefined;
  /** Number of the last attempt with the current id; 0 if there is none. */
  #attemptsWithId = 0;
  /** Number of attempts so far, with any id. */
  #totalAttempts = 0;
  /** Whether an attempt with the current id broke off after it was sent. */
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
    return { id: this.#id ?? "", attempts: this.#totalAttempts };
  }

  /**
   * Creates the next attempt, with the next number and at another address if possible.
   *
   * @throws AttemptError when no node responds to the address lookup or the lookup is refused, or the
   *   reason of an aborted signal.
   */
  async createNext(signal: AbortSignal): Promise<Attempt> {
    this.#totalAttempts += 1;
    this.#id ??= await this.#addresses.createRequestId(signal);
    const node = this.#chooseNode(await this.#addresses.listAddresses(signal));
    this.#attemptsWithId += 1;
    this.#lastNode = node;
    return { id: this.#id, number: this.#attemptsWithId, node };
  }

  /**
   * Records a failed attempt and waits before the next one.
   *
   * @returns the failure when the retry policy, the limits or `signal` end the retries; otherwise
   *   `undefined` after the wait.
   */
  async waitAfterFailure(
    error: unknown,
    signal: AbortSignal,
  ): Promise<results.Failure | undefined> {
    const failed = createAttemptError(error);
    if (failed.kind === outcome.ATTEMPT_FAILURE.broken && this.#attemptsWithId > 0) {
      this.#mayHaveRun = true;
    }
    if (failed.kind !== outcome.ATTEMPT_FAILURE.refused) this.#addresses.expire();
    const step = this.#chooseStep(failed, this.#mayHaveRun);
    const failure = this.#createFailure(failed);
    if (step === outcome.NEXT_STEP.stop || this.#totalAttempts >= this.#limits.maxAttempts) {
      return failure;
    }
    if (step === outcome.NEXT_STEP.retryWithNewId) this.#resetId(failed.session);
    const canRetry = await this.#waitBeforeRetry(failed, signal);
    return canRetry ? undefined : failure;
  }

  /**
   * Chooses a node for this attempt, other than the last one used if possible.
   *
   * @throws Error if `nodes` is empty, which the schema of the address response rules out.
   */
  #chooseNode(nodes: readonly addressCache.NodeAddress[]): addressCache.NodeAddress {
    const others = nodes.filter(
      (node) => node.host !== this.#lastNode?.host || node.port !== this.#lastNode.port,
    );
    const candidates = others.length === 0 ? nodes : others;
    const node = candidates[(this.#totalAttempts - 1) % candidates.length];
    if (node === undefined) throw new Error("an address answer has at least one address");
    return node;
  }

  /** Discards the id; the next attempt creates one, in the given or in a newly requested session. */
  #resetId(session: string | undefined): void {
    if (session === undefined) {
      this.#addresses.expire();
    } else {
      this.#addresses.replaceSession(session);
    }
    this.#id = undefined;
    this.#attemptsWithId = 0;
    this.#mayHaveRun = false;
  }

  /** Waits before the next attempt; returns false if the deadline or `signal` prevents one. */
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
    const limitMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.#totalAttempts - 1));
    return this.#random.nextFloat() * limitMs;
  }

  #createFailure(error: outcome.AttemptError): results.Failure {
    return {
      ok: false,
      ...this.record,
      code: error.code,
      message: error.message,
      ran: this.#attemptsWithId === 0 ? codes.RAN.no : outcome.computeRan(error, this.#mayHaveRun),
      retryAfterMs: error.retryAfterMs,
    };
  }
}

function createAttemptError(error: unknown): outcome.AttemptError {
  if (error instanceof outcome.AttemptError) return error;
  const message = error instanceof Error ? error.message : "attempt failed";
  return new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, message, { cause: error });
}
