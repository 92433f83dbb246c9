/**
 * Reconciles the stages of a pool's runners with the split that promises the highest throughput.
 * Level-triggered: each pass starts from the current state in the registry and at the runner, sends
 * at most one order per service, and is safe to repeat.
 *
 * Two VMs that both send orders would switch the same runners back and forth, and the VMs share no
 * lock. So a VM sends orders only while it has been the scheduler of the service without
 * interruption for longer than the order lease, sees a majority of the VMs, and was not paused;
 * otherwise it sends none. A fencing token consists of a number that grows with the platform's
 * revision and a hash of the VM's id. It does not go back when the platform is restored from a copy,
 * and the tokens of two VMs at the same revision differ with high probability.
 *
 * Reference: "Kubernetes Controller Reconciliation: Idempotent Desired-State Loops".
 */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import * as rendezvous from "../membership/rendezvous.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerPauses from "../runners/runner-pauses.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as poolScheduler from "./pool-scheduler.js";
import * as stagePlan from "./stage-plan.js";

const PASS_INTERVAL_MS = 500;
/**
 * Maximum time between the starts of two passes. After a longer gap, because the process was paused
 * or calls in a pass were slow, the waits for the order lease start again.
 */
const MAX_PASS_GAP_MS = 1_500;
/**
 * Multiple of the order lease for which a VM waits after it became the scheduler, because the clock
 * of the previous scheduler and its last order may lag.
 */
const LEASE_WAIT_FACTOR = 1.5;
/**
 * Minimum time between two switch decisions for a service. While a runner is switching, no decision
 * is made at all.
 */
const MIN_DECISION_INTERVAL_MS = 3_000;
/**
 * Time for which a pool's runners must be unchanged before its split is checked: while a runner is
 * replaced, the old and the new one are both listed.
 */
const MIN_STABLE_TIME_MS = 1_500;
const CALL_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_PRECONDITION_FAILED = 412;
/**
 * Range of the VM's hash in a fencing token; tokens stay exact integers for revisions up to 2^33.
 */
const TOKEN_VM_RANGE = 2 ** 20;

/** Dependencies of the reconciler. */
export interface StageReconcilerOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly vm: string;
  /** Returns the time for which an earlier scheduler may still send orders. */
  readonly getLeaseMs: () => number;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly codec: gateway.RunnerCodec;
  readonly pauses: runnerPauses.PauseTimes;
  /** Returns the schedulers of the services that this VM currently schedules. */
  readonly listSchedulers: () => ReadonlyMap<string, poolScheduler.PoolScheduler>;
  /** Whether this VM sees a majority of the VMs. */
  readonly hasMajority: () => boolean;
  /** Returns a number that grows with the platform's revision and never goes back. */
  readonly getRevision: () => number;
}

/** The runners of a pool as last observed, and since when they are unchanged. */
interface ObservedPool {
  /** Ids and start times of the runners, joined into one text for comparison. */
  readonly runnersKey: string;
  readonly since: number;
}

/**
 * Switches runners between stages as long as this clearly raises the throughput of a pool that this
 * VM schedules.
 */
export class StageReconciler implements AsyncDisposable {
  readonly #options: StageReconcilerOptions;
  readonly #controller = new AbortController();
  /** Time since which this VM has been the scheduler without interruption, by service. */
  readonly #schedulerSince = new Map<string, number>();
  /** Earliest time of the next check of the split, by service. */
  readonly #nextCheckAt = new Map<string, number>();
  readonly #observedPools = new Map<string, ObservedPool>();
  /** Last fencing token that a runner rejected with status 412; only higher tokens are sent after it. */
  #rejectedToken = 0;

  constructor(options: StageReconcilerOptions) {
    this.#options = options;
  }

  /** Runs passes until it is disposed of. */
  async run(): Promise<void> {
    const { clock, log } = this.#options;
    const { signal } = this.#controller;
    let lastAt = clock.now();
    let lastWallTime = clock.wallTime();
    while (!signal.aborted) {
      await clocks.sleep(clock, PASS_INTERVAL_MS, signal).catch(() => undefined);
      const gapMs = Math.max(clock.now() - lastAt, clock.wallTime() - lastWallTime);
      lastAt = clock.now();
      lastWallTime = clock.wallTime();
      if (gapMs > MAX_PASS_GAP_MS || !this.#options.hasMajority()) this.#schedulerSince.clear();
      else
        await this.#runPass().catch((error: unknown) => {
          log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
        });
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    return Promise.resolve();
  }

