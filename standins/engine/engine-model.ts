/** An emulated model engine driven by a clock; used in-process with a fake clock, or over HTTP. */
import type * as upstream from "../../src/upstream/types.js";
import * as cancelledIds from "./cancelled-ids.js";
import * as decodeUnit from "./decode-unit.js";
import * as engineCounters from "./engine-counters.js";
import type * as engineOptions from "./engine-options.js";
import * as engineRefusal from "./engine-refusal.js";
import * as prefillUnit from "./prefill-unit.js";
import * as modelLoader from "./model-loader.js";
import * as transferLink from "./transfer-link.js";

export { computeExpectedTokens } from "./expected-tokens.js";

const DEFAULT_LINK_BYTES_PER_SECOND = 10e9;
const DEFAULT_WEIGHT_STORE_BYTES_PER_SECOND = 10e9;

/** Adds the defaults, which describe a small decode engine of 20 slots and 4,000 pieces. */
export function createEngineOptions(
  givenOptions: engineOptions.PartialEngineOptions,
): engineOptions.EngineOptions {
  const { clock } = givenOptions;
  return {
    name: "engine",
    role: "decode",
    model: "model",
    version: "1",
    adapters: [],
    slots: 20,
    pieces: 4_000,
    tokensPerPiece: 16,
    kvBytesPerToken: 100_000,
    prefillTokensPerSecond: 8_000,
    stepMs: 25,
    resultLifeMs: 800,
    loadReportMs: 500,
    finishedLifeMs: 2_000,
    cacheBlocks: 400,
    cacheEventDelayMs: 200,
    cacheEventLossPeriod: 50,
    weightBytes: 16e9,
    adapterBytes: 100e6,
    link: new transferLink.TransferLink(clock, DEFAULT_LINK_BYTES_PER_SECOND),
    weightStore: new transferLink.TransferLink(clock, DEFAULT_WEIGHT_STORE_BYTES_PER_SECOND),
    checksFencing: true,
    prefillCrashMarker: "#crash-prefill",
    decodeCrashMarker: "#crash-decode",
    fetchKv: () => Promise.resolve(undefined),
    onCrash: () => undefined,
    ...givenOptions,
  };
}

/**
 * An emulated engine. It accepts `prefill` or `decode` according to its current role.
 *
 * @example
 * using engine = new EngineModel({ clock, name: "p1", role: "prefill" });
 * const result = await engine.prefill(command);
 */
export class EngineModel implements Disposable {
  readonly options: engineOptions.EngineOptions;
  readonly #counters = new engineCounters.EngineCounters();
  readonly #cancelled = new cancelledIds.CancelledIds();
  readonly #prefill: prefillUnit.PrefillUnit;
  readonly #decode: decodeUnit.DecodeUnit;
  readonly #loader: modelLoader.ModelLoader;
  #alive = true;
  #load: Omit<upstream.RunnerLoad, "ageMs">;
  #reportedAt = 0;
  #cancelLoadReport: (() => void) | undefined;

