/**
 * Places the model requests of one service. It is designed for bursts in which the load is two to
 * three times what the pool can decode. A request is admitted only if the forecast of a decode
 * runner's memory shows no preemption later, or if the runner has no other run. Requests that can
 * still meet their target go first; late ones use the remaining capacity. A new request whose
 * expected wait exceeds its `maxWaitMs` is refused at once; a retry of a refused request is always
 * queued.
 */
import type * as gateway from "../gateway/types.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as outputEstimator from "./output-estimator.js";
import * as poolPlacer from "./pool-placer.js";
import * as refusedRequests from "./refused-requests.js";
import * as requestCostAverages from "./request-cost-averages.js";
import type * as stagePlan from "./stage-plan.js";
import type * as types from "./types.js";
import * as placementQueue from "./placement-queue.js";

/**
 * Fraction of a runner's memory that the forecast peak may reach for a request that can still meet
 * its target; the rest covers responses longer than expected.
 */
const ON_TIME_MEMORY_SHARE = 0.98;
/**
 * Fraction of a runner's memory that the forecast peak may reach for a late request; lower, so that
 * late requests do not take capacity from those that can meet their target.
 */
const LATE_MEMORY_SHARE = 0.65;
/**
 * Fraction of a runner's memory that the forecast peak may reach for a late retry of a refused
 * request; higher than for other late requests, since callers don't retry a second time.
 */
const RETRY_MEMORY_SHARE = 0.88;
/**
 * Slack of a retry after a refusal. Such a request is always late, since the retry time in a
 * refusal exceeds every latency target.
 */
const RETRY_SLACK_MS = -1;
const EXPIRY_INTERVAL_MS = 1_000;
/**
 * Minimum time between two passes over the queue that progress or reports cause. At a large pool these come several hundred
 * times a second, and a pass looks at all of its runners.
 */
const MIN_PASS_INTERVAL_MS = 5;
/** Retry time of a stream whose version no runner serves; one that crashed is back after some seconds. */
const VERSION_RETRY_AFTER_MS = 1_000;

/** Dependencies of a scheduler. */
export interface SchedulerOptions extends poolPlacer.PoolPlacerOptions {
  readonly log: telemetry.EventLog;
}

interface QueuedRequest extends placementQueue.QueueEntry {
  readonly request: types.PlacementRequest;
  readonly expectedOutputTokens: number;
  readonly arrivedAt: number;
  readonly onAnswer: (result: types.PlacementResult) => void;
}

