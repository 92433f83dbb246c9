/**
 * Level-triggered reconciliation of runners with the document. Each pass compares the current
 * document with a fresh load report of each runner and sends an order only if they differ. Orders
 * are idempotent, so lost orders, drift and allocator changes need no special handling.
 *
 * Reference: "Kubernetes Controller Reconciliation: Idempotent Desired-State Loops".
 */
import * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import * as signals from "../kernel/signals.js";
import type * as random from "../kernel/random.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as configuration from "../configuration/types.js";
import type * as telemetry from "../telemetry/types.js";
import type * as upstream from "../upstream/types.js";
import * as orderAuthority from "./order-authority.js";
import * as runnerOrder from "./runner-order.js";
import * as types from "./types.js";
import * as loadWindow from "./load-window.js";

/** Mean interval between passes; each one is jittered by ±25 %. */
const PASS_PERIOD_MS = 2000;
/** Overrun of a sleep from which the process counts as paused. */
const PAUSE_DETECTION_MS = 2000;
const READ_LOAD_TIMEOUT_MS = 1000;
/** Time after which an order is sent again if the runner still differs from the document. */
const RESEND_PERIOD_MS = 10_000;

const { DRIFT_REASON } = types;

class ReconcilingOrders implements types.Orders {
  readonly #clock: clocks.Clock;
  readonly #random: random.RandomSource;
  readonly #log: telemetry.EventLog;
  readonly #engines: upstream.EngineClient;
  readonly #configuration: configuration.Configuration;
  readonly #findAllocator: (runner: string) => string | undefined;
  readonly #ownVm: string;
  readonly #authority: orderAuthority.OrderAuthority;
  readonly #controller = new AbortController();
  readonly #drifts = new Map<string, types.DriftReason>();
  /** Monotonic time of the last order to each runner that this node allocates. */
  readonly #orderedAt = new Map<string, number>();
  #documentChange = new AbortController();
  /** Wall-clock start of the earliest load window that a runner is waiting for. */
  #nextWindowAt = Infinity;
  #task: Promise<void> = Promise.resolve();

