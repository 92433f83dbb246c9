/**
 * Model runners of the bench, one event a request and not a token: prefill one after the other with
 * a prefix cache, results that expire, transfer links, and decode in a fixed number of slots.
 */
import type * as clocks from "../src/kernel/clock.js";
import * as upstream from "../src/upstream/types.js";

const MS_PER_SECOND = 1000;
/** Tokens of one cached block. */
export const BLOCK_TOKENS = 64;

/** Sizes of the modelled fleet. */
export interface RunnerModel {
  readonly prefillTokensPerSecond: number;
  readonly slots: number;
  readonly stepMs: number;
  readonly resultLifeMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerSecond: number;
  /** Blocks that a prefill runner caches. */
  readonly cacheBlocks: number;
}

/** A request as the runners see it. */
export interface ModelRequest extends upstream.AttemptId {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
}

/** A prefill's result. */
export interface ModelResult {
  readonly expiresAt: number;
  readonly computedTokens: number;
  readonly cachedTokens: number;
  readonly zone: string;
  used: boolean;
}

interface PrefillJob {
  readonly request: ModelRequest;
  readonly resolve: (result: ModelResult) => void;
  readonly reject: (error: Error) => void;
}

/** A prefill runner. */
export class ModelPrefill {
  readonly name: string;
  readonly zone: string;
  readonly #clock: clocks.Clock;
  readonly #model: RunnerModel;
  readonly #queue: PrefillJob[] = [];
  readonly #cache = new Map<string, true>();
  #running: PrefillJob | undefined;
  #busyUntil = 0;
  /** Tokens computed so far. */
  computedTokens = 0;
  down = false;

  constructor(name: string, zone: string, clock: clocks.Clock, model: RunnerModel) {
    this.name = name;
    this.zone = zone;
    this.#clock = clock;
    this.#model = model;
  }

  /** Tokens that wait or are being computed. */
  get queuedTokens(): number {
    const left = Math.max(0, this.#busyUntil - this.#clock.now());
    const running = (left / MS_PER_SECOND) * this.#model.prefillTokensPerSecond;
    return this.#queue.reduce((sum, job) => sum + job.request.promptTokens, running);
  }

  /** Computes a prompt after those before it. */
  prefill(request: ModelRequest): Promise<ModelResult> {
    return new Promise((resolve, reject) => {
      if (this.down) {
        reject(new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.notConnected, "down"));
        return;
      }
      this.#queue.push({ request, resolve, reject });
      this.#startNext();
    });
  }

  /** Drops a prompt that was not begun. */
  cancel(id: string): void {
    const index = this.#queue.findIndex((job) => job.request.id === id);
    if (index < 0) return;
    const [job] = this.#queue.splice(index, 1);
    job?.reject(new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, "cancelled"));
  }

  #startNext(): void {
    if (this.#running !== undefined) return;
    const job = this.#queue.shift();
    if (job === undefined) return;
    this.#running = job;
    const { promptTokens, prefixes } = job.request;
    const cachedTokens = this.#countCached(prefixes);
    const computedTokens = Math.max(1, promptTokens - cachedTokens);
    const workMs = (computedTokens / this.#model.prefillTokensPerSecond) * MS_PER_SECOND;
    this.#busyUntil = this.#clock.now() + workMs;
    this.#clock.schedule(workMs, () => {
      this.#running = undefined;
      this.computedTokens += computedTokens;
      this.#addToCache(prefixes);
      const expiresAt = this.#clock.now() + this.#model.resultLifeMs;
      job.resolve({ expiresAt, computedTokens, cachedTokens, zone: this.zone, used: false });
      this.#startNext();
    });
  }

  #countCached(prefixes: readonly string[]): number {
    let blocks = 0;
    while (blocks < prefixes.length && this.#cache.has(prefixes[blocks] ?? "")) blocks += 1;
    return blocks * BLOCK_TOKENS;
  }

  #addToCache(prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      this.#cache.delete(prefix);
      this.#cache.set(prefix, true);
    }
    for (const prefix of this.#cache.keys()) {
      if (this.#cache.size <= this.#model.cacheBlocks) break;
      this.#cache.delete(prefix);
    }
  }
}

/** What a decode tells its reader. */
export interface DecodeObserver {
  onImported(): void;
  onFirstToken(gapMs: number): void;
  onEnd(gapMs: number): void;
  onFailed(error: Error): void;
}

