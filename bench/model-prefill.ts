/** Simulated prefill runner: computes one prompt at a time and caches prompt prefixes. */
import type * as clocks from "../src/kernel/clock.js";
import * as upstream from "../src/upstream/types.js";
import * as modelRunners from "./model-runners.js";

const MS_PER_SECOND = 1000;

interface PrefillJob {
  readonly request: modelRunners.SimulatedRequest;
  readonly resolve: (result: modelRunners.SimulatedPrefillResult) => void;
  readonly reject: (error: Error) => void;
}

/** A simulated prefill runner. */
export class SimulatedPrefillRunner {
  readonly name: string;
  readonly zone: string;
  readonly #clock: clocks.Clock;
  readonly #parameters: modelRunners.RunnerParameters;
  readonly #queue: PrefillJob[] = [];
  readonly #cache = new Map<string, true>();
  #runningJob: PrefillJob | undefined;
  #busyUntil = 0;
  /** Number of prompt tokens computed so far, without those read from the cache. */
  computedTokens = 0;
  down = false;

  constructor(
    name: string,
    zone: string,
    clock: clocks.Clock,
    parameters: modelRunners.RunnerParameters,
  ) {
    this.name = name;
    this.zone = zone;
    this.#clock = clock;
    this.#parameters = parameters;
  }

  /** Prompt tokens in the queue, plus those of the running prompt that are not yet computed. */
  get queuedTokens(): number {
    const remainingMs = Math.max(0, this.#busyUntil - this.#clock.now());
    const runningTokens = (remainingMs / MS_PER_SECOND) * this.#parameters.prefillTokensPerSecond;
    return this.#queue.reduce((sum, job) => sum + job.request.promptTokens, runningTokens);
  }

  /**
   * Queues a prompt and resolves with its result. Rejects with `UpstreamError` when the runner is
   * down or stops, or when the prompt is cancelled in the queue.
   */
  prefill(request: modelRunners.SimulatedRequest): Promise<modelRunners.SimulatedPrefillResult> {
    return new Promise((resolve, reject) => {
      if (this.down) {
        reject(
          new upstream.UpstreamError(
            upstream.UPSTREAM_FAILURE.notConnected,
            `prefill runner ${this.name} is down`,
          ),
        );
        return;
      }
      this.#queue.push({ request, resolve, reject });
      this.#startNext();
    });
  }

  /** Cancels a queued prompt; a prompt that is being computed runs to its end. */
  cancel(id: string): void {
    const index = this.#queue.findIndex((job) => job.request.id === id);
    if (index < 0) return;
    const [job] = this.#queue.splice(index, 1);
    job?.reject(
      new upstream.UpstreamError(
        upstream.UPSTREAM_FAILURE.broken,
        `prefill cancelled on runner ${this.name}`,
      ),
    );
  }

  /** Stops the runner: fails all its requests and refuses new ones. */
  stop(): void {
    this.down = true;
    const jobs = this.#runningJob === undefined ? this.#queue : [this.#runningJob, ...this.#queue];
    for (const job of jobs) {
      job.reject(
        new upstream.UpstreamError(
          upstream.UPSTREAM_FAILURE.broken,
          `prefill runner ${this.name} stopped`,
        ),
      );
    }
    this.#queue.length = 0;
  }

  #startNext(): void {
    if (this.#runningJob !== undefined) return;
    const job = this.#queue.shift();
    if (job === undefined) return;
    this.#runningJob = job;
    const { promptTokens, prefixes } = job.request;
    const cachedTokens = this.#countCached(prefixes);
    const computedTokens = Math.max(1, promptTokens - cachedTokens);
    const workMs = (computedTokens / this.#parameters.prefillTokensPerSecond) * MS_PER_SECOND;
    this.#busyUntil = this.#clock.now() + workMs;
    this.#clock.schedule(workMs, () => {
      this.#runningJob = undefined;
      this.computedTokens += computedTokens;
      this.#addToCache(prefixes);
      const expiresAt = this.#clock.now() + this.#parameters.resultTtlMs;
      job.resolve({ expiresAt, computedTokens, cachedTokens, zone: this.zone, used: false });
      this.#startNext();
    });
  }

  #countCached(prefixes: readonly string[]): number {
    let blocks = 0;
    while (blocks < prefixes.length && this.#cache.has(prefixes[blocks] ?? "")) blocks += 1;
    return blocks * modelRunners.BLOCK_TOKENS;
  }

  #addToCache(prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      this.#cache.delete(prefix);
      this.#cache.set(prefix, true);
    }
    for (const prefix of this.#cache.keys()) {
      if (this.#cache.size <= this.#parameters.cacheBlocks) break;
      this.#cache.delete(prefix);
    }
  }
}