  constructor(kernel: container.Kernel) {
    const members = kernel.use("membership");
    this.#clock = kernel.use("clock");
    this.#random = kernel.use("random");
    this.#log = kernel.use("log");
    this.#engines = kernel.use("engines");
    this.#configuration = kernel.use("configuration");
    this.#findAllocator = (runner) => kernel.use("capacity").findAllocator(runner);
    this.#ownVm = members.self.vm;
    this.#authority = new orderAuthority.OrderAuthority({
      network: kernel.use("network"),
      membership: members,
      clock: this.#clock,
      random: this.#random,
      findAllocator: this.#findAllocator,
      getVersion: () => this.#configuration.current,
    });
    this.#configuration.onChange(() => {
      this.#documentChange.abort();
    });
  }

  listDrifts(): readonly types.RunnerDrift[] {
    return [...this.#drifts].map(([runner, reason]) => ({ runner, reason }));
  }

  start(): Promise<void> {
    this.#task = this.#run(this.#controller.signal);
    return Promise.resolve();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    await this.#task;
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#documentChange = new AbortController();
      await this.#runGuardedPass(signal);
      await this.#waitForPass(signal);
    }
  }

  /** Waits for the end of the period, the next load window or a new document, whichever is first. */
  async #waitForPass(signal: AbortSignal): Promise<void> {
    const periodMs = PASS_PERIOD_MS * (0.75 + 0.5 * this.#random.nextFloat());
    const windowWaitMs = Math.max(0, this.#nextWindowAt - this.#clock.wallTime());
    const waitMs = Math.min(periodMs, windowWaitMs);
    using either = signals.createJoinedSignal([signal, this.#documentChange.signal]);
    const startedAt = this.#clock.now();
    await clocks.sleep(this.#clock, waitMs, either.signal).catch(() => undefined);
    if (this.#clock.now() - startedAt > waitMs + PAUSE_DETECTION_MS) this.#authority.reset();
  }

  /** Runs one pass and logs unexpected errors, so that reconciliation continues. */
  async #runGuardedPass(signal: AbortSignal): Promise<void> {
    try {
      await this.#runPass(signal);
    } catch (error) {
      this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
    }
  }

  async #runPass(signal: AbortSignal): Promise<void> {
    const document = this.#configuration.current?.document;
    if (document === undefined || !this.#configuration.ready) return;
    const desired = runnerOrder.computeDesiredRunners(document);
    const own = desired.filter((entry) => this.#findAllocator(entry.runner.name) === this.#ownVm);
    const names = own.map((entry) => entry.runner.name);
    this.#authority.updateAllocatedRunners(names);
    this.#removeForeignRunners(names);
    this.#nextWindowAt = Infinity;
    const schedule = { desired, bytesPerSecond: document.weightStore.bytesPerSecond };
    await Promise.all(own.map((entry) => this.#applyDocument(entry, schedule, signal)));
  }

  #removeForeignRunners(ownRunners: readonly string[]): void {
    for (const runner of [...this.#drifts.keys(), ...this.#orderedAt.keys()]) {
      if (ownRunners.includes(runner)) continue;
      this.#drifts.delete(runner);
      this.#orderedAt.delete(runner);
    }
  }

  async #applyDocument(
    entry: runnerOrder.DesiredRunner,
    schedule: LoadSchedule,
    signal: AbortSignal,
  ): Promise<void> {
    const { name } = entry.runner;
    try {
      const reason = await this.#applyOnce(entry, schedule, signal);
      if (reason === undefined) this.#drifts.delete(name);
      else this.#drifts.set(name, reason);
    } catch (error) {
      if (signal.aborted) return;
      const isNew = this.#drifts.get(name) !== DRIFT_REASON.unreachable;
      const details = { runner: name, error: String(error) };
      if (isNew) this.#log.write(logEvents.LOG_EVENTS.runnerUnavailable, details);
      this.#drifts.set(name, DRIFT_REASON.unreachable);
    }
  }

  /** Compares a runner with the document and sends an order if due; returns why it still differs. */
  async #applyOnce(
    entry: runnerOrder.DesiredRunner,
    schedule: LoadSchedule,
    signal: AbortSignal,
  ): Promise<types.DriftReason | undefined> {
    const { runner, order } = entry;
    using limit = clocks.createTimeLimit(this.#clock, READ_LOAD_TIMEOUT_MS, signal);
    const load = await this.#engines.readLoad(runner, limit.signal);
    if (!runnerOrder.hasDrift(order, load)) return undefined;
    const refusal = this.#checkPreconditions(entry, load, schedule);
    if (refusal !== undefined) return refusal;
    const confirmedAt = this.#clock.now();
    if (!(await this.#authority.checkAuthority(runner.name))) return DRIFT_REASON.unconfirmed;
    return await this.#sendOrder(entry, confirmedAt, signal);
  }

  /** Checks the local preconditions of an order; returns the reason if one is not met. */
  #checkPreconditions(
    entry: runnerOrder.DesiredRunner,
    load: upstream.RunnerLoad,
    schedule: LoadSchedule,
  ): types.DriftReason | undefined {
    const { runner, order } = entry;
    if (load.fencing > order.fencing) return DRIFT_REASON.overtaken;
    const orderedAt = this.#orderedAt.get(runner.name);
    const isRecent = orderedAt !== undefined && this.#clock.now() - orderedAt < RESEND_PERIOD_MS;
    if (isRecent && load.fencing === order.fencing) return DRIFT_REASON.ordered;
    if (!runner.checksFencing && !this.#authority.hasLeaseElapsed(runner.name))
      return DRIFT_REASON.leased;
    if (!runnerOrder.hasWeightChange(order, load)) return undefined;
    return this.#isLoadWindowOpen(runner.name, schedule) ? undefined : DRIFT_REASON.paced;
  }

  #isLoadWindowOpen(runner: string, schedule: LoadSchedule): boolean {
    const { desired, bytesPerSecond } = schedule;
    const wallTime = this.#clock.wallTime();
    const window = loadWindow.computeLoadWindow(desired, bytesPerSecond, runner, wallTime);
    if (!window.isOpen) this.#nextWindowAt = Math.min(this.#nextWindowAt, window.nextAt);
    return window.isOpen;
  }

  /** Sends an order unless the confirmation has expired or the document has changed. */
  async #sendOrder(
    entry: runnerOrder.DesiredRunner,
    confirmedAt: number,
    signal: AbortSignal,
  ): Promise<types.DriftReason> {
    const { runner, order } = entry;
    const remainingMs = confirmedAt + orderAuthority.CONFIRMATION_VALIDITY_MS - this.#clock.now();
    const isOutdated = this.#configuration.current?.revision !== order.fencing;
    if (remainingMs <= 0 || isOutdated) return DRIFT_REASON.unconfirmed;
    using limit = clocks.createTimeLimit(this.#clock, remainingMs, signal);
    this.#orderedAt.set(runner.name, this.#clock.now());
    await this.#engines.sendOrder(runner, order, limit.signal);
    const { fencing, model, version, role } = order;
    const details = { runner: runner.name, fencing, model, version, role };
    this.#log.write(logEvents.LOG_EVENTS.orderSent, details);
    return DRIFT_REASON.ordered;
  }
}

/** Input for computing load windows. */
interface LoadSchedule {
  readonly desired: readonly runnerOrder.DesiredRunner[];
  readonly bytesPerSecond: number;
}

/**
 * Creates the reconciler of a node; requires the services "engines", "capacity" and "configuration".
 *
 * @example kernel.register("orders", (services) => createOrders(services));
 */
export function createOrders(kernel: container.Kernel): types.Orders {
  return new ReconcilingOrders(kernel);
}
