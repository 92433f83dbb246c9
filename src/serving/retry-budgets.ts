/** This VM's share of the retry budget of each service, which all VMs share. */
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import * as retryBudget from "../request/retry-budget.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";

/**
 * Fraction of the budget that is used. The rest covers VMs that see different member counts for
 * some seconds, and calls whose response was lost.
 */
const USABLE_SHARE = 0.8;
/** Fraction of the slack that may be spent at once; the rest is refilled evenly over the window. */
const BURST_SHARE = 0.5;

/**
 * Limits the retries of this VM by its own calls and by its share of the slack, which is divided by
 * the number of VMs without coordination.
 */
export class RetryBudgets {
  readonly #getSettings: () => gateway.RetryBudgetSettings;
  readonly #clock: clocks.Clock;
  readonly #countVms: () => number;
  readonly #log: telemetry.EventLog;
  readonly #loggedVms = new Map<string, number>();
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();

  constructor(
    getSettings: () => gateway.RetryBudgetSettings,
    clock: clocks.Clock,
    countVms: () => number,
    log: telemetry.EventLog,
  ) {
    this.#getSettings = getSettings;
    this.#clock = clock;
    this.#countVms = countVms;
    this.#log = log;
  }

  /** Records a caller's request for a service. */
  recordCall(service: string): void {
    this.#getOrCreateBudget(service).recordCall();
  }

  /**
   * Takes a retry from the budget; returns whether one was left.
   *
   * @param cost - number of requests that the retry sends to runners beyond the first of the call.
   */
  reserve(service: string, cost = 1): boolean {
    const budget = this.#getOrCreateBudget(service);
    budget.setLimits(this.#computeLimits());
    this.#recordShare(service, budget);
    return budget.reserve(cost);
  }

  /** Logs the share of a service when it is first used, and when the number of VMs has changed. */
  #recordShare(service: string, budget: retryBudget.RetryBudget): void {
    const vms = this.#countVms();
    if (this.#loggedVms.get(service) === vms) return;
    this.#loggedVms.set(service, vms);
    const { maxRetries } = this.#computeLimits();
    const fields = { service, vms, maxRetries, available: budget.available };
    this.#log.write(logEvents.LOG_EVENTS.retryShareChanged, fields);
  }

  #getOrCreateBudget(service: string): retryBudget.RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new retryBudget.RetryBudget(this.#computeLimits(), this.#clock);
    this.#budgets.set(service, budget);
    return budget;
  }

  #computeLimits(): retryBudget.RetryBudgetLimits {
    const { ratio, slack, windowMs } = this.#getSettings();
    const ownSlack = (USABLE_SHARE * slack) / Math.max(1, this.#countVms());
    return {
      retriesPerCall: USABLE_SHARE * ratio,
      maxRetries: Math.max(1, BURST_SHARE * ownSlack),
      retriesPerMs: ((1 - BURST_SHARE) * ownSlack) / windowMs,
    };
  }
}
