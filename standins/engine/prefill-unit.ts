/** The prefill role: a serial queue, and results that expire unless they are fetched. */
import * as prompts from "../../src/request/prompts.js";
import type * as upstream from "../../src/upstream/types.js";
import * as cancelledIds from "./cancelled-ids.js";
import type * as engineCounters from "./engine-counters.js";
import type * as engineOptions from "./engine-options.js";
import * as engineRefusal from "./engine-refusal.js";
import * as prefillResults from "./prefill-results.js";
import * as prefillPrompts from "./prefill-prompts.js";
import * as prefixCache from "./prefix-cache.js";
import * as priorityOrder from "./priority-order.js";

const MAX_QUEUED_JOBS = 1_000;
const MS_PER_SECOND = 1000;

interface Job {
  readonly command: upstream.PrefillCommand;
  readonly deadlineAt: number;
  readonly promptTokens: number;
  readonly resolve: (result: upstream.PrefillResult) => void;
  readonly reject: (error: Error) => void;
}

interface RunningJob {
  readonly job: Job;
  readonly startedAt: number;
  readonly cachedTokens: number;
  readonly tokensPerMs: number;
  readonly cancelTimer: () => void;
}

/** Computes prompts one at a time, in order of priority. */
export class PrefillUnit {
  readonly cache: prefixCache.PrefixCache;
  readonly #options: engineOptions.EngineOptions;
  readonly #counters: engineCounters.EngineCounters;
  readonly #crash: () => void;
  readonly #queue: Job[] = [];
  readonly #results: prefillResults.PrefillResults;
  #runningJob: RunningJob | undefined;
  #slowdownFactor = 1;

