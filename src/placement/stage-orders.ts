/**
 * Orders runners to change their stage. Level-based, after "Kubernetes Controller Reconciliation:
 * Idempotent Desired-State Loops": each pass starts from what the registry and the runner itself say
 * now, sends one difference at most, and is safe to repeat.
 *
 * Two VMs must never order by turns, and nothing is shared. So only the scheduler of the service
 * orders, only while it has been that without a break for longer than the lease, sees most VMs, and was not
 * paused; when in doubt nobody orders. The fencing token grows with the platform's
 * revision and is different for each VM.
 */
import type * as gateway from "../gateway/types.js";
import * as clocks from "../kernel/clock.js";
import * as rendezvous from "../membership/rendezvous.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as poolScheduler from "./pool-scheduler.js";
import * as stagePlan from "./stage-plan.js";

/** Time between two passes. */
const PASS_PERIOD_MS = 500;
/** A pass that comes this much later shows that the process was paused. */
const LONGEST_PASS_GAP_MS = 1_500;
/** Leases of an earlier orderer that are waited out: its clock and its last order may lag behind. */
const LEASES_WAITED = 1.5;
/** Pause after an order before the split is judged again; while the change lasts it is not judged at all. */
const SETTLE_MS = 3_000;
/** A pool is judged once its runners are the same for this time: a replacement lists both for some seconds. */
const STABLE_MS = 1_500;
const CALL_LIMIT_MS = 1_000;
const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_PRECONDITION_FAILED = 412;
/** Room in a token for the VM's part; revisions stay exact up to 2^33. */
const TOKEN_FACTOR = 2 ** 20;

/** What stage orders work with. */
export interface StageOrderOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly vm: string;
  /** Returns the time for which the right to order is kept. */
  readonly getLeaseMs: () => number;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly wire: gateway.RunnerCodec;
  /** Returns the schedulers of services that this VM schedules now. */
  readonly listSchedulers: () => ReadonlyMap<string, poolScheduler.PoolScheduler>;
  /** Whether this VM sees most VMs. */
  readonly isInTouch: () => boolean;
  /** Newest revision of the platform that this VM knows. */
  readonly getRevision: () => number;
}

/** The runners of a pool as last seen. */
interface KnownPool {
  readonly runners: string;
  readonly since: number;
}

/** Brings the pools that this VM schedules to the split that carries most. */
export class StageOrders implements AsyncDisposable {
  readonly #options: StageOrderOptions;
  readonly #controller = new AbortController();
  /** Since when this VM has been the scheduler without a break, by service. */
  readonly #since = new Map<string, number>();
  readonly #settledAt = new Map<string, number>();
  readonly #pools = new Map<string, KnownPool>();
  #refusedToken = 0;

  constructor(options: StageOrderOptions) {
    this.#options = options;
  }

  /** Makes passes until disposed of. */
  async run(): Promise<void> {
    const { clock, log } = this.#options;
    const { signal } = this.#controller;
    let lastAt = clock.now();
    let lastWall = clock.wallTime();
    while (!signal.aborted) {
      await clocks.sleep(clock, PASS_PERIOD_MS, signal).catch(() => undefined);
      const gapMs = Math.max(clock.now() - lastAt, clock.wallTime() - lastWall);
      lastAt = clock.now();
      lastWall = clock.wallTime();
      if (gapMs > LONGEST_PASS_GAP_MS || !this.#options.isInTouch()) this.#since.clear();
      else
        await this.#runPass().catch((error: unknown) => {
          log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
        });
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node stops"));
    return Promise.resolve();
  }

