/** This VM's part of the retry budget of each service, which all VMs share without coordination. */
import type * as clocks from "../kernel/clock.js";
import type * as fleetSize from "../membership/fleet-size.js";
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

/** Fraction of the budget that is used; the rest covers retries that reach a runner later than they were reserved. */
const USABLE_SHARE = 0.8;
/** Fraction of the slack that may accumulate; the rest is refilled evenly over the window. */
const BURST_SHARE = 0.5;
/**
 * Retries that a VM without a share of the slack may accumulate from its own calls: as many as one retry of a model
 * request may cost. `n` VMs need a slack of twice `n`.
 */
const MIN_CAPACITY = 2;

/** Services and settings that `RetryBudgets` uses. */
export interface RetryBudgetsOptions {
  readonly getSettings: () => RetryBudgetSettings;
  readonly clock: clocks.Clock;
  /** Returns this VM's share of the slack; `undefined` while it must not use any of it. */
  readonly findShare: () => fleetSize.FleetShare | undefined;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  /** Retries that a budget holds when the process starts; default 0. Each start adds them to the total of the fleet. */
  readonly initialRetries?: number;
}

/**
 * Limits the retries of this VM. The ratio needs no agreement, since each VM refills its budget by its own calls. The slack
 * is divided by the number of VMs, and only VMs that are sure of the number use it.
 *
 * In any window, `n` VMs retry at most `USABLE_SHARE` x (ratio x calls + slack) or `USABLE_SHARE` x ratio x calls +
 * `MIN_CAPACITY` x n times, whichever is more. Restarts add nothing but the initial retries.
 */
export class RetryBudgets {
  readonly #options: RetryBudgetsOptions;
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();
  readonly #startedAt: number;
  readonly #loggedVms = new Map<string, number | undefined>();

  constructor(options: RetryBudgetsOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /**
   * Records a caller's request for a service.
   *
   * @param maxRunners - number of runners that may run the request.
   * @param isCounted - whether another VM has recorded the request.
   * @returns the account of its sends; dispose of it when the request has ended.
   */
  createAccount(service: string, maxRunners: number, isCounted = false): sendAccount.SendAccount {
    if (!isCounted) this.recordCall(service);
    return new sendAccount.SendAccount(maxRunners, {
      reserve: (cost) => this.reserve(service, cost),
      release: (cost) => {
        this.#updateBudget(service).release(cost);
      },
    });
  }

  /** Records a caller's request for a service. */
  recordCall(service: string): void {
    this.#updateBudget(service).recordCall();
  }

  /** Takes `cost` retries from the budget of a service; returns whether they were available. */
  reserve(service: string, cost: number): boolean {
    const isReserved = this.#updateBudget(service).reserve(cost);
    const outcome = isReserved ? "reserved" : "refused";
    this.#options.metrics.count("retry_reservations", { service, outcome });
    return isReserved;
  }

  /** Returns the budget of a service with the limits that hold now. */
  #updateBudget(service: string): retryBudget.RetryBudget {
    const { clock, findShare } = this.#options;
    const share = findShare();
    const limits = this.#computeLimits(share);
    const known = this.#budgets.get(service);
    const budget = known ?? this.#createBudget(limits);
    this.#budgets.set(service, budget);
    budget.update(limits, clock.now(), share?.inForceMs ?? 0);
    const isLogged = known !== undefined && this.#loggedVms.get(service) === share?.vmCount;
    if (!isLogged) this.#recordShare(service, share?.vmCount, budget, limits);
    return budget;
  }

  #createBudget(limits: retryBudget.RetryBudgetLimits): retryBudget.RetryBudget {
    const { initialRetries } = this.#options;
    return new retryBudget.RetryBudget(limits, this.#startedAt, initialRetries);
  }

  #recordShare(
    service: string,
    vms: number | undefined,
    budget: retryBudget.RetryBudget,
    { maxRetries }: retryBudget.RetryBudgetLimits,
  ): void {
    this.#loggedVms.set(service, vms);
    const fields = { service, vms: vms ?? "unknown", maxRetries, available: budget.available };
    this.#options.log.write(logEvents.LOG_EVENTS.retryShareChanged, fields);
  }

  #computeLimits(fleetShare: fleetSize.FleetShare | undefined): retryBudget.RetryBudgetLimits {
    const { ratio, slack, windowMs } = this.#options.getSettings();
    const share = fleetShare === undefined ? 0 : (USABLE_SHARE * slack) / fleetShare.vmCount;
    const maxRetries = Math.max(MIN_CAPACITY, BURST_SHARE * share);
    const retriesPerMs = Math.max(0, share - maxRetries) / windowMs;
    return { retriesPerCall: USABLE_SHARE * ratio, maxRetries, retriesPerMs };
  }
}