interface DecodeJob {
  readonly request: ModelRequest;
  readonly result: ModelResult;
  readonly observer: DecodeObserver;
  cancelTimer: (() => void) | undefined;
  startedAt: number;
  abandoned: boolean;
}

/** Links between zones; each carries one transfer at a time. */
export class ModelLinks {
  readonly #clock: clocks.Clock;
  readonly #model: RunnerModel;
  readonly #freeAt = new Map<string, number>();
  /** Slowness by `from\nto`. */
  readonly slowness = new Map<string, number>();

  constructor(clock: clocks.Clock, model: RunnerModel) {
    this.#clock = clock;
    this.#model = model;
  }

  /** Takes a place on the link and returns the time until the transfer has ended. */
  reserve(from: string, to: string, tokens: number): number {
    const key = `${from}\n${to}`;
    const now = this.#clock.now();
    const bytes = tokens * this.#model.kvBytesPerToken;
    const rate = this.#model.linkBytesPerSecond / (this.slowness.get(key) ?? 1);
    const endAt = Math.max(now, this.#freeAt.get(key) ?? 0) + (bytes / rate) * MS_PER_SECOND;
    this.#freeAt.set(key, endAt);
    return endAt - now;
  }
}

/** A decode runner. */
export class ModelDecode {
  readonly name: string;
  readonly zone: string;
  readonly #clock: clocks.Clock;
  readonly #model: RunnerModel;
  readonly #links: ModelLinks;
  readonly #running = new Map<string, DecodeJob>();
  readonly #waiting: DecodeJob[] = [];
  #abandonedSlotMs = 0;
  #usedSlotMs = 0;
  #countedAt = 0;
  down = false;
  /** Factor on the step time. */
  slowness = 1;

  constructor(
    name: string,
    zone: string,
    clock: clocks.Clock,
    model: RunnerModel,
    links: ModelLinks,
  ) {
    this.name = name;
    this.zone = zone;
    this.#clock = clock;
    this.#model = model;
    this.#links = links;
  }

  /** Requests in slots. */
  get used(): number {
    return this.#running.size;
  }

  /** Requests that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Names of the requests in slots. */
  listHeld(): readonly upstream.AttemptId[] {
    return [...this.#running.values()].map(({ request }) => ({
      id: request.id,
      attempt: request.attempt,
    }));
  }

  /** Slot time used so far, and the part of it after the caller had gone. */
  readSlotTime(): { readonly usedMs: number; readonly abandonedMs: number } {
    this.#countSlotTime();
    return { usedMs: this.#usedSlotMs, abandonedMs: this.#abandonedSlotMs };
  }

  /** Fetches a result and generates, after waiting for a slot while the result lives. */
  decode(request: ModelRequest, result: ModelResult, observer: DecodeObserver): void {
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
    this.#countSlotTime();
    job.abandoned = true;
  }

  /** Frees what is held for a request, up to an attempt. */
  cancel({ id, attempt }: upstream.AttemptId): void {
    const job =
      this.#running.get(id) ?? this.#waiting.find((candidate) => candidate.request.id === id);
    if (job === undefined || job.request.attempt > attempt) return;
    this.#countSlotTime();
    job.cancelTimer?.();
    this.#removeWaiting(job);
    if (this.#running.get(id) === job) this.#running.delete(id);
    this.#sendFailure(job, upstream.UPSTREAM_FAILURE.broken);
    this.#startWaiting();
  }

  /** Loses everything at once and refuses connections. */
  stop(): void {
    this.#countSlotTime();
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
    while (this.#running.size < this.#model.slots) {
      const job = this.#waiting.shift();
      if (job === undefined) return;
      this.#start(job);
    }
  }

  #start(job: DecodeJob): void {
    this.#countSlotTime();
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
    const gapMs = this.#model.stepMs * this.slowness;
    job.cancelTimer = this.#clock.schedule(gapMs, () => {
      job.observer.onFirstToken(gapMs);
      job.cancelTimer = this.#clock.schedule(gapMs * (job.request.outputTokens - 1), () => {
        this.#countSlotTime();
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

  #countSlotTime(): void {
    const elapsed = this.#clock.now() - this.#countedAt;
    this.#countedAt = this.#clock.now();
    this.#usedSlotMs += elapsed * this.#running.size;
    let abandoned = 0;
    for (const job of this.#running.values()) if (job.abandoned) abandoned += 1;
    this.#abandonedSlotMs += elapsed * abandoned;
  }
}
