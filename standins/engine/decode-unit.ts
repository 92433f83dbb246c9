/** The decode role: continuous batching over a limited number of slots, with one timer per step. */
import type * as upstream from "../../src/upstream/types.js";
import * as cancelledIds from "./cancelled-ids.js";
import * as decodeRequest from "./decode-request.js";
import type * as engineCounters from "./engine-counters.js";
import type * as engineOptions from "./engine-options.js";
import * as engineRefusal from "./engine-refusal.js";
import * as priorityOrder from "./priority-order.js";

const MAX_QUEUED_REQUESTS = 1_000;
const MAX_FINISHED_REQUESTS = 1_000;

/** Generates tokens for up to `slots` requests at once; the others wait in order of priority. */
export class DecodeUnit {
  readonly #options: engineOptions.EngineOptions;
  readonly #counters: engineCounters.EngineCounters;
  readonly #crash: () => void;
  readonly #queue: decodeRequest.DecodeRequest[] = [];
  /** Requests that occupy a slot: importing or running. */
  readonly #heldRequests = new Set<decodeRequest.DecodeRequest>();
  readonly #finishedRequests = new Set<decodeRequest.DecodeRequest>();
  #slowdownFactor = 1;
  #cancelStep: (() => void) | undefined;

  /** @param crash - called when decoding of a prompt that contains the crash marker starts. */
  constructor(
    options: engineOptions.EngineOptions,
    counters: engineCounters.EngineCounters,
    crash: () => void,
  ) {
    this.#options = options;
    this.#counters = counters;
    this.#crash = crash;
  }

  get slotsUsed(): number {
    return this.#heldRequests.size;
  }