  /** @param crash - called when prefill of a prompt that contains the crash marker starts. */
  constructor(
    options: engineOptions.EngineOptions,
    counters: engineCounters.EngineCounters,
    crash: () => void,
  ) {
    this.#options = options;
    this.#counters = counters;
    this.#crash = crash;
    this.#results = new prefillResults.PrefillResults(options, counters, () => {
      this.#startNext();
    });
    this.cache = new prefixCache.PrefixCache({
      clock: options.clock,
      maxBlocks: options.cacheBlocks,
      eventDelayMs: options.cacheEventDelayMs,
      eventLossPeriod: options.cacheEventLossPeriod,
    });
  }

  /** Prompt tokens of all queued and running jobs. */
  get queuedTokens(): number {
    const waitingTokens = this.#queue.reduce((sum, job) => sum + job.promptTokens, 0);
    return waitingTokens + (this.#runningJob?.job.promptTokens ?? 0);
  }

  get piecesUsed(): number {
    return this.#countRunningPieces() + this.#results.piecesUsed;
  }

  /** Returns the attempts that are running or whose results are stored. */
  listHeld(): upstream.AttemptId[] {
    const results = this.#results.listHeld();
    return this.#runningJob === undefined
      ? results
      : [createAttemptId(this.#runningJob.job.command), ...results];
  }

  listQueued(): upstream.AttemptId[] {
    return this.#queue.map((job) => createAttemptId(job.command));
  }

  /** Multiplies the duration of jobs that start from now on. */
  setSlowdownFactor(factor: number): void {
    this.#slowdownFactor = factor;
  }

  /**
   * Queues a prompt; resolves when it has been computed.
   *
   * @throws EngineRefusal when the queue is full, the prompt needs more than all pieces, or the
   * attempt is cancelled or exceeds its deadline.
   * @throws EngineBreak when `reset` is called with one.
   */
  run(command: upstream.PrefillCommand): Promise<upstream.PrefillResult> {
    const promptTokens = prompts.estimateTokenCount(command.prompt + command.continuation);
    if (this.#queue.length >= MAX_QUEUED_JOBS) {
      return Promise.reject(engineRefusal.createRefusal("unavailable", "prefill queue is full"));
    }
    if (this.#countPieces(promptTokens) > this.#options.pieces) {
      const error = engineRefusal.createRefusal("noMemory", "prompt needs more than all pieces");
      return Promise.reject(error);
    }
    return new Promise((resolve, reject) => {
      const deadlineAt = this.#options.clock.now() + command.deadlineMs;
      priorityOrder.addByPriority(this.#queue, {
        command,
        deadlineAt,
        promptTokens,
        resolve,
        reject,
      });
      this.#startNext();
    });
  }

  /** Releases the jobs and results that cancelling `cancelled` also cancels. */
  cancel(cancelled: upstream.AttemptId): void {
    const error = engineRefusal.createRefusal("conflict", "cancelled");
    this.#removeQueued((job) => cancelledIds.isCancelledBy(job.command, cancelled), error);
    if (this.#runningJob && cancelledIds.isCancelledBy(this.#runningJob.job.command, cancelled)) {
      this.#counters.cancelledPrefillTokens += this.#stopRunningJob(error);
    }
    this.#results.removeWhere((kv) => cancelledIds.isCancelledBy(kv, cancelled));
    this.#startNext();
  }

  /** Removes a result and returns it, then starts the next job if its memory fits now. */
  popResult(handle: string): engineOptions.KvExport | undefined {
    const kv = this.#results.pop(handle);
    this.#startNext();
    return kv;
  }

  /** Rejects queued and running jobs whose deadline has passed. */
  checkDeadlines(): void {
    const now = this.#options.clock.now();
    const error = engineRefusal.createRefusal("unavailable", "deadline exceeded");
    this.#removeQueued((job) => job.deadlineAt <= now, error);
    if (this.#runningJob && this.#runningJob.job.deadlineAt <= now) {
      this.#counters.wastedPrefillTokens += this.#stopRunningJob(error);
      this.#startNext();
    }
  }

  /** Discards all state except the prefix cache; returns the number of jobs and results lost. */
  reset(error: Error): number {
    const lostCount = this.#queue.length + this.#results.size + (this.#runningJob ? 1 : 0);
    this.#removeQueued(() => true, error);
    if (this.#runningJob) this.#counters.wastedPrefillTokens += this.#stopRunningJob(error);
    this.#results.removeWhere(() => true);
    return lostCount;
  }

  #startNext(): void {
    const job = this.#queue[0];
    if (this.#runningJob !== undefined || job === undefined) return;
    const freePieces = this.#options.pieces - this.piecesUsed;
    if (this.#countPieces(job.promptTokens) > freePieces) return;
    this.#queue.shift();
    this.#counters.recordExecution(job.command.id, "prefills");
    this.#runningJob = this.#createRunningJob(job);
    if (job.command.prompt.includes(this.#options.prefillCrashMarker)) this.#crash();
  }

  #createRunningJob(job: Job): RunningJob {
    const { clock, prefillTokensPerSecond } = this.#options;
    const cachedTokens = Math.min(job.promptTokens - 1, this.#countCachedTokens(job.command));
    const tokensPerMs = prefillTokensPerSecond / MS_PER_SECOND / this.#slowdownFactor;
    const durationMs = (job.promptTokens - cachedTokens) / tokensPerMs;
    const cancelTimer = clock.schedule(durationMs, () => {
      this.#finish();
    });
    return { job, startedAt: clock.now(), cachedTokens, tokensPerMs, cancelTimer };
  }

  #finish(): void {
    const running = this.#runningJob;
    if (running === undefined) return;
    this.#runningJob = undefined;
    const { command, promptTokens } = running.job;
    const computedTokens = promptTokens - running.cachedTokens;
    this.#counters.prefillTokens += computedTokens;
    this.cache.add(prefillPrompts.listPrefixHashes(command));
    const kv: engineOptions.KvExport = {
      ...createAttemptId(command),
      prompt: command.prompt,
      continuationOffset: this.#countContinuationTokens(command),
      promptTokens,
      computedTokens,
      pieces: this.#countPieces(promptTokens),
    };
    const handle = this.#results.add(kv);
    running.job.resolve({
      handle,
      promptTokens,
      cachedTokens: running.cachedTokens,
      pieces: kv.pieces,
      expiresInMs: this.#options.resultLifeMs,
    });
    this.#startNext();
  }

  /** Rejects the running job and returns the number of tokens it had computed. */
  #stopRunningJob(error: Error): number {
    const running = this.#runningJob;
    if (running === undefined) return 0;
    this.#runningJob = undefined;
    running.cancelTimer();
    const elapsedMs = this.#options.clock.now() - running.startedAt;
    const tokensToCompute = running.job.promptTokens - running.cachedTokens;
    const computedTokens = Math.min(tokensToCompute, Math.floor(elapsedMs * running.tokensPerMs));
    this.#counters.prefillTokens += computedTokens;
    running.job.reject(error);
    return computedTokens;
  }

  #removeQueued(isRemoved: (job: Job) => boolean, error: Error): void {
    for (let index = this.#queue.length - 1; index >= 0; index -= 1) {
      const job = this.#queue[index];
      if (job === undefined || !isRemoved(job)) continue;
      this.#queue.splice(index, 1);
      job.reject(error);
    }
  }

  #countCachedTokens(command: upstream.PrefillCommand): number {
    return (
      this.cache.countMatch(prefillPrompts.listPrefixHashes(command)) * prompts.PREFIX_BLOCK_TOKENS
    );
  }

  /**
   * Returns the length of the continuation in tokens, and counts one that the model doesn't
   * generate.
   */
  #countContinuationTokens(command: upstream.PrefillCommand): number {
    const continuation = prefillPrompts.parseContinuation(command);
    if (!continuation.valid) this.#counters.badContinuations += 1;
    return continuation.tokens;
  }

  #countPieces(tokens: number): number {
    return Math.ceil(tokens / this.#options.tokensPerPiece);
  }

  #countRunningPieces(): number {
    return this.#runningJob === undefined
      ? 0
      : this.#countPieces(this.#runningJob.job.promptTokens);
  }
}

function createAttemptId({ id, attempt }: upstream.AttemptId): upstream.AttemptId {
  return { id, attempt };
}
