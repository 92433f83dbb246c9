/** Notifies other nodes of held leases, lease changes, revocations and newer attempts. */
import * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./runner-catalog.js";
import type * as heldLeases from "./held-leases.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as health from "./runner-health.js";
import type * as views from "./runner-views.js";

const CALL_TIMEOUT_MS = 500;
/** Delay during which membership changes are batched into one report. */
const REPORT_DELAY_MS = 20;

/** Services, state and functions that the notifier uses. */
export interface LeaseNotifierOptions {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly policy: policies.CapacityPolicy;
  readonly heldLeases: heldLeases.HeldLeases;
  readonly health: health.RunnerHealth;
  readonly views: views.RunnerViews;
  readonly getCatalog: () => catalogs.RunnerCatalog;
  readonly findAllocator: (runner: string) => string | undefined;
}

/**
 * Sends notifications without retries. A lost report, change or revocation is made up for by the next
 * periodic report; a lost notice of a newer attempt and lost latency measurements are not sent again.
 */
export class LeaseNotifier {
  readonly #options: LeaseNotifierOptions;
  readonly #signal: AbortSignal;
  #cancelReports: (() => void) | undefined;

  constructor(options: LeaseNotifierOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    signal.addEventListener("abort", () => this.#cancelReports?.(), { once: true });
  }

  /** Sends reports each period until the service stops. */
  async runReports(): Promise<void> {
    const { clock, policy } = this.#options;
    while (!this.#signal.aborted) {
      await this.sendReports();
      try {
        await clocks.sleep(clock, policy.reportPeriodMs, this.#signal);
      } catch {
        return;
      }
    }
  }

  /** Sends reports after a short delay, since allocators may have changed. */
  scheduleReports(): void {
    this.#cancelReports ??= this.#options.clock.schedule(REPORT_DELAY_MS, () => {
      this.#cancelReports = undefined;
      if (!this.#signal.aborted) void this.sendReports();
    });
  }

  /**
   * Reports to each allocator the leases that this node holds on its runners and the inter-token
   * latencies observed there.
   */
  async sendReports(): Promise<void> {
    const {
      heldLeases: leaseStore,
      health: runnerHealth,
      getCatalog,
      findAllocator,
    } = this.#options;
    const leases = this.#createAllocatorGroups(leaseStore.listHeld());
    const gaps = this.#createAllocatorGroups(runnerHealth.drainGaps());
    const allocators = new Set<string>();
    for (const { name } of getCatalog().listRunners()) {
      const allocator = findAllocator(name);
      if (allocator !== undefined) allocators.add(allocator);
    }
    const sends = [...allocators].map((vm) =>
      this.#sendReport(vm, { leases: leases.get(vm) ?? [], gaps: gaps.get(vm) ?? [] }),
    );
    await Promise.all(sends);
  }

  /** Sends phase changes and releases of leases to the allocators of their runners. */
  sendChanges(changes: readonly messages.LeaseChange[]): void {
    for (const [vm, group] of this.#createAllocatorGroups(changes)) {
      this.#sendBestEffort(vm, messages.CHANGE_LEASES, { changes: group });
    }
  }

  /** Notifies a holder of revoked leases. */
  sendRevocation(holder: network.PeerIdentity, leases: readonly messages.LeaseId[]): void {
    this.#sendBestEffort(holder.vm, messages.REVOKE_LEASES, { leases: [...leases] });
  }

  /** Notifies every alive node of a newer attempt, as any may allocate the older one's runner. */
  sendNewerAttempt({ id, attempt }: upstream.AttemptId): void {
    for (const { vm } of this.#options.membership.listAlive()) {
      this.#sendBestEffort(vm, messages.SUPERSEDE, { id, attempt });
    }
  }

  async #sendReport(vm: string, report: messages.LeaseReport): Promise<void> {
    const { heldLeases: leaseStore, network: peers, views: runnerViews } = this.#options;
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal: this.#signal };
      const reply = await peers.call(vm, messages.REPORT_LEASES, report, options);
      runnerViews.update(reply.views);
      leaseStore.removeRevoked(reply.revoked);
      const leases = leaseStore.listDetails(reply.unknown);
      if (leases.length === 0) return;
      const added = await peers.call(vm, messages.ADD_LEASES, { leases }, options);
      leaseStore.removeRevoked(added.revoked);
    } catch {
      // The next periodic report lists the held leases again.
    }
  }

  /** Groups items by the allocator of their runner and omits those whose allocator is unknown. */
  #createAllocatorGroups<Item extends { readonly runner: string }>(
    items: readonly Item[],
  ): ReadonlyMap<string, Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
      const allocator = this.#options.findAllocator(item.runner);
      if (allocator === undefined) continue;
      const group = groups.get(allocator);
      if (group === undefined) groups.set(allocator, [item]);
      else group.push(item);
    }
    return groups;
  }

  #sendBestEffort<Request, Reply>(
    vm: string,
    call: network.PeerCall<Request, Reply>,
    request: Request,
  ): void {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    this.#options.network.call(vm, call, request, options).catch(() => undefined);
  }
}