  async #runPass(): Promise<void> {
    const { clock, listSchedulers, getLeaseMs } = this.#options;
    const schedulers = listSchedulers();
    for (const service of [...this.#schedulerSince.keys()]) {
      if (!schedulers.has(service)) this.#schedulerSince.delete(service);
    }
    for (const [service, scheduler] of schedulers) {
      const since = this.#schedulerSince.get(service) ?? clock.now();
      this.#schedulerSince.set(service, since);
      const mayOrder = clock.now() - since >= LEASE_WAIT_FACTOR * getLeaseMs();
      const isSettled = clock.now() >= (this.#nextCheckAt.get(service) ?? 0);
      if (mayOrder && isSettled && !scheduler.hasSwitchingRunner())
        await this.#checkSplit(service, scheduler, mayOrder);
    }
  }

  async #checkSplit(
    service: string,
    scheduler: poolScheduler.PoolScheduler,
    mayOrder: boolean,
  ): Promise<void> {
    // Unresponsive runners are counted too: an outage of some seconds ends before another runner could
    // complete a stage switch.
    const listed = this.#options.runners.listUsable(service).map((record) => record.runner);
    if (!this.#updateObservedPool(service, listed) || !mayOrder) return;
    const prefill = listed.filter((runner) => runner.stage === runners.STAGE.prefill);
    const decode = listed.filter((runner) => runner.stage === runners.STAGE.decode);
    const costs = scheduler.computeRequestCosts();
    if (costs === undefined) return;
    const split = { prefill: prefill.length, decode: decode.length };
    const change = stagePlan.chooseStageChange(split, costs);
    if (change === undefined) return;
    const [candidates, stage] =
      change === "toDecode"
        ? [prefill, runners.STAGE.decode]
        : [listReplaceable(decode), runners.STAGE.prefill];
    const runner = scheduler.chooseRunnerToSwitch(candidates.filter(this.#isOpen));
    if (runner === undefined) return;
    this.#nextCheckAt.set(service, this.#options.clock.now() + MIN_DECISION_INTERVAL_MS);
    await this.#applyStageChange(runner, stage, scheduler, { ...split, ...costs });
  }

  /**
   * Records the observed runners of a pool; returns whether they have been unchanged for
   * `MIN_STABLE_TIME_MS`.
   */
  #updateObservedPool(service: string, listed: readonly runners.Runner[]): boolean {
    const now = this.#options.clock.now();
    const ids = listed
      .map((runner) => `${runner.id}/${runner.bornAt}`)
      .sort()
      .join(" ");
    const known = this.#observedPools.get(service);
    if (known?.runnersKey !== ids)
      this.#observedPools.set(service, { runnersKey: ids, since: now });
    return known?.runnersKey === ids && now - known.since >= MIN_STABLE_TIME_MS;
  }

  /**
   * Orders a runner to switch its stage, unless its own report shows that it executes an order or has the
   * stage already. `decisionFields` are the figures behind the decision, for the log.
   */
  async #applyStageChange(
    runner: runners.Runner,
    stage: runners.Stage,
    scheduler: poolScheduler.PoolScheduler,
    decisionFields: Readonly<Record<string, number>>,
  ): Promise<void> {
    const { codec, vm, log, metrics, hasMajority } = this.#options;
    const report = await this.#readReport(runner);
    if (report === undefined || report.busy || report.stage === stage || !hasMajority()) return;
    if (!this.#isOpen(runner)) return;
    const fencingToken = this.#createFencingToken();
    if (fencingToken <= this.#rejectedToken) return;
    const expectedSequence = report.sequence;
    const message = codec.formatStageOrder(runner, {
      stage,
      holder: vm,
      fencingToken,
      expectedSequence,
    });
    scheduler.markSwitching(runner, stage);
    const status = await this.#sendOrder(runner, message);
    metrics.count("stage_orders", { status: String(status) });
    const fields = {
      runner: runner.id,
      stage,
      fencingToken,
      expectedSequence,
      status,
      ...decisionFields,
    };
    log.write(logEvents.LOG_EVENTS.orderSent, fields);
    if (status === HTTP_PRECONDITION_FAILED) this.#rejectedToken = fencingToken;
    const isRefused = status !== HTTP_OK && status !== HTTP_ACCEPTED && status !== undefined;
    if (isRefused) scheduler.removeSwitching(runner.id);
  }

  /** Whether a runner takes orders of this VM now. */
  readonly #isOpen = (runner: runners.Runner): boolean =>
    this.#options.pauses.computePause(runner) === 0;

  async #readReport(runner: runners.Runner): Promise<gateway.EngineReport | undefined> {
    const { codec, calls, log } = this.#options;
    const { signal } = this.#controller;
    try {
      const answer = await calls.sendMessage(
        runner,
        codec.formatReport(runner),
        CALL_TIMEOUT_MS,
        signal,
      );
      return answer.status === HTTP_OK ? codec.parseReport(answer.body) : undefined;
    } catch (error) {
      const fields = { runner: runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
      return undefined;
    }
  }

  /**
   * Sends an order; returns the HTTP status, `undefined` if it is unknown whether the runner
   * accepted it.
   */
  async #sendOrder(
    runner: runners.Runner,
    message: gateway.RunnerMessage,
  ): Promise<number | undefined> {
    const { calls, log } = this.#options;
    try {
      // On a kept connection, an earlier answer could be taken for the one to the order.
      const answer = await calls.sendMessage(
        runner,
        { ...message, newConnection: true },
        CALL_TIMEOUT_MS,
        this.#controller.signal,
      );
      return answer.status;
    } catch (error) {
      const fields = { runner: runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
      return undefined;
    }
  }

  #createFencingToken(): number {
    const { vm, getRevision } = this.#options;
    return getRevision() * TOKEN_VM_RANGE + (rendezvous.computeHash(vm) % TOKEN_VM_RANGE);
  }
}

/** Returns the decode runners that are not the last of their software version, to which streams in progress keep. */
function listReplaceable(decode: readonly runners.Runner[]): readonly runners.Runner[] {
  return decode.filter((runner) =>
    decode.some(
      ({ id, softwareVersion }) => id !== runner.id && softwareVersion === runner.softwareVersion,
    ),
  );
}
