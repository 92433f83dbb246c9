/** The capacity service of a node, which both holds leases and allocates runners. */
import * as events from "node:events";
import type * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as resultCodes from "../protocol/result-codes.js";
import * as allocatorClients from "./allocator-client.js";
import * as allocators from "./allocator.js";
import * as catalogs from "./runner-catalog.js";
import * as heldLeases from "./held-leases.js";
import * as leaseRequesters from "./lease-requester.js";
import * as leaseNotifiers from "./lease-notifier.js";
import * as leaseAcquirers from "./lease-acquirer.js";
import * as messages from "./messages.js";
import * as observers from "./observer.js";
import * as placement from "./placement.js";
import * as policies from "./policy.js";
import * as reservations from "./reservation.js";
import * as health from "./runner-health.js";
import * as views from "./runner-views.js";
import * as selectors from "./runner-selector.js";
import * as transfers from "./transfer-times.js";
import type * as types from "./types.js";
import * as reconcilers from "./allocation-reconciler.js";

/** Retry time for requests refused because this node holds its maximum number of leases. */
const LEASE_LIMIT_RETRY_MS = 1000;
/** Timeout of the check whether the process of a member that was declared dead still runs. */
const CHECK_TIMEOUT_MS = 1000;

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
  readonly #stopping = new AbortController();
  readonly #allocator: allocators.Allocator;
  readonly #heldLeases: heldLeases.HeldLeases;
  readonly #notifier: leaseNotifiers.LeaseNotifier;
  readonly #acquirer: leaseAcquirers.LeaseAcquirer;
  readonly #reconciler: reconcilers.AllocationReconciler;
  readonly #observer: reservations.ReservationObserver;
  readonly #subscriptions: Disposable[] = [];
  readonly #allocatorCache = new Map<string, string | undefined>();
  #catalog: catalogs.RunnerCatalog;

  constructor(kernel: container.Kernel, policy: policies.CapacityPolicy) {
    events.EventEmitter.setMaxListeners(0, this.#stopping.signal);
    this.#clock = kernel.use("clock");
    this.#network = kernel.use("network");
    this.#membership = kernel.use("membership");
    const configuration = kernel.use("configuration");
    this.#catalog = new catalogs.RunnerCatalog(configuration.current?.document);
    this.#allocator = new allocators.Allocator({
      clock: this.#clock,
      policy,
      sendRevocation: (holder, leases) => {
        this.#notifier.sendRevocation(holder, leases);
      },
      cancel: (runner, id, attempt) => {
        this.#reconciler.cancel(runner, id, attempt);
      },
    });
    this.#heldLeases = new heldLeases.HeldLeases(this.#clock, (changes) => {
      this.#notifier.sendChanges(changes);
    });
    const shared = {
      clock: this.#clock,
      random: kernel.use("random"),
      policy,
      views: new views.RunnerViews(this.#clock),
      health: new health.RunnerHealth(this.#clock),
      transfers: new transfers.TransferTimes(),
      prefixIndex: this.#allocator.prefixIndex,
      membership: this.#membership,
      network: this.#network,
      heldLeases: this.#heldLeases,
      allocator: this.#allocator,
      log: kernel.use("log"),
      engines: kernel.use("engines"),
      now: () => this.#clock.now(),
      getCatalog: () => this.#catalog,
      findAllocator: (runner: string) => this.findAllocator(runner),
    };
    this.#notifier = new leaseNotifiers.LeaseNotifier(shared, this.#stopping.signal);
    const selector = new selectors.RunnerSelector(shared);
    const client = new allocatorClients.AllocatorClient(shared);
    const requester = new leaseRequesters.LeaseRequester({ ...shared, selector, client });
    this.#acquirer = new leaseAcquirers.LeaseAcquirer({ ...shared, selector, client, requester });
    const isProcessGone = (vm: string, incarnation: number): Promise<boolean> =>
      checkProcessGone(this.#network, vm, incarnation);
    this.#reconciler = new reconcilers.AllocationReconciler(
      { ...shared, isProcessGone },
      this.#stopping.signal,
    );
    this.#observer = observers.createObserver(shared);
    this.#registerHandlers();
    this.#subscriptions.push(
      configuration.onChange(({ document }) => {
        this.#catalog = new catalogs.RunnerCatalog(document);
        this.#allocatorCache.clear();
        this.#reconciler.updateRunners();
      }),
      this.#membership.onChange((member) => {
        this.#allocatorCache.clear();
        this.#reconciler.handleMemberChange(member);
        this.#notifier.scheduleReports();
      }),
    );
  }

  async reserve(demand: types.Demand, signal: AbortSignal): Promise<types.Reservation> {
    this.#checkDemand(demand);
    const isFirst = demand.isFirstAttempt ?? demand.attempt === 1;
    if (!isFirst) this.#notifier.sendNewerAttempt(demand);
    const revocation = new AbortController();
    const onRevoke = (): void => {
      revocation.abort(new Error("lease was taken back"));
    };
    const planned = this.#acquirer.choosePrefill(demand);
    const decode = await this.#acquirer.leaseDecode(demand, planned, onRevoke, signal);
    const options: reservations.ReservationOptions = {
      clock: this.#clock,
      demand,
      revocation,
      heldLeases: this.#heldLeases,
      observer: this.#observer,
      waitForDecodeLease: (grant, abortSignal) =>
        this.#acquirer.waitForDecodeLease(demand, grant, onRevoke, abortSignal),
      waitForPrefillLease: (grant, abortSignal) =>
        this.#acquirer.waitForPrefillLease(grant, abortSignal),
      leasePrefill: (grant, abortSignal) =>
        this.#acquirer.leasePrefill(demand, grant, onRevoke, abortSignal),
    };
    if (!decode.mayStart) {
      return new reservations.LeasedReservation(options, decode, planned.runner, undefined);
    }
    try {
      const prefill = await options.leasePrefill(decode, signal);
      return new reservations.LeasedReservation(options, decode, planned.runner, prefill);
    } catch (error) {
      this.#heldLeases.release(decode.lease);
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
    this.#reconciler.updateRunners();
    void this.#notifier.runReports();
    return Promise.resolve();
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const subscription of this.#subscriptions) subscription[Symbol.dispose]();
    this.#heldLeases[Symbol.dispose]();
    this.#stopping.abort(new Error("capacity service stopped"));
    return Promise.resolve();
  }

  #registerHandlers(): void {
    const peers = this.#network;
    const allocator = this.#allocator;
    peers.onCall(messages.LEASE_DECODE, (request, from) =>
      allocator.handleDecodeRequest(request, from),
    );
    peers.onCall(messages.WAIT_FOR_START, (id, _from, signal) =>
      allocator.handleStartWait(id, signal),
    );
    peers.onCall(messages.LEASE_PREFILL, (request, from) =>
      allocator.handlePrefillRequest(request, from),
    );
    peers.onCall(messages.CHANGE_LEASES, ({ changes }) => {
      allocator.handleChanges(changes);
      return {};
    });
    peers.onCall(messages.REPORT_LEASES, (report, from) => allocator.handleReport(report, from));
    peers.onCall(messages.ADD_LEASES, ({ leases }, from) => ({
      revoked: [...allocator.handleReportedLeases(leases, from)],
    }));
    peers.onCall(messages.REVOKE_LEASES, ({ leases }) => {
      this.#heldLeases.removeRevoked(leases);
      return {};
    });
    peers.onCall(messages.CHECK_PROCESS, () => ({}));
    peers.onCall(messages.SUPERSEDE, ({ id, attempt }) => {
      allocator.handleNewerAttempt(id, attempt);
      return {};
    });
  }

  /** @throws RequestError if the prompt fits no decode runner or this node can hold no more leases */
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
    if (this.#heldLeases.hasRoom) return;
    throw new resultCodes.RequestError(resultCodes.RESULT_CODES.overloaded, resultCodes.RAN.no, {
      detail: "node holds as many leases as it may",
      retryAfterMs: LEASE_LIMIT_RETRY_MS,
    });
  }
}

/**
 * Returns true if the process is proved to have ended. False means that it answered or that this is
 * unknown, for example because it is partitioned or paused.
 */
async function checkProcessGone(
  peers: network.PeerNetwork,
  vm: string,
  incarnation: number,
): Promise<boolean> {
  const options = { timeoutMs: CHECK_TIMEOUT_MS, incarnation };
  try {
    await peers.call(vm, messages.CHECK_PROCESS, {}, options);
    return false;
  } catch (error) {
    const isCallError = error instanceof network.PeerCallError;
    return isCallError && error.failure === network.CALL_FAILURE.gone;
  }
}
