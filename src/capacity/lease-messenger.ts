/** Messages about held leases: periodic reports, changes, and what tells others of a loss. */
import * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./catalog.js";
import type * as holdings from "./holdings.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as health from "./runner-health.js";
import type * as views from "./runner-views.js";

const CALL_TIMEOUT_MS = 500;
/** How long changes of members are collected into one report. */
const REPORT_DELAY_MS = 20;

/** What the messenger works with. */
export interface MessengerParts {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly policy: policies.CapacityPolicy;
  readonly holdings: holdings.Holdings;
  readonly health: health.RunnerHealth;
  readonly views: views.RunnerViews;
  readonly getCatalog: () => catalogs.Catalog;
  readonly findAllocator: (runner: string) => string | undefined;
}

/** Sends what this node holds; what is lost on the way is repaired by the next report. */
export class LeaseMessenger {
  readonly #parts: MessengerParts;
  readonly #signal: AbortSignal;
  #cancelReports: (() => void) | undefined;

  constructor(parts: MessengerParts, signal: AbortSignal) {
    this.#parts = parts;
    this.#signal = signal;
    signal.addEventListener("abort", () => this.#cancelReports?.(), { once: true });
  }

  /** Reports each period until the service stops. */
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

  /** Reports soon, for allocators may have changed. */
  scheduleReports(): void {
    this.#cancelReports ??= this.#parts.clock.schedule(REPORT_DELAY_MS, () => {
      this.#cancelReports = undefined;
      if (!this.#signal.aborted) void this.sendReports();
    });
  }

  /** Tells each allocator what this node holds of it and observed of its runners. */
  async sendReports(): Promise<void> {
    const { holdings: held, health: observed, getCatalog, findAllocator } = this.#parts;
    const leases = this.#listByAllocator(held.listHeld());
    const gaps = this.#listByAllocator(observed.shiftGaps());
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

  /** Tells allocators of changes. */
  sendChanges(changes: readonly messages.LeaseChange[]): void {
    for (const [vm, group] of this.#listByAllocator(changes)) {
      this.#sendQuietly(vm, messages.CHANGE_LEASES, { changes: group });
    }
  }

  /** Tells a holder that it lost leases. */
  sendRevoke(holder: network.PeerIdentity, leases: readonly messages.LeaseId[]): void {
    this.#sendQuietly(holder.vm, messages.REVOKE_LEASES, { leases: [...leases] });
  }

  /** Tells every node of a newer attempt, for any may allocate the older one's runner. */
  sendSupersede({ id, attempt }: upstream.AttemptId): void {
    for (const { vm } of this.#parts.membership.listAlive()) {
      this.#sendQuietly(vm, messages.SUPERSEDE, { id, attempt });
    }
  }

  async #sendReport(vm: string, report: messages.LeaseReport): Promise<void> {
    const { holdings: held, network: peers, views: known } = this.#parts;
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal: this.#signal };
      const reply = await peers.call(vm, messages.REPORT_LEASES, report, options);
      known.update(reply.views);
      held.handleRevoke(reply.revoked);
      const leases = held.listInFull(reply.unknown);
      if (leases.length === 0) return;
      const added = await peers.call(vm, messages.ADD_LEASES, { leases }, options);
      held.handleRevoke(added.revoked);
    } catch {
      // The next period's report repeats it.
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

  #sendQuietly<Request, Reply>(
    vm: string,
    call: network.PeerCall<Request, Reply>,
    request: Request,
  ): void {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    this.#parts.network.call(vm, call, request, options).catch(() => undefined);
  }
}
