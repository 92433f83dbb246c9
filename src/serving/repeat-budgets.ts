/** The part of the deployment's repeats that this VM may use, for each service. */
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import * as retryBudget from "../request/retry-budget.js";

/**
 * Part of the allowance that is used. The rest covers VMs that count each other differently for some
 * seconds, and calls whose answer was lost.
 */
const USED_SHARE = 0.8;
/** Half of the slack may be spent at once, half comes back evenly over the window. */
const BURST_SHARE = 0.5;

/** Counts the calls and repeats of this VM; the limit is divided among the VMs by arithmetic alone. */
export class RepeatBudgets {
  readonly #getSettings: () => gateway.RetryBudgetSettings;
  readonly #clock: clocks.Clock;
  readonly #countVms: () => number;
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();

  constructor(
    getSettings: () => gateway.RetryBudgetSettings,
    clock: clocks.Clock,
    countVms: () => number,
  ) {
    this.#getSettings = getSettings;
    this.#clock = clock;
    this.#countVms = countVms;
  }

  /** Records a caller's request for a service. */
  recordCall(service: string): void {
    this.#use(service).recordCall();
  }

  /** Takes one repeat; returns whether there was one. */
  reserve(service: string): boolean {
    const budget = this.#use(service);
    budget.setLimits(this.#computeLimits());
    return budget.reserve();
  }

  #use(service: string): retryBudget.RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new retryBudget.RetryBudget(this.#computeLimits(), this.#clock);
    this.#budgets.set(service, budget);
    return budget;
  }

  #computeLimits(): retryBudget.RetryBudgetLimits {
    const { ratio, slack, windowMs } = this.#getSettings();
    const ownSlack = (USED_SHARE * slack) / Math.max(1, this.#countVms());
    return {
      retriesPerCall: USED_SHARE * ratio,
      maxRetries: Math.max(1, BURST_SHARE * ownSlack),
      retriesPerMs: ((1 - BURST_SHARE) * ownSlack) / windowMs,
    };
  }
}
