/**
 * Keeps the allocated runners up to date: which runners this node allocates, their load, the leases
 * of lost holders, and orphans, which are requests at an engine that have no lease.
 */
import * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as upstream from "../upstream/types.js";
import type * as allocatedRunners from "./allocated-runner.js";
import type * as allocators from "./allocator.js";
import type * as catalogs from "./runner-catalog.js";
import * as lostHolders from "./lost-holders.js";
import type * as policies from "./policy.js";

/** Delay between the loss of a holder and the cancellation of its requests. */
const HOLDER_GRACE_MS = 1500;
/** The same delay while several members are lost, which suggests a network partition. */
const PARTITION_GRACE_MS = 30_000;
/** Time for which a request without a lease may run before it is cancelled. */
const ORPHAN_GRACE_MS = 3000;
/** Maximum time from the start of a lease until the engine's load report shows it. */
const LOAD_REPORT_GRACE_MS = 2500;
const CALL_TIMEOUT_MS = 1000;
/** Report periods after which all holders have reported their leases to a new allocator. */
const SETTLING_PERIODS = 2;

/** Services, state and functions that the reconciler uses. */
export interface AllocationReconcilerOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly membership: membership.Membership;
  readonly engines: upstream.EngineClient;
  readonly policy: policies.CapacityPolicy;
  readonly allocator: allocators.Allocator;
  readonly getCatalog: () => catalogs.RunnerCatalog;
  readonly findAllocator: (runner: string) => string | undefined;
  /** Checks whether that incarnation's process has ended; false if it may be unreachable or paused. */
  readonly isProcessGone: (vm: string, incarnation: number) => Promise<boolean>;
}

/** Updates the allocator in the background until its signal aborts. */
export class AllocationReconciler {
  readonly #options: AllocationReconcilerOptions;
  readonly #signal: AbortSignal;
  readonly #lost: lostHolders.LostHolders;
  readonly #watchedRunners = new Set<string>();

  constructor(options: AllocationReconcilerOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    this.#lost = new lostHolders.LostHolders(options.clock);
  }

  /** Starts and stops allocating runners according to the members and the configuration. */
  updateRunners(): void {
    const { allocator, findAllocator, getCatalog, membership: members } = this.#options;
    const own = members.self.vm;
    for (const { runner } of allocator.listRunners()) {
      const isOwn = findAllocator(runner.name) === own;
      if (!isOwn || getCatalog().findRunner(runner.name) === undefined) {
        allocator.removeRunner(runner.name);
      }
    }
    for (const runner of getCatalog().listRunners()) {
      if (findAllocator(runner.name) !== own) continue;
      if (allocator.findRunner(runner.name) === undefined) this.#addRunner(runner);
    }
  }

  /**
   * Handles a change of a member. The leases of a dead member are cancelled after a delay, unless it
   * returns before; the leases of an earlier incarnation are cancelled when a newer one appears.
   */
  handleMemberChange(member: membership.Member): void {
    const isLost = member.state === "dead" || member.state === "suspect";
    const known = this.#lost.find(member.vm);
    if (!isLost && known !== undefined) {
      this.#lost.remove(member.vm);
      if (member.incarnation > known.incarnation)
        this.#removeLostLeases(member.vm, known.incarnation);
    }
    if (member.state === "dead") {
      const lost = this.#lost.add(member.vm, member.incarnation);
      if (lost !== undefined) this.#handleLoss(member.vm, lost);
    }
    this.updateRunners();
  }