/** Queued requests and load on each runner of one service. */
export class PoolScheduler {
  readonly #options: SchedulerOptions;
  readonly #placer: poolPlacer.PoolPlacer;
  readonly #queue: placementQueue.PlacementQueue<QueuedRequest>;
  readonly #costs = new requestCostAverages.RequestCostAverages();
  readonly #estimator = new outputEstimator.OutputEstimator();
  readonly #refusedRequests: refusedRequests.RefusedRequests;
  #nextExpiryAt = 0;
  #passedAt = -Infinity;
  #cancelDeferredPass: (() => void) | undefined;
  #cancelTimer: (() => void) | undefined;
  /** Fraction of the runners' capacity that this scheduler may use. */
  #capacityShare = 1;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#placer = new poolPlacer.PoolPlacer(options);
    this.#queue = new placementQueue.PlacementQueue(options.clock);
    this.#refusedRequests = new refusedRequests.RefusedRequests(options.clock);
  }

  /** Number of queued requests. */
  get queuedCount(): number {
    return this.#queue.size;
  }

  /**
   * Returns the mean cost of a request, `undefined` until enough requests were recorded or while
   * the configuration has no engine for the service.
   */
  computeRequestCosts(): stagePlan.RequestCosts | undefined {
    const { engine, loads } = this.#placer;
    if (engine === undefined) return undefined;
    return this.#costs.compute(loads.computePrefillSpeed(), engine.kvCapacityTokens, engine.slots);
  }

  /** Returns the runner whose stage switch disrupts the least work. */
  chooseRunnerToSwitch(candidates: readonly runners.Runner[]): runners.Runner | undefined {
    return this.#placer.chooseRunnerToSwitch(candidates);
  }

  /**
   * Records that a runner was ordered to switch to `stage`. It gets no work until it is listed with
   * that stage or as a new process, or until the switch times out.
   */
  markSwitching(runner: runners.Runner, stage: runners.Stage): void {
    const { switches, engine } = this.#placer;
    switches.add(runner, stage, engine?.stageSwitchMs ?? 0);
  }

  /** Whether any listed runner is switching its stage. */
  hasSwitchingRunner(): boolean {
    return this.#placer.hasSwitchingRunner();
  }

  /** Clears the record of a stage switch, for a runner that rejected the order. */
  removeSwitching(runnerId: string): void {
    this.#placer.switches.remove(runnerId);
  }

  /**
   * Sets the fraction of the runners' capacity that this scheduler may use; below 1 while
   * schedulers on other VMs place requests on the same runners.
   */
  setCapacityShare(share: number): void {
    this.#capacityShare = share;
  }

  /**
   * Places a request, or queues it for at most its `maxWaitMs`, or refuses it.
   *
   * @param onAnswer - called at most once, possibly synchronously; never after the request was
   * removed.
   * @returns a function that removes the request from the queue.
   */
  submit(
    request: types.PlacementRequest,
    onAnswer: (result: types.PlacementResult) => void,
  ): () => void {
    const queuedRequest = this.#createQueuedRequest(request, onAnswer);
    if (!this.#placer.isVersionListed(request)) {
      this.#refuse(queuedRequest, VERSION_RETRY_AFTER_MS);
      return () => undefined;
    }
    const startMs = this.#placer.computeTimeToFirstEvent(request.promptTokens);
    const slackMs = queuedRequest.isRetry ? RETRY_SLACK_MS : request.targetMs - startMs;
    const refusal = this.#queue.add(queuedRequest, slackMs, request.maxWaitMs);
    if (refusal !== undefined) {
      this.#refuse(queuedRequest, refusal.retryAfterMs);
      return () => undefined;
    }
    this.update();
    return () => {
      this.#queue.remove(queuedRequest);
    };
  }

  /**
   * Records the progress of a placed request, as reported by its VM, and places queued requests.
   */
  recordProgress(progress: types.PlacementProgress): void {
    const { key, prefillMs, failedRunner, ended } = progress;
    const { backoff, loads } = this.#placer;
    if (failedRunner !== undefined) backoff.recordFailure(failedRunner);
    if (prefillMs !== undefined || ended === true) loads.releasePrefill(key, prefillMs);
    if (ended === true) this.#recordEnd(progress);
    this.#updateQueue();
  }

  /** Records a running request that another scheduler placed. */
  recordRunning(running: types.RunningRequest): void {
    const load = this.#placer.loads.getOrCreateDecode(running.decodeRunner);
    if (load.has(running.key)) return;
    const startsAt = this.#options.clock.now() - running.runningMs;
    const { estimatedOutputTokens, maxOutputTokens } = running;
    const expectedOutputTokens = this.#computeExpectedOutput(
      estimatedOutputTokens,
      maxOutputTokens,
    );
    load.add(running.key, { ...running, expectedOutputTokens, startsAt });
  }

  /** Records a runner's report, which ends the runner's backoff, and places queued requests. */
  recordReport(runner: runners.Runner, report: gateway.EngineReport): void {
    const { backoff, loads } = this.#placer;
    backoff.recordAnswer(runner.id);
    loads.getOrCreateDecode(runner.id).recordReport(report, this.#options.clock.now());
    if (report.busy) this.#placer.recordSwitching(runner);
    this.#updateQueue();
  }

  /**
   * Records that a runner's report could not be read, which starts or extends the runner's backoff.
   */
  recordMissingReport(runnerId: string): void {
    this.#placer.backoff.recordFailure(runnerId);
  }

  /**
   * Grants placements to queued requests while there is capacity, and refuses those whose
   * `maxWaitMs` has passed.
   */
  update(): void {
    this.#passedAt = this.#options.clock.now();
    this.#expireLoads();
    this.#refuseUnserved();
    // Streams whose version has no room, which does not keep others waiting.
    const blocked = new Set<QueuedRequest>();
    for (;;) {
      const next = this.#queue.findNext(blocked);
      if (next === undefined) break;
      const place = this.#grant(next.entry, next.late);
      if (place === undefined && !next.entry.isResumed) break;
      if (place === undefined) {
        blocked.add(next.entry);
        continue;
      }
      this.#queue.recordGrant(next.entry);
      next.entry.onAnswer({ granted: true, place });
    }
    for (const expired of this.#queue.removeExpired()) {
      this.#refuse(expired.entry, expired.retryAfterMs);
    }
    this.#scheduleUpdate();
  }

  close(): void {
    this.#cancelTimer?.();
    this.#cancelDeferredPass?.();
  }

  /** Passes over the queue, if there is one, at most every `MIN_PASS_INTERVAL_MS`. */
  #updateQueue(): void {
    if (this.#queue.size === 0 || this.#cancelDeferredPass !== undefined) return;
    const { clock } = this.#options;
    const waitMs = this.#passedAt + MIN_PASS_INTERVAL_MS - clock.now();
    if (waitMs <= 0) {
      this.update();
      return;
    }
    this.#cancelDeferredPass = clock.schedule(waitMs, () => {
      this.#cancelDeferredPass = undefined;
      this.update();
    });
  }

  #createQueuedRequest(
    request: types.PlacementRequest,
    onAnswer: (result: types.PlacementResult) => void,
  ): QueuedRequest {
    const { promptTokens, estimatedOutputTokens, maxOutputTokens } = request;
    const expectedOutputTokens = this.#computeExpectedOutput(
      estimatedOutputTokens,
      maxOutputTokens,
    );
    const msPerToken = this.#placer.loads.computeMsPerToken();
    this.#costs.record(promptTokens, expectedOutputTokens, msPerToken);
    return {
      request,
      expectedOutputTokens,
      arrivedAt: this.#options.clock.now(),
      relativeCost: this.#costs.computeRelativeCost(promptTokens, expectedOutputTokens, msPerToken),
      isRetry: this.#refusedRequests.has(request.retryKey),
      isResumed: request.softwareVersion !== undefined,
      onAnswer,
    };
  }

  #computeExpectedOutput(estimatedTokens: number, maxTokens: number): number {
    return Math.min(maxTokens, this.#estimator.computeExpectedOutput(estimatedTokens));
  }

  #recordEnd(progress: types.PlacementProgress): void {
    const { key, outputTokens = 0, decodeMs = 0, complete } = progress;
    const now = this.#options.clock.now();
    const run = this.#placer.loads.releaseDecode(key, outputTokens, decodeMs, now);
    const estimate = run?.estimatedOutputTokens;
    if (complete === true && estimate !== undefined) this.#estimator.record(estimate, outputTokens);
  }

  /** Refuses queued streams whose version is no longer listed. */
  #refuseUnserved(): void {
    for (const entry of this.#queue.listEntries()) {
      if (this.#placer.isVersionListed(entry.request)) continue;
      this.#queue.remove(entry);
      this.#refuse(entry, VERSION_RETRY_AFTER_MS);
    }
  }

  #refuse(queuedRequest: QueuedRequest, retryAfterMs: number): void {
    this.#refusedRequests.add(queuedRequest.request.retryKey);
    queuedRequest.onAnswer({ granted: false, retryAfterMs });
  }

  #scheduleUpdate(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    const changeMs = this.#queue.computeTimeToNextChange();
    if (changeMs === undefined) return;
    const sendMs = this.#placer.computeTimeToNextSend() ?? changeMs;
    this.#cancelTimer = this.#options.clock.schedule(Math.min(changeMs, sendMs), () => {
      this.update();
    });
  }

  #expireLoads(): void {
    const now = this.#options.clock.now();
    if (now < this.#nextExpiryAt) return;
    this.#nextExpiryAt = now + EXPIRY_INTERVAL_MS;
    this.#placer.expire(now);
  }

  #grant(queuedRequest: QueuedRequest, late: boolean): types.Placement | undefined {
    const { request, expectedOutputTokens } = queuedRequest;
    const limits = {
      memoryShare: getMemoryShare(queuedRequest, late),
      capacityShare: this.#capacityShare,
    };
    const chosen = this.#placer.reserve(request, expectedOutputTokens, limits);
    if (chosen === undefined) return undefined;
    const { place, run, runCount, peakTokens, msPerToken } = chosen;
    this.#options.log.write(logEvents.LOG_EVENTS.requestPlaced, {
      request: request.key,
      runner: place.decodeRunner,
      prefillRunner: place.prefillRunner,
      waitedMs: Math.round(this.#options.clock.now() - queuedRequest.arrivedAt),
      late,
      returned: queuedRequest.isRetry,
      softwareVersion: request.softwareVersion,
      waiting: this.#queue.size,
      runs: runCount,
      peakTokens: Math.round(peakTokens),
      promptTokens: run.promptTokens,
      estimatedOutputTokens: request.estimatedOutputTokens,
      expectedOutputTokens: Math.round(run.expectedOutputTokens),
      msPerToken: Number(msPerToken.toFixed(3)),
    });
    return place;
  }
}

function getMemoryShare(queuedRequest: QueuedRequest, late: boolean): number {
  if (!late || queuedRequest.isResumed) return ON_TIME_MEMORY_SHARE;
  return queuedRequest.isRetry ? RETRY_MEMORY_SHARE : LATE_MEMORY_SHARE;
}