  async #runPass(): Promise<void> {
    const { clock, listSchedulers, getLeaseMs } = this.#options;
    const schedulers = listSchedulers();
    for (const service of [...this.#since.keys()]) {
      if (!schedulers.has(service)) this.#since.delete(service);
    }
    for (const [service, scheduler] of schedulers) {
      const since = this.#since.get(service) ?? clock.now();
      this.#since.set(service, since);
      const mayOrder = clock.now() - since >= LEASES_WAITED * getLeaseMs();
      const isSettled = clock.now() >= (this.#settledAt.get(service) ?? 0);
      if (mayOrder && isSettled && !scheduler.hasSwitching())
        await this.#checkSplit(service, scheduler, mayOrder);
    }
  }

  async #checkSplit(
    service: string,
    scheduler: poolScheduler.PoolScheduler,
    mayOrder: boolean,
  ): Promise<void> {
    // A runner that does not answer for some seconds is back before another one has changed its stage.
    const listed = this.#options.runners.listUsable(service).map((record) => record.runner);
    if (!this.#isStable(service, listed) || !mayOrder) return;
    const prefill = listed.filter((runner) => runner.stage === runners.STAGE.prefill);
    const decode = listed.filter((runner) => runner.stage === runners.STAGE.decode);
    const costs = scheduler.computeCosts();
    if (costs === undefined) return;
    const split = { prefill: prefill.length, decode: decode.length };
    const change = stagePlan.chooseStageChange(split, costs);
    if (change === undefined) return;
    const [candidates, stage] =
      change === "toDecode" ? [prefill, runners.STAGE.decode] : [decode, runners.STAGE.prefill];
    const runner = scheduler.chooseForOrder(candidates);
    if (runner === undefined) return;
    this.#settledAt.set(service, this.#options.clock.now() + SETTLE_MS);
    await this.#sendOrder(runner, stage, scheduler, { ...split, ...costs });
  }

  /** Whether the pool has had the same runners for a while. */
  #isStable(service: string, listed: readonly runners.Runner[]): boolean {
    const now = this.#options.clock.now();
    const ids = listed
      .map((runner) => `${runner.id}/${runner.bornAt}`)
      .sort()
      .join(" ");
    const known = this.#pools.get(service);
    if (known?.runners !== ids) this.#pools.set(service, { runners: ids, since: now });
    return known?.runners === ids && now - known.since >= STABLE_MS;
  }

  async #sendOrder(
    runner: runners.Runner,
    stage: runners.Stage,
    scheduler: poolScheduler.PoolScheduler,
    inputs: Readonly<Record<string, number>>,
  ): Promise<void> {
    const { wire, vm, log, metrics, isInTouch } = this.#options;
    const report = await this.#readReport(runner);
    if (report === undefined || report.busy || report.stage === stage || !isInTouch()) return;
    const fencingToken = this.#createToken();
    if (fencingToken <= this.#refusedToken) return;
    const expectedSequence = report.sequence;
    const message = wire.formatStageOrder(runner, {
      stage,
      holder: vm,
      fencingToken,
      expectedSequence,
    });
    scheduler.setSwitching(runner, stage);
    const status = await this.#send(runner, message);
    metrics.count("stage_orders", { status: String(status) });
    const fields = { runner: runner.id, stage, fencingToken, expectedSequence, status, ...inputs };
    log.write(logEvents.LOG_EVENTS.orderSent, fields);
    if (status === HTTP_PRECONDITION_FAILED) this.#refusedToken = fencingToken;
    const isRefused = status !== HTTP_OK && status !== HTTP_ACCEPTED && status !== undefined;
    if (isRefused) scheduler.removeSwitching(runner.id);
  }

  async #readReport(runner: runners.Runner): Promise<gateway.EngineReport | undefined> {
    const { wire, calls, log } = this.#options;
    const { signal } = this.#controller;
    try {
      const answer = await calls.sendMessage(
        runner,
        wire.formatReport(runner),
        CALL_LIMIT_MS,
        signal,
      );
      return answer.status === HTTP_OK ? wire.parseReport(answer.body) : undefined;
    } catch (error) {
      const fields = { runner: runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
      return undefined;
    }
  }

  /** Sends an order; returns the status, `undefined` when it may or may not have been accepted. */
  async #send(runner: runners.Runner, message: gateway.RunnerMessage): Promise<number | undefined> {
    const { calls, log } = this.#options;
    try {
      const answer = await calls.sendMessage(
        runner,
        message,
        CALL_LIMIT_MS,
        this.#controller.signal,
      );
      return answer.status;
    } catch (error) {
      const fields = { runner: runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.runnerUnavailable, fields);
      return undefined;
    }
  }

  #createToken(): number {
    const { vm, getRevision } = this.#options;
    return getRevision() * TOKEN_FACTOR + (rendezvous.computeHash(vm) % TOKEN_FACTOR);
  }
}