  #handleLoss(vm: string, lost: lostHolders.LostHolder): void {
    void this.#options.isProcessGone(vm, lost.incarnation).then((isGone) => {
      lost.isGone = isGone;
    });
    this.#scheduleRemoval(vm, lost, HOLDER_GRACE_MS);
  }

  #addRunner(runner: catalogs.CatalogRunner): void {
    const { allocator, log } = this.#options;
    allocator.addRunner(runner);
    log.write(logEvents.LOG_EVENTS.allocatorChanged, { runner: runner.name });
    void this.#watchRunner(runner);
  }

  async #watchRunner(runner: catalogs.CatalogRunner): Promise<void> {
    if (this.#watchedRunners.has(runner.name)) return;
    this.#watchedRunners.add(runner.name);
    const { allocator, clock, policy } = this.#options;
    while (!this.#signal.aborted && allocator.findRunner(runner.name) !== undefined) {
      await this.#readRunner(runner);
      await sleepUnlessAborted(clock, policy.loadPeriodMs, this.#signal);
    }
    this.#watchedRunners.delete(runner.name);
  }

  async #readRunner(runner: catalogs.CatalogRunner): Promise<void> {
    const { allocator, clock, engines } = this.#options;
    const entry = allocator.findRunner(runner.name);
    if (entry === undefined) return;
    const wasAvailable = entry.occupancy.available;
    using limit = clocks.createTimeLimit(clock, CALL_TIMEOUT_MS, this.#signal);
    try {
      const load = await engines.readLoad(runner, limit.signal);
      const isKnown = (id: string): boolean => hasLease(entry, id);
      entry.occupancy.recordLoad(load, isKnown);
      entry.occupancy.hasUnknownLeases = this.#hasUnknownLeases(entry);
      if (entry.prefill !== undefined) await this.#readEvents(runner, limit.signal);
      this.#releaseEnded(entry, load);
      this.#cancelOrphans(entry);
      entry.decode?.startQueued();
    } catch {
      entry.occupancy.recordFailure();
      if (entry.occupancy.available || !wasAvailable) return;
      entry.decode?.refuseQueued();
      this.#options.log.write(logEvents.LOG_EVENTS.runnerUnavailable, { runner: runner.name });
    }
  }

  async #readEvents(runner: catalogs.CatalogRunner, signal: AbortSignal): Promise<void> {
    const { allocator, clock, engines } = this.#options;
    const after = allocator.prefixIndex.getLastEventNumber(runner.name);
    const events = await engines.readCacheEvents(runner, after, signal);
    allocator.prefixIndex.applyEvents(runner.name, events, clock.now());
  }

  #releaseEnded(entry: allocatedRunners.AllocatedRunner, load: upstream.RunnerLoad): void {
    if (this.#lost.size === 0) return;
    const held = new Set(load.held.map(({ id }) => id));
    const before = this.#options.clock.now() - load.ageMs - LOAD_REPORT_GRACE_MS;
    entry.decode?.releaseEnded((holder) => this.#lost.find(holder.vm) !== undefined, held, before);
  }

  #hasUnknownLeases(entry: allocatedRunners.AllocatedRunner): boolean {
    const { clock, policy } = this.#options;
    const ageMs = clock.now() - entry.allocatedSince;
    return ageMs < SETTLING_PERIODS * policy.reportPeriodMs || this.#lost.isPartitionSuspected();
  }

  #cancelOrphans(entry: allocatedRunners.AllocatedRunner): void {
    if (entry.occupancy.hasUnknownLeases) return;
    const isKnown = (id: string): boolean => hasLease(entry, id);
    for (const { id, attempt } of entry.occupancy.listOrphans(ORPHAN_GRACE_MS, isKnown)) {
      this.cancel(entry.runner, id, attempt);
      const fields = { runner: entry.runner.name, id, attempt };
      this.#options.log.write(logEvents.LOG_EVENTS.orphanCancelled, fields);
    }
  }

  /** Cancels an attempt at the engine without waiting for the result; failures are not retried. */
  cancel(runner: catalogs.CatalogRunner, id: string, attempt: number): void {
    void this.#sendCancel(runner, id, attempt);
  }

  async #sendCancel(runner: catalogs.CatalogRunner, id: string, attempt: number): Promise<void> {
    using limit = clocks.createTimeLimit(this.#options.clock, CALL_TIMEOUT_MS, this.#signal);
    try {
      await this.#options.engines.cancel(runner, { id, attempt }, limit.signal);
    } catch {
      // If the attempt goes on, later load reports show it as an orphan, which is cancelled again.
    }
  }

  #scheduleRemoval(vm: string, lost: lostHolders.LostHolder, delayMs: number): void {
    const cancel = this.#options.clock.schedule(delayMs, () => {
      if (this.#lost.find(vm) !== lost || this.#signal.aborted) return;
      const remainingMs = lost.lostAt + PARTITION_GRACE_MS - this.#options.clock.now();
      if (this.#lost.isPartitionSuspected() && remainingMs > 0)
        this.#scheduleRemoval(vm, lost, remainingMs);
      else this.#removeLostLeases(vm, lost.incarnation);
    });
    this.#signal.addEventListener("abort", cancel, { once: true });
  }

  #removeLostLeases(vm: string, incarnation: number): void {
    const removed = this.#options.allocator.removeLostLeases(
      (holder) => holder.vm === vm && holder.incarnation <= incarnation,
    );
    for (const lease of removed) {
      this.#options.log.write(logEvents.LOG_EVENTS.orphanCancelled, { ...lease, holder: vm });
    }
  }
}

async function sleepUnlessAborted(
  clock: clocks.Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  try {
    await clocks.sleep(clock, delayMs, signal);
  } catch {
    // The caller's loop checks the signal.
  }
}

function hasLease(entry: allocatedRunners.AllocatedRunner, id: string): boolean {
  return (entry.decode ?? entry.prefill)?.findLease(id) !== undefined;
}
