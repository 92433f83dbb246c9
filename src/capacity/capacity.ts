/** The capacity service: a holder of leases and an allocator of runners in one node. */
import * as events from "node:events";
import * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import type * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as allocators from "./allocator.js";
import * as catalogs from "./catalog.js";
import * as holdings from "./holdings.js";
import * as leasing from "./leasing.js";
import * as messages from "./messages.js";
import * as observers from "./observer.js";
import * as placement from "./placement.js";
import * as policies from "./policy.js";
import * as reservations from "./reservation.js";
import * as health from "./runner-health.js";
import * as views from "./runner-views.js";
import * as selections from "./selection.js";
import * as transfers from "./transfer-times.js";
import type * as types from "./types.js";
import * as upkeeps from "./upkeep.js";

const CALL_TIMEOUT_MS = 500;
const FULL_RETRY_MS = 1000;

/** What a holder tells an allocator each period. */
interface LeaseReport {
  leases: messages.HeldLease[];
  gaps: messages.RunnerGap[];
}

/**
 * Creates the capacity service of a node and registers its handlers of peer calls.
 *
 * @example kernel.register("capacity", (kernel) => createCapacity(kernel));
 */
export function createCapacity(
  kernel: container.Kernel,
  policy: Partial<policies.CapacityPolicy> = {},
): types.Capacity {
  return new CapacityService(kernel, { ...policies.DEFAULT_POLICY, ...policy });
}

class CapacityService implements types.Capacity {
  readonly #clock: clocks.Clock;
  readonly #network: network.PeerNetwork;
  readonly #membership: membership.Membership;
  readonly #policy: policies.CapacityPolicy;
  readonly #stopping = new AbortController();
  readonly #allocator: allocators.Allocator;
  readonly #holdings: holdings.Holdings;
  readonly #views: views.RunnerViews;
  readonly #health: health.RunnerHealth;
  readonly #leasing: leasing.Leasing;
  readonly #upkeep: upkeeps.Upkeep;
  readonly #observer: reservations.Observer;
  readonly #subscriptions: Disposable[] = [];
  readonly #allocatorCache = new Map<string, string | undefined>();
  #catalog: catalogs.Catalog;

