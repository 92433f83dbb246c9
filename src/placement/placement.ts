/** Finds places for model requests: at the scheduler of their service, or alone when it is out of reach. */
import * as rendezvous from "../membership/rendezvous.js";
import type * as membership from "../membership/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as calls from "./calls.js";
import * as poolScheduler from "./pool-scheduler.js";
import type * as types from "./types.js";

/** A scheduler says at once that a request waits; a VM in reach does so within a few milliseconds. */
const FIRST_WORD_LIMIT_MS = 250;
const TELL_LIMIT_MS = 1_000;
/** Progress is told in batches of this period. */
const TELL_PERIOD_MS = 10;

/** What placement works with. */
export interface PlacementOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly createScheduler: (service: string) => poolScheduler.PoolScheduler;
}

/** A request's hold on its place. */
interface Held {
  readonly service: string;
  readonly request: types.PlaceRequest;
  readonly place: types.Place;
  decodeStartedAt: number | undefined;
}

/** Places the requests of this VM, and as scheduler those of others. */
export class Placement implements AsyncDisposable {
  readonly #options: PlacementOptions;
  readonly #schedulers = new Map<string, poolScheduler.PoolScheduler>();
  readonly #held = new Map<string, Held>();
  readonly #untold = new Map<string, types.PlaceProgress[]>();
  /** The scheduler last used, by service. */
  readonly #lastScheduler = new Map<string, string>();
  #cancelTell: (() => void) | undefined;

  constructor(options: PlacementOptions) {
    this.#options = options;
    const { network: peers, membership: fleet } = options;
    peers.onStream(calls.RESERVE_PLACE, (request, _from, signal) =>
      this.#streamPlace(request, signal),
    );
    peers.onCall(calls.TELL_PROGRESS, ({ service, progress, running }) => {
      const scheduler = this.#useScheduler(service);
      for (const one of running) scheduler.recordRunning(one);
      for (const one of progress) scheduler.recordProgress(one);
      return {};
    });
    fleet.onChange(() => {
      this.#checkSchedulers();
    });
  }

