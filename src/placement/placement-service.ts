/**
 * Obtains placements for model requests from the scheduler of their service, or locally if it is
 * unreachable.
 */
import type * as dutyHolders from "../membership/duty-holders.js";
import type * as membership from "../membership/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as calls from "./calls.js";
import * as poolScheduler from "./pool-scheduler.js";
import type * as types from "./types.js";

/**
 * Time limit for the acknowledgement of a queued request, which a reachable scheduler sends within
 * a few milliseconds.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 250;
const PROGRESS_TIMEOUT_MS = 1_000;
/** Time for which progress is collected before it is sent in one batch. */
const PROGRESS_BATCH_MS = 10;

/** Dependencies of the placement service. */
export interface PlacementServiceOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly holders: Pick<dutyHolders.DutyHolders, "find">;
  /** Returns how many VMs share the runners when this one places alone. */
  readonly countVms: () => number;
  readonly createScheduler: (service: string) => poolScheduler.PoolScheduler;
}

/** A granted placement that has not been released. */
interface ActivePlacement {
  readonly service: string;
  readonly request: types.PlacementRequest;
  readonly place: types.Placement;
  decodeStartedAt: number | undefined;
}

/** Places this VM's requests and, where it is the scheduler of a service, those of other VMs. */
export class PlacementService implements AsyncDisposable {
  readonly #options: PlacementServiceOptions;
  readonly #schedulers = new Map<string, poolScheduler.PoolScheduler>();
  readonly #activePlacements = new Map<string, ActivePlacement>();
  readonly #pendingProgress = new Map<string, types.PlacementProgress[]>();
  /** VM that was last the scheduler, by service. */
  readonly #lastSchedulers = new Map<string, string>();
  #cancelProgressTimer: (() => void) | undefined;

  constructor(options: PlacementServiceOptions) {
    this.#options = options;
    const { network: peers, membership: fleet } = options;
    peers.onStream(calls.RESERVE_PLACEMENT, (request, _from, signal) =>
      this.#streamPlacement(request, signal),
    );
    peers.onCall(calls.REPORT_PROGRESS, ({ service, progress, running }) => {
      const scheduler = this.#getOrCreateScheduler(service);
      for (const one of running) scheduler.recordRunning(one);
      for (const one of progress) scheduler.recordProgress(one);
      return {};
    });
    fleet.onChange(() => {
      this.#reportToNewSchedulers();
    });
  }

  /**
   * Requests a placement; once it is granted, `release` must be called with the same key.
   *
   * @throws the signal's reason when it aborts first.
   */
  async reserve(
    request: types.PlacementRequest,
    signal: AbortSignal,
  ): Promise<types.PlacementResult> {
    const scheduler = this.#findScheduler(request.service);
    const answer =
      (await this.#reserveAt(scheduler, request, signal)) ??
      (await this.#reserveLocally(scheduler, request, signal));
    if (answer.granted) {
      const { service } = request;
      const active = { service, request, place: answer.place, decodeStartedAt: undefined };
      this.#activePlacements.set(request.key, active);
    }
    return answer;
  }

  /** Records that the prefill has finished, after `prefillMs`. */
  recordPrefill(key: string, prefillMs: number): void {
    const active = this.#activePlacements.get(key);
    if (active === undefined) return;
    active.decodeStartedAt = this.#options.clock.now();
    this.#pushProgress(active.service, { key, prefillMs });
  }

  /** Records that a runner of a placement could not be reached or responded with status 421; also after its release. */
  recordFailedRunner(service: string, key: string, failedRunner: string): void {
    this.#pushProgress(service, { key, failedRunner });
  }

  /** Releases a placement and reports the outcome of its run. */
  release(key: string, outcome: types.RunOutcome): void {
    const active = this.#activePlacements.get(key);
    if (active === undefined) return;
    this.#activePlacements.delete(key);
    this.#pushProgress(active.service, { key, ended: true, ...outcome });
  }

  /** Returns the schedulers of those `services` that this VM schedules. */
  listSchedulers(services: readonly string[]): ReadonlyMap<string, poolScheduler.PoolScheduler> {
    const own = services.filter((service) => this.#isOwn(this.#findScheduler(service)));
    return new Map(own.map((service) => [service, this.#getOrCreateScheduler(service)]));
  }

  /** Retries the placement of queued requests after a change of the runners. */
  update(): void {
    for (const scheduler of this.#schedulers.values()) scheduler.update();
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#cancelProgressTimer?.();
    for (const scheduler of this.#schedulers.values()) scheduler.close();
    return Promise.resolve();
  }

  /** Returns the VM that schedules a service according to this VM's member list. */
  #findScheduler(service: string): string {
    const { membership: fleet, holders } = this.#options;
    return holders.find(service) ?? fleet.self.vm;
  }

  #isOwn(vm: string): boolean {
    return vm === this.#options.membership.self.vm;
  }

  async #reserveAt(
    scheduler: string,
    request: types.PlacementRequest,
    signal: AbortSignal,
  ): Promise<types.PlacementResult | undefined> {
    const { network: peers, log } = this.#options;
    try {
      const options = { timeoutMs: ACKNOWLEDGEMENT_TIMEOUT_MS, signal };
      const items = peers.stream(scheduler, calls.RESERVE_PLACEMENT, request, options);
      for await (const { answer } of items) {
        if (answer !== undefined) return createResult(answer);
      }
      return undefined;
    } catch (error) {
      signal.throwIfAborted();
      const fields = { request: request.key, scheduler, error: String(error) };
      log.write(logEvents.LOG_EVENTS.schedulerUnreachable, fields);
      return undefined;
    }
  }

  /** Places a request with local knowledge only, within this VM's share of the runners' memory. */
  async #reserveLocally(
    scheduler: string,
    request: types.PlacementRequest,
    signal: AbortSignal,
  ): Promise<types.PlacementResult> {
    const own = this.#getOrCreateScheduler(request.service);
    const { countVms, metrics } = this.#options;
    metrics.count("placed_alone");
    if (!this.#isOwn(scheduler)) own.setCapacityShare(1 / Math.max(1, countVms()));
    return await waitForResult(own, request, signal);
  }

  async *#streamPlacement(
    request: types.PlacementRequest,
    signal: AbortSignal,
  ): AsyncGenerator<calls.PlacementStreamItem> {
    const scheduler = this.#getOrCreateScheduler(request.service);
    scheduler.setCapacityShare(1);
    const answer = waitForResult(scheduler, request, signal);
    const first = await Promise.race([answer, Promise.resolve(undefined)]);
    if (first === undefined) yield {};
    yield { answer: await answer };
  }

  #getOrCreateScheduler(service: string): poolScheduler.PoolScheduler {
    const known = this.#schedulers.get(service);
    if (known !== undefined) return known;
    const scheduler = this.#options.createScheduler(service);
    this.#schedulers.set(service, scheduler);
    return scheduler;
  }

  #pushProgress(service: string, progress: types.PlacementProgress): void {
    this.#schedulers.get(service)?.recordProgress(progress);
    if (this.#isOwn(this.#findScheduler(service))) return;
    const pending = this.#pendingProgress.get(service) ?? [];
    pending.push(progress);
    this.#pendingProgress.set(service, pending);
    this.#cancelProgressTimer ??= this.#options.clock.schedule(PROGRESS_BATCH_MS, () => {
      this.#cancelProgressTimer = undefined;
      this.#sendPendingProgress();
    });
  }

  #sendPendingProgress(): void {
    for (const [service, progress] of this.#pendingProgress) {
      this.#sendProgress(service, progress, []);
    }
    this.#pendingProgress.clear();
  }