  constructor(givenOptions: engineOptions.PartialEngineOptions) {
    this.options = createEngineOptions(givenOptions);
    const crash = (): void => {
      this.crash();
    };
    this.#prefill = new prefillUnit.PrefillUnit(this.options, this.#counters, crash);
    this.#decode = new decodeUnit.DecodeUnit(this.options, this.#counters, crash);
    this.#loader = new modelLoader.ModelLoader(this.options, () => {
      this.#counters.cutByOrders += this.#abortAll("cut off by an order");
    });
    this.#load = this.#createLoad();
    this.#scheduleLoadReport();
  }

  /** Whether the engine is up: false between a crash and `restart`. */
  get alive(): boolean {
    return this.#alive;
  }

  /**
   * Computes a prompt's KV cache.
   *
   * @throws EngineRefusal when the engine doesn't serve the command, or its attempt is cancelled or
   * exceeds its deadline.
   * @throws EngineBreak when the engine is down, crashes or stops, or an order aborts the attempt.
   */
  async prefill(command: upstream.PrefillCommand): Promise<upstream.PrefillResult> {
    this.#checkAccepts("prefill", command);
    return this.#prefill.run(command);
  }

  /**
   * Imports a KV cache and generates tokens.
   *
   * @throws EngineRefusal immediately when the engine doesn't serve the command, and while the
   * output is read when the KV cache is gone or doesn't fit.
   * @throws EngineBreak immediately when the engine is down, and while the output is read when it
   * crashes or stops, or an order aborts the attempt.
   */
  decode(command: upstream.DecodeCommand): AsyncIterable<upstream.DecodeEvent> {
    this.#checkAccepts("decode", command);
    return this.#decode.start(command);
  }

  /**
   * Re-reads a decode's output from `offset`, while it runs or shortly after it has finished.
   *
   * @throws EngineRefusal immediately when the attempt is not known, or its output starts after
   * `offset`. While the output is read it fails with the errors of `decode`.
   */
  resume(attempt: upstream.AttemptId, offset: number): AsyncIterable<upstream.DecodeEvent> {
    return this.#decode.resume(attempt, offset);
  }

  /** Releases all attempts of the id up to this one, and refuses them from now on. */
  cancel(attempt: upstream.AttemptId): void {
    this.#counters.cancels += 1;
    this.#cancelled.add(attempt);
    this.#prefill.cancel(attempt);
    this.#decode.cancel(attempt);
  }

  /**
   * Removes a prefill's result and returns its description; `undefined` when it has expired or was
   * already fetched.
   */
  popKv(handle: string): engineOptions.KvExport | undefined {
    return this.#prefill.popResult(handle);
  }

  /** Returns the most recent load report, which is up to `loadReportMs` old. */
  getLoad(): upstream.RunnerLoad {
    return { ...this.#load, ageMs: Math.round(this.options.clock.now() - this.#reportedAt) };
  }

  /** Returns the cache events with a number above `after` that are published by now. */
  listCacheEvents(after: number): upstream.CacheEvent[] {
    return this.#prefill.cache.listEvents(after);
  }

  /**
   * Accepts an order; the weights are loaded in the background.
   *
   * @throws EngineRefusal when fencing is checked and the order's number is lower than the last
   * one.
   */
  applyOrder(order: upstream.RunnerOrder): void {
    this.#loader.apply(order);
  }

  /** Returns the counters and the requests held now, without the delay of load reports. */
  getReport(): engineCounters.EngineReport {
    return this.#counters.createReport({
      name: this.options.name,
      slotsHeld: [...this.#prefill.listHeld(), ...this.#decode.listHeld()],
      piecesHeld: this.#prefill.piecesUsed + this.#decode.piecesUsed,
      queued: [...this.#prefill.listQueued(), ...this.#decode.listQueued()],
    });
  }

  /**
   * Crashes the engine: all streams end with an error, and requests, results, the prefix cache and
   * the effect of orders are lost. The counters, which serve the assertions of tests, and the
   * record of cancelled attempts remain.
   */
  crash(): void {
    if (!this.#alive) return;
    this.#alive = false;
    this.#counters.crashes += 1;
    this.#abortAll("engine crashed");
    this.#prefill.cache.reset();
    this.#loader.reset();
    this.options.onCrash();
  }

  /** Restarts the engine after a crash, with the state that the crash left. */
  restart(): void {
    this.#alive = true;
  }

  /** Stalls or resumes all transfers on the engine's link. */
  setTransfersStalled(isStalled: boolean): void {
    this.options.link.setStalled(isStalled);
  }

  /** Makes prefill and decode steps take `factor` times as long. */
  setSlowdownFactor(factor: number): void {
    this.#prefill.setSlowdownFactor(factor);
    this.#decode.setSlowdownFactor(factor);
  }

  /** Stops the load reports and fails all requests. */
  [Symbol.dispose](): void {
    this.#cancelLoadReport?.();
    this.#abortAll("engine stopped");
  }

  #checkAccepts(
    role: modelLoader.ServedModel["role"],
    command: upstream.PrefillCommand | upstream.DecodeCommand,
  ): void {
    try {
      if (!this.#alive) throw new engineRefusal.EngineBreak("engine is down");
      if (this.#cancelled.has(command)) {
        throw engineRefusal.createRefusal("conflict", "attempt was cancelled");
      }
      this.#loader.check(role, command.model, command.adapter);
    } catch (error) {
      this.#counters.refusals += 1;
      throw error;
    }
  }

  /** Fails all requests and discards all results; returns the number of both. */
  #abortAll(reason: string): number {
    const error = new engineRefusal.EngineBreak(reason);
    return this.#prefill.reset(error) + this.#decode.reset(error);
  }

  #scheduleLoadReport(): void {
    this.#cancelLoadReport = this.options.clock.schedule(this.options.loadReportMs, () => {
      this.#prefill.checkDeadlines();
      this.#decode.checkDeadlines();
      this.#load = this.#createLoad();
      this.#scheduleLoadReport();
    });
  }

  #createLoad(): Omit<upstream.RunnerLoad, "ageMs"> {
    this.#reportedAt = this.options.clock.now();
    const { model, version, adapters, role } = this.#loader.current;
    return {
      slotsUsed: this.#decode.slotsUsed,
      slotsTotal: this.options.slots,
      piecesUsed: this.#prefill.piecesUsed + this.#decode.piecesUsed,
      piecesTotal: this.options.pieces,
      queuedPrefillTokens: this.#prefill.queuedTokens,
      model,
      version,
      adapters,
      role,
      fencing: this.#loader.fencing,
      held: [
        ...this.#prefill.listHeld(),
        ...this.#prefill.listQueued(),
        ...this.#decode.listHeld(),
        ...this.#decode.listQueued(),
      ],
    };
  }
}