  get piecesUsed(): number {
    let pieces = 0;
    for (const request of this.#heldRequests) pieces += request.pieces;
    return pieces;
  }

  listHeld(): upstream.AttemptId[] {
    return [...this.#heldRequests].map((request) => request.attemptId);
  }

  listQueued(): upstream.AttemptId[] {
    return this.#queue.map((request) => request.attemptId);
  }

  /** Multiplies the duration of steps from now on. */
  setSlowdownFactor(factor: number): void {
    this.#slowdownFactor = factor;
  }

  /**
   * Queues a request and returns its output.
   *
   * @throws EngineRefusal when the queue is full or the attempt is already known.
   */
  start(command: upstream.DecodeCommand): AsyncIterable<upstream.DecodeEvent> {
    if (this.#queue.length >= MAX_QUEUED_REQUESTS) {
      throw engineRefusal.createRefusal("unavailable", "decode queue is full");
    }
    if (this.#findRequest(command) !== undefined) {
      throw engineRefusal.createRefusal("conflict", "attempt is already here");
    }
    const deadlineAt = this.#options.clock.now() + command.deadlineMs;
    const request = new decodeRequest.DecodeRequest(command, deadlineAt);
    const output = request.attach(command.offset);
    priorityOrder.addByPriority(this.#queue, request);
    this.#admit();
    return output;
  }

  /**
   * Re-reads the output of a request from `offset`.
   *
   * @throws EngineRefusal when the attempt is not known, or its output starts after `offset`.
   */
  resume(attempt: upstream.AttemptId, offset: number): AsyncIterable<upstream.DecodeEvent> {
    const request = this.#findRequest(attempt);
    if (request === undefined || offset < request.command.offset) {
      throw engineRefusal.createRefusal("notFound", "nothing to resume");
    }
    return request.attach(offset);
  }

  /** Releases the requests and the finished output that cancelling `cancelled` also cancels. */
  cancel(cancelled: upstream.AttemptId): void {
    this.#releaseWhere((request) => cancelledIds.isCancelledBy(request.command, cancelled));
    for (const request of this.#finishedRequests) {
      if (cancelledIds.isCancelledBy(request.command, cancelled))
        this.#finishedRequests.delete(request);
    }
  }

  /** Releases requests whose deadline has passed, and discards expired output. */
  checkDeadlines(): void {
    const now = this.#options.clock.now();
    this.#releaseWhere((request) => request.deadlineAt <= now);
    for (const request of this.#finishedRequests) {
      if (request.finishedAt + this.#options.finishedLifeMs <= now)
        this.#finishedRequests.delete(request);
    }
  }

  /** Fails all requests, discards all state, and returns the number of failed requests. */
  reset(error: Error): number {
    const lostRequests = [...this.#queue, ...this.#heldRequests];
    this.#queue.length = 0;
    this.#heldRequests.clear();
    this.#finishedRequests.clear();
    this.#cancelStep?.();
    this.#cancelStep = undefined;
    for (const request of lostRequests) request.fail(error);
    return lostRequests.length;
  }

  /** Moves queued requests into free slots and starts their imports. */
  #admit(): void {
    while (this.#heldRequests.size < this.#options.slots) {
      const request = this.#queue.shift();
      if (request === undefined) return;
      request.state = "importing";
      this.#heldRequests.add(request);
      this.#counters.peakSlots = Math.max(this.#counters.peakSlots, this.#heldRequests.size);
      void this.#import(request);
    }
  }

  async #import(request: decodeRequest.DecodeRequest): Promise<void> {
    const kv = await this.#fetchKv(request);
    if (kv === undefined) return;
    try {
      const bytes = kv.promptTokens * this.#options.kvBytesPerToken;
      await this.#options.link.send(bytes, request.abortController.signal);
    } catch {
      this.#counters.wastedPrefillTokens += kv.computedTokens;
      return;
    }
    this.#start(request, kv);
  }

  /**
   * Returns the KV cache if it exists, fits in memory and its request is still held. Otherwise
   * refuses the request, if it is still held, and counts a KV cache that was fetched as wasted.
   */
  async #fetchKv(
    request: decodeRequest.DecodeRequest,
  ): Promise<engineOptions.KvExport | undefined> {
    const { source, handle, maxTokens } = request.command;
    const kv = await this.#options.fetchKv(source, handle).catch(() => undefined);
    if (kv === undefined) {
      this.#refuse(request, engineRefusal.REFUSAL_STATUS.gone, "KV cache is gone");
      return undefined;
    }
    if (!this.#heldRequests.has(request)) {
      this.#counters.wastedPrefillTokens += kv.computedTokens;
      return undefined;
    }
    const pieces = Math.ceil((kv.promptTokens + maxTokens) / this.#options.tokensPerPiece);
    if (this.piecesUsed + pieces > this.#options.pieces) {
      this.#counters.wastedPrefillTokens += kv.computedTokens;
      this.#refuse(request, engineRefusal.REFUSAL_STATUS.noMemory, "no pieces are free");
      return undefined;
    }
    request.pieces = pieces;
    return kv;
  }

  #start(request: decodeRequest.DecodeRequest, kv: engineOptions.KvExport): void {
    if (!this.#heldRequests.has(request)) return;
    if (kv.continuationOffset !== request.command.offset) this.#counters.badContinuations += 1;
    this.#counters.recordExecution(request.command.id, "decodes");
    request.startRunning(kv);
    if (kv.prompt.includes(this.#options.decodeCrashMarker)) this.#crash();
    else this.#scheduleStep();
  }

  #scheduleStep(): void {
    if (this.#cancelStep !== undefined) return;
    const stepMs = this.#options.stepMs * this.#slowdownFactor;
    this.#cancelStep = this.#options.clock.schedule(stepMs, () => {
      this.#cancelStep = undefined;
      this.#runStep();
    });
  }

  #runStep(): void {
    let runningCount = 0;
    for (const request of this.#heldRequests) {
      if (request.state !== "running") continue;
      runningCount += 1;
      this.#counters.outputTokens += 1;
      if (request.generateToken()) this.#finish(request);
    }
    this.checkDeadlines();
    this.#admit();
    if (runningCount > 0) this.#scheduleStep();
  }

  #finish(request: decodeRequest.DecodeRequest): void {
    request.finish(false);
    request.finishedAt = this.#options.clock.now();
    this.#heldRequests.delete(request);
    if (this.#finishedRequests.size < MAX_FINISHED_REQUESTS) this.#finishedRequests.add(request);
  }

  #releaseWhere(isReleased: (request: decodeRequest.DecodeRequest) => boolean): void {
    for (const request of [...this.#queue, ...this.#heldRequests]) {
      if (!isReleased(request)) continue;
      this.#remove(request);
      request.finish(true);
      request.abortController.abort(new Error("request was cancelled or its deadline passed"));
    }
    this.#admit();
  }

  #refuse(request: decodeRequest.DecodeRequest, status: number, message: string): void {
    if (!this.#heldRequests.has(request)) return;
    this.#counters.refusals += 1;
    this.#remove(request);
    request.fail(new engineRefusal.EngineRefusal(status, message));
    this.#admit();
  }

  #remove(request: decodeRequest.DecodeRequest): void {
    const index = this.#queue.indexOf(request);
    if (index !== -1) this.#queue.splice(index, 1);
    this.#heldRequests.delete(request);
  }

  #findRequest(attempt: upstream.AttemptId): decodeRequest.DecodeRequest | undefined {
    const all = [...this.#queue, ...this.#heldRequests, ...this.#finishedRequests];
    return all.find(
      ({ command }) => command.id === attempt.id && command.attempt === attempt.attempt,
    );
  }
}
