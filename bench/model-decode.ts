/** Simulated decode runner: slots, a queue of prefill results, KV imports and token timing. */
import type * as clocks from "../src/kernel/clock.js";
import * as upstream from "../src/upstream/types.js";
import type * as modelLinks from "./model-links.js";
import type * as modelRunners from "./model-runners.js";

/** Callbacks for the progress of a decode; `onEnd` or `onFailed` is the last one called. */
export interface DecodeObserver {
  onImported(): void;
  onFirstToken(gapMs: number): void;
  onEnd(gapMs: number): void;
  onFailed(error: Error): void;
}

interface DecodeJob {
  readonly request: modelRunners.SimulatedRequest;
  readonly result: modelRunners.SimulatedPrefillResult;
  readonly observer: DecodeObserver;
  cancelTimer: (() => void) | undefined;
  startedAt: number;
  /** Whether nobody reads its output any more although it keeps its slot. */
  isAbandoned: boolean;
}

/** A simulated decode runner with a fixed number of slots. */
export class SimulatedDecodeRunner {
  readonly name: string;
  readonly zone: string;
  readonly #clock: clocks.Clock;
  readonly #parameters: modelRunners.RunnerParameters;
  readonly #links: modelLinks.SimulatedLinks;
  readonly #runningJobs = new Map<string, DecodeJob>();
  readonly #waitingJobs: DecodeJob[] = [];
  #abandonedSlotMs = 0;
  #usedSlotMs = 0;
  #slotTimeUpdatedAt = 0;
  down = false;
  /** Factor by which the step time is multiplied. */
  slowdownFactor = 1;

  constructor(
    name: string,
    zone: string,
    clock: clocks.Clock,
    parameters: modelRunners.RunnerParameters,
    links: modelLinks.SimulatedLinks,
  ) {
    this.name = name;
    this.zone = zone;
    this.#clock = clock;
    this.#parameters = parameters;
    this.#links = links;
  }

  /** Number of requests that occupy a slot. */
  get usedSlots(): number {
    return this.#runningJobs.size;
  }

  /** Number of requests that wait for a slot. */
  get waitingRequests(): number {
    return this.#waitingJobs.length;
  }

  /** Lists the attempts that occupy a slot. */
  listRunningAttempts(): readonly upstream.AttemptId[] {
    return [...this.#runningJobs.values()].map(({ request }) => ({
      id: request.id,
      attempt: request.attempt,
    }));
  }

  /**
   * Returns the slot time used so far, and the part of it spent on requests marked as abandoned.
   */
  readSlotTime(): { readonly usedMs: number; readonly abandonedMs: number } {
    this.#addSlotTime();
    return { usedMs: this.#usedSlotMs, abandonedMs: this.#abandonedSlotMs };
  }

  /** Waits for a slot until the result expires, then imports the result and generates tokens. */
  decode(
    request: modelRunners.SimulatedRequest,
    result: modelRunners.SimulatedPrefillResult,
    observer: DecodeObserver,
  ): void {
    const job: DecodeJob = {
      request,
      result,
      observer,
      cancelTimer: undefined,
      startedAt: 0,
      isAbandoned: false,
    };
    if (this.down) {
      this.#sendFailure(job, upstream.UPSTREAM_FAILURE.notConnected);
      return;
    }
    this.#waitingJobs.push(job);
    job.cancelTimer = this.#clock.schedule(result.expiresAt - this.#clock.now(), () => {
      this.#removeWaiting(job);
      this.#sendFailure(job, upstream.UPSTREAM_FAILURE.refused);
    });
    this.#startWaiting();
  }

  /**
   * Records that nobody reads a running request's output any more, since its caller disconnected or
   * its router node stopped; the request keeps its slot until it completes or is cancelled.
   */
  markAbandoned(id: string): void {
    const job = this.#runningJobs.get(id);
    if (job === undefined) return;
    this.#addSlotTime();
    job.isAbandoned = true;
  }

  /**
   * Cancels the request's decode if its attempt is not later than the given one, and frees its slot
   * or its place in the queue.
   */
  cancel({ id, attempt }: upstream.AttemptId): void {
    const job =
      this.#runningJobs.get(id) ??
      this.#waitingJobs.find((candidate) => candidate.request.id === id);
    if (job === undefined || job.request.attempt > attempt) return;
    this.#addSlotTime();
    job.cancelTimer?.();
    this.#removeWaiting(job);
    if (this.#runningJobs.get(id) === job) this.#runningJobs.delete(id);
    this.#sendFailure(job, upstream.UPSTREAM_FAILURE.broken);
    this.#startWaiting();
  }

  /** Stops the runner: fails all its requests and refuses new ones. */
  stop(): void {
    this.#addSlotTime();
    this.down = true;
    const jobs = [...this.#runningJobs.values(), ...this.#waitingJobs];
    this.#runningJobs.clear();
    this.#waitingJobs.length = 0;
    for (const job of jobs) {
      job.cancelTimer?.();
      this.#sendFailure(job, upstream.UPSTREAM_FAILURE.broken);
    }
  }

  #startWaiting(): void {
    while (this.#runningJobs.size < this.#parameters.slots) {
      const job = this.#waitingJobs.shift();
      if (job === undefined) return;
      this.#start(job);
    }
  }

  #start(job: DecodeJob): void {
    this.#addSlotTime();
    job.cancelTimer?.();
    job.result.used = true;
    this.#runningJobs.set(job.request.id, job);
    const transferMs = this.#links.reserve(job.result.zone, this.zone, job.request.promptTokens);
    job.cancelTimer = this.#clock.schedule(transferMs, () => {
      job.observer.onImported();
      this.#startTokens(job);
    });
  }

  #startTokens(job: DecodeJob): void {
    const gapMs = this.#parameters.stepMs * this.slowdownFactor;
    job.cancelTimer = this.#clock.schedule(gapMs, () => {
      job.observer.onFirstToken(gapMs);
      job.cancelTimer = this.#clock.schedule(gapMs * (job.request.outputTokens - 1), () => {
        this.#addSlotTime();
        this.#runningJobs.delete(job.request.id);
        job.observer.onEnd(gapMs);
        this.#startWaiting();
      });
    });
  }

  #sendFailure(job: DecodeJob, failure: upstream.UpstreamFailure): void {
    job.observer.onFailed(
      new upstream.UpstreamError(failure, `decode failed on runner ${this.name}`),
    );
  }

  #removeWaiting(job: DecodeJob): void {
    const index = this.#waitingJobs.indexOf(job);
    if (index >= 0) this.#waitingJobs.splice(index, 1);
  }

  #addSlotTime(): void {
    const elapsed = this.#clock.now() - this.#slotTimeUpdatedAt;
    this.#slotTimeUpdatedAt = this.#clock.now();
    this.#usedSlotMs += elapsed * this.#runningJobs.size;
    let abandoned = 0;
    for (const job of this.#runningJobs.values()) if (job.isAbandoned) abandoned += 1;
    this.#abandonedSlotMs += elapsed * abandoned;
  }
}
