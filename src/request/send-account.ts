/** Counts what one request sends to runners, against its limit of runners and the retry budget of its service. */

/** Steps of a request that are sent to a runner. */
export const SEND_STEP = {
  /** Prefill of a prompt whose KV cache another runner fetches. */
  prefill: "prefill",
  /** Execution of the request, or decode of a model request. */
  run: "run",
} as const;

/** One of the values of `SEND_STEP`. */
export type SendStep = (typeof SEND_STEP)[keyof typeof SEND_STEP];

/** The part of a retry budget that an account uses. */
export interface AccountBudget {
  /** Takes retries from the budget; returns whether all were available. */
  reserve(cost: number): boolean;
  /** Returns retries that were reserved and not used. */
  release(cost: number): void;
}

/** What became of one send. */
const SEND_RESULT = {
  /** The request reached the runner, and may have run. */
  sent: "sent",
  /** The runner stated that it did not run it. */
  rejected: "rejected",
  /** The connection was never made, so nothing reached the runner. */
  notSent: "notSent",
} as const;

/** A request, or a step of it, that was sent to one runner. */
export class Send {
  readonly runner: string;
  readonly step: SendStep;
  #result: (typeof SEND_RESULT)[keyof typeof SEND_RESULT] = SEND_RESULT.sent;

  constructor(runner: string, step: SendStep) {
    this.runner = runner;
    this.step = step;
  }

  /** Whether it reached the runner. */
  get hasArrived(): boolean {
    return this.#result !== SEND_RESULT.notSent;
  }

  /** Whether the runner may have run it. */
  get mayHaveRun(): boolean {
    return this.#result === SEND_RESULT.sent;
  }

  /** Whether its runner counts against the limit of runners: a rejected prefill does, a rejected run does not. */
  get countsRunner(): boolean {
    return this.mayHaveRun || (this.hasArrived && this.step === SEND_STEP.prefill);
  }

  recordRejected(): void {
    this.#result = SEND_RESULT.rejected;
  }

  recordNotSent(): void {
    this.#result = SEND_RESULT.notSent;
  }
}

/**
 * The sends of one request. The first that arrives at a runner is free, and so is the first prefill that a runner accepts.
 * Each further one, rejected ones too, costs a retry. Runners that may have run the request count against the limit, except
 * that of the free prefill.
 */
export class SendAccount implements Disposable {
  readonly #maxRunners: number;
  readonly #budget: AccountBudget;
  readonly #sends: Send[] = [];
  #reserved = 0;

  /** @param maxRunners - number of runners that may run the request. */
  constructor(maxRunners: number, budget: AccountBudget) {
    this.#maxRunners = maxRunners;
    this.#budget = budget;
  }

  /** Number of sends that reached a runner, without the free prefill. */
  get arrivalCount(): number {
    return this.#listCounted().length;
  }

  /** Whether the request was sent to runners and reached none of them. */
  get hasReachedNone(): boolean {
    return this.#sends.length > 0 && !this.#sends.some(({ hasArrived }) => hasArrived);
  }

  /** Number of further runners that may run the request. */
  get runnersLeft(): number {
    const counted = this.#listCounted().filter(({ countsRunner }) => countsRunner);
    const runners = new Set(counted.map(({ runner }) => runner));
    return Math.max(0, this.#maxRunners - runners.size);
  }

  /** Records a send before it is made; its result is recorded when it is known. */
  startSend(runner: string, step: SendStep): Send {
    const send = new Send(runner, step);
    this.#sends.push(send);
    return send;
  }

  /**
   * Reserves the retries that sending further steps to other runners costs; returns whether the limit of runners and the
   * budget allow them.
   */
  reserve(steps: readonly SendStep[]): boolean {
    const added = this.#countAdded(steps);
    if (added > this.runnersLeft) return false;
    const cost = this.arrivalCount + added - 1 - this.#reserved;
    if (cost <= 0) return true;
    if (!this.#budget.reserve(cost)) return false;
    this.#reserved += cost;
    return true;
  }

  /** Returns the retries that were reserved and not sent to the budget. */
  [Symbol.dispose](): void {
    const used = Math.max(0, this.arrivalCount - 1);
    const unused = this.#reserved - used;
    if (unused > 0) this.#budget.release(unused);
    this.#reserved -= Math.max(0, unused);
  }

  #countAdded(steps: readonly SendStep[]): number {
    const hasPrefill = this.#findFreePrefill() !== undefined;
    return steps.filter((step) => step === SEND_STEP.run || hasPrefill).length;
  }

  #findFreePrefill(): Send | undefined {
    return this.#sends.find(({ step, mayHaveRun }) => step === SEND_STEP.prefill && mayHaveRun);
  }

  #listCounted(): readonly Send[] {
    const freePrefill = this.#findFreePrefill();
    return this.#sends.filter((send) => send.hasArrived && send !== freePrefill);
  }
}