  /**
   * Asks for a place; `release` must be called with the same key once it is granted.
   *
   * @throws the signal's reason when it aborts first.
   */
  async reserve(request: types.PlaceRequest, signal: AbortSignal): Promise<types.PlaceAnswer> {
    const scheduler = this.#findScheduler(request.service);
    const answer =
      (await this.#reserveAt(scheduler, request, signal)) ??
      (await this.#reserveAlone(scheduler, request, signal));
    if (answer.granted) {
      const { service } = request;
      const held = { service, request, place: answer.place, decodeStartedAt: undefined };
      this.#held.set(request.key, held);
    }
    return answer;
  }

  /** Notes that the prompt has been read. */
  recordPrefill(key: string, prefillMs: number): void {
    const held = this.#held.get(key);
    if (held === undefined) return;
    held.decodeStartedAt = this.#options.clock.now();
    this.#pushProgress(held.service, { key, prefillMs });
  }

  /** Notes that a runner of the place could not be reached or fell silent. */
  recordFailedRunner(key: string, failedRunner: string): void {
    const held = this.#held.get(key);
    if (held !== undefined) this.#pushProgress(held.service, { key, failedRunner });
  }

  /** Gives a place back. */
  release(key: string, outcome: types.RunOutcome): void {
    const held = this.#held.get(key);
    if (held === undefined) return;
    this.#held.delete(key);
    this.#pushProgress(held.service, { key, ended: true, ...outcome });
  }

  /** Returns the schedulers of those of the services that this VM schedules. */
  listSchedulers(services: readonly string[]): ReadonlyMap<string, poolScheduler.PoolScheduler> {
    const own = services.filter((service) => this.#isOwn(this.#findScheduler(service)));
    return new Map(own.map((service) => [service, this.#useScheduler(service)]));
  }

  /** Lets waiting requests look again, after a change of the runners. */
  update(): void {
    for (const scheduler of this.#schedulers.values()) scheduler.update();
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#cancelTell?.();
    for (const scheduler of this.#schedulers.values()) scheduler.close();
    return Promise.resolve();
  }

  /** Returns the VM that schedules a service, as this one sees the fleet. */
  #findScheduler(service: string): string {
    const { membership: fleet } = this.#options;
    const vms = fleet.listAlive().map((member) => member.vm);
    return rendezvous.chooseByRendezvous(service, vms, 1)[0] ?? fleet.self.vm;
  }

  #isOwn(vm: string): boolean {
    return vm === this.#options.membership.self.vm;
  }

  async #reserveAt(
    scheduler: string,
    request: types.PlaceRequest,
    signal: AbortSignal,
  ): Promise<types.PlaceAnswer | undefined> {
    const { network: peers, log } = this.#options;
    try {
      const options = { timeoutMs: FIRST_WORD_LIMIT_MS, signal };
      const items = peers.stream(scheduler, calls.RESERVE_PLACE, request, options);
      for await (const { answer } of items) {
        if (answer !== undefined) return createAnswer(answer);
      }
      return undefined;
    } catch (error) {
      signal.throwIfAborted();
      const fields = { request: request.key, scheduler, error: String(error) };
      log.write(logEvents.LOG_EVENTS.schedulerUnreachable, fields);
      return undefined;
    }
  }

  /** Places a request with what this VM knows alone, on its part of the runners' memory. */
  async #reserveAlone(
    scheduler: string,
    request: types.PlaceRequest,
    signal: AbortSignal,
  ): Promise<types.PlaceAnswer> {
    const own = this.#useScheduler(request.service);
    const { membership: fleet, metrics } = this.#options;
    metrics.count("placed_alone");
    if (!this.#isOwn(scheduler)) own.setShare(1 / Math.max(1, fleet.listMembers().length));
    return await waitForAnswer(own, request, signal);
  }

  async *#streamPlace(
    request: types.PlaceRequest,
    signal: AbortSignal,
  ): AsyncGenerator<calls.PlaceItem> {
    const scheduler = this.#useScheduler(request.service);
    scheduler.setShare(1);
    const answer = waitForAnswer(scheduler, request, signal);
    const first = await Promise.race([answer, Promise.resolve(undefined)]);
    if (first === undefined) yield {};
    yield { answer: await answer };
  }

  #useScheduler(service: string): poolScheduler.PoolScheduler {
    const known = this.#schedulers.get(service);
    if (known !== undefined) return known;
    const scheduler = this.#options.createScheduler(service);
    this.#schedulers.set(service, scheduler);
    return scheduler;
  }

  #pushProgress(service: string, progress: types.PlaceProgress): void {
    this.#schedulers.get(service)?.recordProgress(progress);
    if (this.#isOwn(this.#findScheduler(service))) return;
    const untold = this.#untold.get(service) ?? [];
    untold.push(progress);
    this.#untold.set(service, untold);
    this.#cancelTell ??= this.#options.clock.schedule(TELL_PERIOD_MS, () => {
      this.#cancelTell = undefined;
      this.#sendUntold();
    });
  }

  #sendUntold(): void {
    for (const [service, progress] of this.#untold) {
      this.#sendProgress(service, progress, []);
    }
    this.#untold.clear();
  }

  #sendProgress(
    service: string,
    progress: types.PlaceProgress[],
    running: types.RunningRequest[],
  ): void {
    const scheduler = this.#findScheduler(service);
    const message = { service, progress, running };
    const options = { timeoutMs: TELL_LIMIT_MS };
    this.#options.network
      .call(scheduler, calls.TELL_PROGRESS, message, options)
      .catch((error: unknown) => {
        // The scheduler forgets places whose end it does not hear of.
        const fields = { scheduler, error: String(error) };
        this.#options.log.write(logEvents.LOG_EVENTS.schedulerUnreachable, fields);
      });
  }

  /** Tells a new scheduler what runs here. */
  #checkSchedulers(): void {
    const services = new Set([...this.#held.values()].map((held) => held.service));
    for (const service of services) {
      const scheduler = this.#findScheduler(service);
      const before = this.#lastScheduler.get(service);
      this.#lastScheduler.set(service, scheduler);
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
    return [...this.#held.values()]
      .filter((held) => held.service === service)
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

type WireAnswer = NonNullable<calls.PlaceItem["answer"]>;

function createAnswer(answer: WireAnswer): types.PlaceAnswer {
  if (!answer.granted) return answer;
  const { prefillRunner, decodeRunner } = answer.place;
  return { granted: true, place: { prefillRunner, decodeRunner } };
}

function waitForAnswer(
  scheduler: poolScheduler.PoolScheduler,
  request: types.PlaceRequest,
  signal: AbortSignal,
): Promise<types.PlaceAnswer> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      withdraw();
      reject(signal.reason as Error);
    };
    const withdraw = scheduler.submit(request, (answer) => {
      signal.removeEventListener("abort", onAbort);
      resolve(answer);
    });
    signal.addEventListener("abort", onAbort, { once: true });
  });
}
