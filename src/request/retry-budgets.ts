/** This VM's share of the retry budget of each service, which all VMs share. */
import type * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as retryBudget from "./retry-budget.js";
import * as sendAccount from "./send-account.js";

/** Retry budget of each service, shared by all VMs. */
export interface RetryBudgetSettings {
  /** Retries allowed per call in the window. */
  readonly ratio: number;
  /** Additional retries allowed per window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Fraction of the budget that is used. The rest covers VMs that see different member counts for
 * some seconds, and calls whose response was lost.
 */
const USABLE_SHARE = 0.8;
/** Fraction of the slack that may accumulate; the rest is refilled evenly over the window. */
const BURST_SHARE = 0.5;
/** Retries that any VM may accumulate: as many as one retry of a model request may cost. */
const MIN_CAPACITY = 2;

/** Services and settings that `RetryBudgets` uses. */
export interface RetryBudgetsOptions {
  readonly getSettings: () => RetryBudgetSettings;
  readonly clock: clocks.Clock;
  readonly countVms: () => number;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
}

/**
 * Limits the retries of this VM by its own calls and by its share of the slack, which is divided by
 * the number of VMs without coordination.
 */
export class RetryBudgets {
  readonly #options: RetryBudgetsOptions;
  readonly #loggedVms = new Map<string, number>();
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();

  constructor(options: RetryBudgetsOptions) {
    this.#options = options;
  }

  /**
   * Records a caller's request for a service.
   *
   * @param maxRunners - number of runners that may run the request.
   * @returns the account of its sends; dispose of it when the request has ended.
   */
  createAccount(service: string, maxRunners: number): sendAccount.SendAccount {
    this.recordCall(service);
    return new sendAccount.SendAccount(maxRunners, {
      reserve: (cost) => this.reserve(service, cost),
      release: (cost) => {
        this.#getOrCreateBudget(service).release(cost);
      },
    });
  }

  /** Records a caller's request for a service. */
  recordCall(service: string): void {
    this.#getOrCreateBudget(service).recordCall();
  }

  /** Takes `cost` retries from the budget of a service; returns whether they were available. */
  reserve(service: string, cost: number): boolean {
    const budget = this.#getOrCreateBudget(service);
    budget.setLimits(this.#computeLimits());
    this.#recordShare(service, budget);
    const isReserved = budget.reserve(cost);
    const outcome = isReserved ? "reserved" : "refused";
    this.#options.metrics.count("retry_reservations", { service, outcome });
    return isReserved;
  }

  /** Logs the share of a service when it is first used, and when the number of VMs has changed. */
  #recordShare(service: string, budget: retryBudget.RetryBudget): void {
    const vms = this.#options.countVms();
    if (this.#loggedVms.get(service) === vms) return;
    this.#loggedVms.set(service, vms);
    const { maxRetries } = this.#computeLimits();
    const fields = { service, vms, maxRetries, available: budget.available };
    this.#options.log.write(logEvents.LOG_EVENTS.retryShareChanged, fields);
  }

  #getOrCreateBudget(service: string): retryBudget.RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new retryBudget.RetryBudget(this.#computeLimits(), this.#options.clock);
    this.#budgets.set(service, budget);
    return budget;
  }

  #computeLimits(): retryBudget.RetryBudgetLimits {
    const { ratio, slack, windowMs } = this.#options.getSettings();
    const share = (USABLE_SHARE * slack) / Math.max(1, this.#options.countVms());
    const maxRetries = Math.max(MIN_CAPACITY, BURST_SHARE * share);
    const retriesPerMs = Math.max(0, share - maxRetries) / windowMs;
    return { retriesPerCall: USABLE_SHARE * ratio, maxRetries, retriesPerMs };
  }
}