  constructor(kernel: container.Kernel, policy: policies.CapacityPolicy) {
    events.EventEmitter.setMaxListeners(0, this.#stopping.signal);
    this.#clock = kernel.use("clock");
    this.#network = kernel.use("network");
    this.#membership = kernel.use("membership");
    this.#policy = policy;
    const configuration = kernel.use("configuration");
    this.#catalog = new catalogs.Catalog(configuration.current?.document);
    this.#allocator = new allocators.Allocator({
      clock: this.#clock,
      policy,
      sendRevoke: (holder, leases) => {
        this.#sendRevoke(holder, leases);
      },
      cancel: (runner, id, attempt) => {
        this.#upkeep.cancel(runner, id, attempt);
      },
    });
    this.#holdings = new holdings.Holdings(this.#clock, (changes) => {
      this.#sendChanges(changes);
    });
    this.#views = new views.RunnerViews(this.#clock);
    this.#health = new health.RunnerHealth(this.#clock);
    const shared = {
      clock: this.#clock,
      random: kernel.use("random"),
      policy,
      views: this.#views,
      health: this.#health,
      transfers: new transfers.TransferTimes(),
      prefixIndex: this.#allocator.prefixIndex,
      membership: this.#membership,
      network: this.#network,
      holdings: this.#holdings,
      allocator: this.#allocator,
      log: kernel.use("log"),
      engines: kernel.use("engines"),
      now: () => this.#clock.now(),
      getCatalog: () => this.#catalog,
      findAllocator: (runner: string) => this.findAllocator(runner),
    };
    const selection = new selections.Selection(shared);
    this.#leasing = new leasing.Leasing({ ...shared, selection });
    this.#upkeep = new upkeeps.Upkeep(shared, this.#stopping.signal);
    this.#observer = observers.createObserver(shared);
    this.#registerHandlers();
    this.#subscriptions.push(
      configuration.onChange(({ document }) => {
        this.#catalog = new catalogs.Catalog(document);
        this.#allocatorCache.clear();
        this.#upkeep.updateRunners();
      }),
      this.#membership.onChange((member) => {
        this.#allocatorCache.clear();
        this.#upkeep.handleMember(member);
        void this.#sendReports();
      }),
    );
  }

  async reserve(demand: types.Demand, signal: AbortSignal): Promise<types.Reservation> {
    this.#checkDemand(demand);
    if (demand.attempt > 1) this.#sendSupersede(demand);
    const revoked = new AbortController();
    const onRevoke = (): void => {
      revoked.abort(new Error("lease was taken back"));
    };
    const planned = this.#leasing.choosePrefill(demand);
    const decode = await this.#leasing.leaseDecode(demand, planned, onRevoke, signal);
    const parts: reservations.ReservationParts = {
      clock: this.#clock,
      demand,
      revoked,
      holdings: this.#holdings,
      observer: this.#observer,
      waitTurn: (grant, stop) => this.#leasing.waitTurn(demand, grant, onRevoke, stop),
      waitPrefillTurn: (grant, stop) => this.#leasing.waitPrefillTurn(grant, stop),
      leasePrefill: (grant, stop) => this.#leasing.leasePrefill(demand, grant, onRevoke, stop),
    };
    if (!decode.turn) {
      return new reservations.LeasedReservation(parts, decode, planned.runner, undefined);
    }
    try {
      const prefill = await parts.leasePrefill(decode, signal);
      return new reservations.LeasedReservation(parts, decode, planned.runner, prefill);
    } catch (error) {
      this.#holdings.release(decode.holding);
      throw error;
    }
  }

  findAllocator(runner: string): string | undefined {
    const cached = this.#allocatorCache.get(runner);
    if (cached !== undefined) return cached;
    const entry = this.#catalog.findRunner(runner);
    if (entry === undefined) return undefined;
    const allocator = placement.findAllocator(entry, this.#membership.listAlive());
    this.#allocatorCache.set(runner, allocator);
    return allocator;
  }

  listLeases(): readonly types.LeaseView[] {
    return this.#allocator.listLeases();
  }

  start(): Promise<void> {
    this.#upkeep.updateRunners();
    void this.#runReports();
    return Promise.resolve();
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const subscription of this.#subscriptions) subscription[Symbol.dispose]();
    this.#holdings[Symbol.dispose]();
    this.#stopping.abort(new Error("capacity service stopped"));
    return Promise.resolve();
  }

  #registerHandlers(): void {
    const peers = this.#network;
    const allocator = this.#allocator;
    peers.onCall(messages.LEASE_DECODE, (request, from) => allocator.handleLease(request, from));
    peers.onCall(messages.WAIT_TURN, (id, _from, signal) => allocator.handleWait(id, signal));
    peers.onCall(messages.LEASE_PREFILL, (request, from) => allocator.handlePrefill(request, from));
    peers.onCall(messages.CHANGE_LEASES, ({ changes }) => {
      allocator.handleChanges(changes);
      return {};
    });
    peers.onCall(messages.REPORT_LEASES, ({ leases, gaps }, from) =>
      allocator.handleReport(leases, gaps, from),
    );
    peers.onCall(messages.REVOKE_LEASES, ({ leases }) => {
      this.#holdings.handleRevoke(leases);
      return {};
    });
    peers.onCall(messages.SUPERSEDE, ({ id, attempt }) => {
      allocator.handleSupersede(id, attempt);
      return {};
    });
  }

  #checkDemand(demand: types.Demand): void {
    const decoders = this.#catalog.listServing(demand.model, "decode");
    const tokens = demand.promptTokens + demand.maxTokens;
    const isTooLong = decoders.every(
      (runner) => Math.ceil(tokens / runner.tokensPerPiece) > runner.pieces,
    );
    if (decoders.length > 0 && isTooLong) {
      throw new resultCodes.RequestError(
        resultCodes.RESULT_CODES.promptTooLong,
        resultCodes.RAN.no,
      );
    }
    if (this.#holdings.hasRoom) return;
    throw new resultCodes.RequestError(resultCodes.RESULT_CODES.overloaded, resultCodes.RAN.no, {
      detail: "node holds as many leases as it may",
      retryAfterMs: FULL_RETRY_MS,
    });
  }

  async #runReports(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.#sendReports();
      try {
        await clocks.sleep(this.#clock, this.#policy.reportPeriodMs, signal);
      } catch {
        return;
      }
    }
  }

  /** Tells each allocator what this node holds of it and observed of its runners. */
  async #sendReports(): Promise<void> {
    const held = this.#groupByAllocator(this.#holdings.listHeld());
    const gaps = this.#groupByAllocator(this.#health.shiftGaps());
    const allocators = new Set<string>();
    for (const { name } of this.#catalog.listRunners()) {
      const allocator = this.findAllocator(name);
      if (allocator !== undefined) allocators.add(allocator);
    }
    const sends = [...allocators].map((vm) =>
      this.#sendReport(vm, { leases: held.get(vm) ?? [], gaps: gaps.get(vm) ?? [] }),
    );
    await Promise.all(sends);
  }

  async #sendReport(vm: string, report: LeaseReport): Promise<void> {
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal: this.#stopping.signal };
      const reply = await this.#network.call(vm, messages.REPORT_LEASES, report, options);
      this.#views.update(reply.views);
      this.#holdings.handleRevoke(reply.revoked);
    } catch {
      // The next period's report repeats it.
    }
  }

  #groupByAllocator<Item extends { readonly runner: string }>(
    items: readonly Item[],
  ): ReadonlyMap<string, Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
      const allocator = this.findAllocator(item.runner);
      if (allocator === undefined) continue;
      const group = groups.get(allocator);
      if (group === undefined) groups.set(allocator, [item]);
      else group.push(item);
    }
    return groups;
  }

  #sendChanges(changes: readonly messages.LeaseChange[]): void {
    for (const [vm, group] of this.#groupByAllocator(changes)) {
      this.#sendQuietly(vm, messages.CHANGE_LEASES, { changes: group });
    }
  }

  #sendRevoke(holder: network.PeerIdentity, leases: readonly messages.LeaseId[]): void {
    this.#sendQuietly(holder.vm, messages.REVOKE_LEASES, { leases: [...leases] });
  }

  /** A newer attempt is rare, so every node is told: any may allocate the older one's runner. */
  #sendSupersede({ id, attempt }: types.Demand): void {
    for (const { vm } of this.#membership.listAlive()) {
      this.#sendQuietly(vm, messages.SUPERSEDE, { id, attempt });
    }
  }

  /** Sends without waiting; periodic reports repair what is lost. */
  #sendQuietly<Request, Reply>(
    vm: string,
    call: network.PeerCall<Request, Reply>,
    request: Request,
  ): void {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    this.#network.call(vm, call, request, options).catch(() => undefined);
  }
}