  #sendProgress(
    service: string,
    progress: types.PlacementProgress[],
    running: types.RunningRequest[],
  ): void {
    const scheduler = this.#findScheduler(service);
    const message = { service, progress, running };
    const options = { timeoutMs: PROGRESS_TIMEOUT_MS };
    this.#options.network
      .call(scheduler, calls.REPORT_PROGRESS, message, options)
      .catch((error: unknown) => {
        // Not retried: the scheduler expires placements whose end is not reported.
        const fields = { scheduler, error: String(error) };
        this.#options.log.write(logEvents.LOG_EVENTS.schedulerUnreachable, fields);
      });
  }

  /**
   * Reports this VM's running requests to the scheduler of each service whose scheduler has
   * changed.
   */
  #reportToNewSchedulers(): void {
    const services = new Set([...this.#activePlacements.values()].map((active) => active.service));
    for (const service of services) {
      const scheduler = this.#findScheduler(service);
      const before = this.#lastSchedulers.get(service);
      this.#lastSchedulers.set(service, scheduler);
      if (before === scheduler) continue;
      const running = this.#listRunning(service);
      this.#options.log.write(logEvents.LOG_EVENTS.schedulerChanged, {
        service,
        scheduler,
        running: running.length,
      });
      if (running.length > 0) this.#sendProgress(service, [], running);
    }
  }

  #listRunning(service: string): types.RunningRequest[] {
    const now = this.#options.clock.now();
    return [...this.#activePlacements.values()]
      .filter((active) => active.service === service)
      .map(({ request, place, decodeStartedAt }) => ({
        key: request.key,
        decodeRunner: place.decodeRunner,
        promptTokens: request.promptTokens,
        estimatedOutputTokens: request.estimatedOutputTokens,
        maxOutputTokens: request.maxOutputTokens,
        runningMs: now - (decodeStartedAt ?? now),
      }));
  }
}

type ReceivedAnswer = NonNullable<calls.PlacementStreamItem["answer"]>;

function createResult(answer: ReceivedAnswer): types.PlacementResult {
  if (!answer.granted) return answer;
  const { prefillRunner, decodeRunner } = answer.place;
  return { granted: true, place: { prefillRunner, decodeRunner } };
}

function waitForResult(
  scheduler: poolScheduler.PoolScheduler,
  request: types.PlacementRequest,
  signal: AbortSignal,
): Promise<types.PlacementResult> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      cancel();
      reject(signal.reason as Error);
    };
    const cancel = scheduler.submit(request, (answer) => {
      signal.removeEventListener("abort", onAbort);
      resolve(answer);
    });
    signal.addEventListener("abort", onAbort, { once: true });
  });
}
