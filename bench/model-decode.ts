/** Model of a decode runner: slots, a queue of results that wait for one, imports and tokens. */
import type * as clocks from "../src/kernel/clock.js";
import * as upstream from "../src/upstream/types.js";
import type * as modelLinks from "./model-links.js";
import type * as modelRunners from "./model-runners.js";

/** What a decode tells its reader. */
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
  abandoned: boolean;
}

/** A decode runner. */
export class SimulatedDecodeRunner {
  readonly name: string;
  readonly zone: string;
  readonly #clock: clocks.Clock;
  readonly #parameters: modelRunners.RunnerParameters;
  readonly #links: modelLinks.SimulatedLinks;
  readonly #running = new Map<string, DecodeJob>();
  readonly #waiting: DecodeJob[] = [];
  #abandonedSlotMs = 0;
  #usedSlotMs = 0;
  #slotTimeUpdatedAt = 0;
  down = false;
  /** Factor on the step time. */
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

  /** Requests in slots. */
  get usedSlots(): number {
    return this.#running.size;
  }

  /** Requests that wait for a slot. */
  get waitingRequests(): number {
    return this.#waiting.length;
  }

  /** Names of the requests in slots. */
  listRunningAttempts(): readonly upstream.AttemptId[] {
    return [...this.#running.values()].map(({ request }) => ({
      id: request.id,
      attempt: request.attempt,
    }));
  }

  /** Slot time used so far, and the part of it after the caller had gone. */
  readSlotTime(): { readonly usedMs: number; readonly abandonedMs: number } {
    this.#addSlotTime();
    return { usedMs: this.#usedSlotMs, abandonedMs: this.#abandonedSlotMs };
  }

  /** Fetches a result and generates, after waiting for a slot while the result lives. */
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
      abandoned: false,
    };
    if (this.down) {
      this.#sendFailure(job, upstream.UPSTREAM_FAILURE.notConnected);
      return;
    }
    this.#waiting.push(job);
    job.cancelTimer = this.#clock.schedule(result.expiresAt - this.#clock.now(), () => {
      this.#removeWaiting(job);
      this.#sendFailure(job, upstream.UPSTREAM_FAILURE.refused);
    });
    this.#startWaiting();
  }

  /** Marks that no one reads the answer any more; the slot is not freed by it. */
  markAbandoned(id: string): void {
    const job = this.#running.get(id);
    if (job === undefined) return;
    this.#addSlotTime();
    job.abandoned = true;
  }

  /** Frees what is held for a request, up to an attempt. */
  cancel({ id, attempt }: upstream.AttemptId): void {
    const job =
      this.#running.get(id) ?? this.#waiting.find((candidate) => candidate.request.id === id);
    if (job === undefined || job.request.attempt > attempt) return;
    this.#addSlotTime();
    job.cancelTimer?.();
    this.#removeWaiting(job);
    if (this.#running.get(id) === job) this.#running.delete(id);
    this.#sendFailure(job, upstream.UPSTREAM_FAILURE.broken);
    this.#startWaiting();
  }

  /** Loses everything at once and refuses connections. */
  stop(): void {
    this.#addSlotTime();
    this.down = true;
    const jobs = [...this.#running.values(), ...this.#waiting];
    this.#running.clear();
    this.#waiting.length = 0;
    for (const job of jobs) {
      job.cancelTimer?.();
      this.#sendFailure(job, upstream.UPSTREAM_FAILURE.broken);
    }
  }

  #startWaiting(): void {
    while (this.#running.size < this.#parameters.slots) {
      const job = this.#waiting.shift();
      if (job === undefined) return;
      this.#start(job);
    }
  }

  #start(job: DecodeJob): void {
    this.#addSlotTime();
    job.cancelTimer?.();
    job.result.used = true;
    this.#running.set(job.request.id, job);
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
        this.#running.delete(job.request.id);
        job.observer.onEnd(gapMs);
        this.#startWaiting();
      });
    });
  }

  #sendFailure(job: DecodeJob, failure: upstream.UpstreamFailure): void {
    job.observer.onFailed(new upstream.UpstreamError(failure, "decode failed"));
  }

  #removeWaiting(job: DecodeJob): void {
    const index = this.#waiting.indexOf(job);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  #addSlotTime(): void {
    const elapsed = this.#clock.now() - this.#slotTimeUpdatedAt;
    this.#slotTimeUpdatedAt = this.#clock.now();
    this.#usedSlotMs += elapsed * this.#running.size;
    let abandoned = 0;
    for (const job of this.#running.values()) if (job.abandoned) abandoned += 1;
    this.#abandonedSlotMs += elapsed * abandoned;
  }
}
