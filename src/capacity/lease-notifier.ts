/** Notifies other nodes about leases: periodic reports, changes, revocations, newer attempts. */
import * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./catalog.js";
import type * as heldLeases from "./held-leases.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as health from "./runner-health.js";
import type * as views from "./runner-views.js";

const CALL_TIMEOUT_MS = 500;
/** Delay during which membership changes are batched into one report. */
const REPORT_DELAY_MS = 20;

/** Dependencies of the notifier. */
export interface LeaseNotifierParts {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly policy: policies.CapacityPolicy;
  readonly heldLeases: heldLeases.HeldLeases;
  readonly health: health.RunnerHealth;
  readonly views: views.RunnerViews;
  readonly getCatalog: () => catalogs.Catalog;
  readonly findAllocator: (runner: string) => string | undefined;
}

/** Sends notifications without retries; the next periodic report repairs lost ones. */
export class LeaseNotifier {
  readonly #parts: LeaseNotifierParts;
  readonly #signal: AbortSignal;
  #cancelReports: (() => void) | undefined;

  constructor(parts: LeaseNotifierParts, signal: AbortSignal) {
    this.#parts = parts;
    this.#signal = signal;
    signal.addEventListener("abort", () => this.#cancelReports?.(), { once: true });
  }

  /** Sends reports each period until the service stops. */
  async runReports(): Promise<void> {
    const { clock, policy } = this.#parts;
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
    this.#cancelReports ??= this.#parts.clock.schedule(REPORT_DELAY_MS, () => {
      this.#cancelReports = undefined;
      if (!this.#signal.aborted) void this.sendReports();
    });
  }

  /** Reports to each allocator the leases held and the token gaps observed at its runners. */
  async sendReports(): Promise<void> {
    const { heldLeases: held, health: observed, getCatalog, findAllocator } = this.#parts;
    const leases = this.#listByAllocator(held.listHeld());
    const gaps = this.#listByAllocator(observed.drainGaps());
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

  /** Notifies allocators of changes of leases. */
  sendChanges(changes: readonly messages.LeaseChange[]): void {
    for (const [vm, group] of this.#listByAllocator(changes)) {
      this.#sendBestEffort(vm, messages.CHANGE_LEASES, { changes: group });
    }
  }

  /** Notifies a holder of revoked leases. */
  sendRevoke(holder: network.PeerIdentity, leases: readonly messages.LeaseId[]): void {
    this.#sendBestEffort(holder.vm, messages.REVOKE_LEASES, { leases: [...leases] });
  }

  /** Notifies every node of a newer attempt, since any may allocate the runner of the older one. */
  sendSupersede({ id, attempt }: upstream.AttemptId): void {
    for (const { vm } of this.#parts.membership.listAlive()) {
      this.#sendBestEffort(vm, messages.SUPERSEDE, { id, attempt });
    }
  }

  async #sendReport(vm: string, report: messages.LeaseReport): Promise<void> {
    const { heldLeases: held, network: peers, views: runnerViews } = this.#parts;
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal: this.#signal };
      const reply = await peers.call(vm, messages.REPORT_LEASES, report, options);
      runnerViews.update(reply.views);
      held.removeRevoked(reply.revoked);
      const leases = held.listDetails(reply.unknown);
      if (leases.length === 0) return;
      const added = await peers.call(vm, messages.ADD_LEASES, { leases }, options);
      held.removeRevoked(added.revoked);
    } catch {
      // The next periodic report repeats it.
    }
  }

  #listByAllocator<Item extends { readonly runner: string }>(
    items: readonly Item[],
  ): ReadonlyMap<string, Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
      const allocator = this.#parts.findAllocator(item.runner);
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
    this.#parts.network.call(vm, call, request, options).catch(() => undefined);
  }
}
