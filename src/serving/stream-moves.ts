/**
 * Moves runs off runners that leave. Load pattern: a runner that is replaced serves on for about two
 * seconds and an answer takes four; without a move half of its answers break off, are late, and have
 * their prompts read again elsewhere.
 */
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as placement from "../placement/placement.js";
import type * as placementTypes from "../placement/types.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as types from "./types.js";

/** Answers that end within this time need no move; a leaving runner serves for two seconds or more. */
const MOVE_DELAY_MS = 800;
/** A copy takes some milliseconds, on slow links some hundred. */
const COPY_LIMIT_MS = 700;
const HTTP_OK = 200;

/** What moving works with. */
export interface StreamMovesOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: runnerCalls.RunnerCalls;
  readonly wire: gateway.RunnerWire;
  readonly placement: placement.Placement;
}

/** A run that may have to move. */
export interface MovableRun {
  readonly call: types.ServedCall;
  readonly runner: runners.Runner;
  /** Returns the request for a place at another runner. */
  readonly createRequest: () => placementTypes.PlaceRequest;
  /** Whether it can go on behind what its caller has. */
  readonly canResume: () => boolean;
}

/** Where a stopped run goes on. */
export interface MovedRun {
  /** Key of its place, `undefined` when it goes on where it was. */
  readonly key: string | undefined;
  readonly runner: runners.Runner;
  /** The runner that stopped it. */
  readonly from: runners.Runner;
  readonly source: gateway.KvSource;
}

/** A run under watch until it is disposed of. */
export interface WatchedMove extends Disposable {
  /** Returns where the run goes on if it was stopped for a move; waits for a move under way. */
  findMoved(): Promise<MovedRun | undefined>;
}

interface Watch {
  readonly run: MovableRun;
  readonly controller: AbortController;
  cancelDelay: (() => void) | undefined;
  move: Promise<MovedRun | undefined> | undefined;
}

/** Watches the runs of this VM. */
export class StreamMoves {
  readonly #options: StreamMovesOptions;
  readonly #watches = new Set<Watch>();

  constructor(options: StreamMovesOptions) {
    this.#options = options;
    options.runners.onChange((id, runner) => {
      if (runner === undefined || runner.leaving) this.#handleLeaving(id);
    });
  }

  /** Watches a run until the returned object is disposed of. */
  add(run: MovableRun): WatchedMove {
    const controller = new AbortController();
    const watch: Watch = { run, controller, cancelDelay: undefined, move: undefined };
    this.#watches.add(watch);
    return {
      findMoved: async () => {
        watch.cancelDelay?.();
        return await watch.move;
      },
      [Symbol.dispose]: () => {
        this.#watches.delete(watch);
        watch.cancelDelay?.();
        controller.abort(new Error("run has ended"));
      },
    };
  }

  #handleLeaving(id: string): void {
    for (const watch of this.#watches) {
      if (watch.run.runner.id !== id || watch.cancelDelay !== undefined) continue;
      watch.cancelDelay = this.#options.clock.schedule(MOVE_DELAY_MS, () => {
        const { signal } = watch.controller;
        watch.move = this.#runMove(watch.run, AbortSignal.any([signal, watch.run.call.signal]));
      });
    }
  }

  /** Moves a run; returns `undefined` when it runs on, or when that is not known. */
  async #runMove(run: MovableRun, signal: AbortSignal): Promise<MovedRun | undefined> {
    const { placement: places, runners: table, metrics, log } = this.#options;
    if (!run.canResume()) return undefined;
    const request = run.createRequest();
    let moved: MovedRun | undefined;
    try {
      const answer = await places.reserve(request, signal);
      const id = answer.granted ? answer.place.decodeRunner : undefined;
      const target = id === undefined ? undefined : table.find(id)?.runner;
      if (target !== undefined) moved = await this.#stop(run, target, request.key, signal);
    } catch (error) {
      const fields = { request: run.call.head.id, runner: run.runner.id, error: String(error) };
      log.write(logEvents.LOG_EVENTS.streamNotMoved, fields);
    }
    if (moved?.key === undefined) {
      places.release(request.key, { outputTokens: 0, decodeMs: 0, complete: false });
    }
    metrics.count("moves", { outcome: moved === undefined ? "not_moved" : "moved" });
    return moved;
  }

  /** Copies the memory while the run goes on, and stops it only when the copy is there. */
  async #stop(
    run: MovableRun,
    target: runners.Runner,
    key: string,
    signal: AbortSignal,
  ): Promise<MovedRun | undefined> {
    const copied = await this.#sendMove(run, target, false, signal);
    if (copied.status !== HTTP_OK || copied.handle === undefined) return undefined;
    const stopped = await this.#sendMove(run, target, true, signal).catch((error: unknown) => {
      this.#releaseCopy(run, copied.handle);
      throw error;
    });
    if (stopped.handle === undefined) {
      this.#releaseCopy(run, copied.handle);
      return undefined;
    }
    const { host, port } = run.runner;
    const source = { host, port, handle: stopped.handle };
    // A run that was stopped without a last copy goes on from its own memory.
    const hasCopy = stopped.status === HTTP_OK;
    const runner = hasCopy ? target : run.runner;
    this.#options.log.write(logEvents.LOG_EVENTS.streamMoved, {
      request: run.call.head.id,
      from: run.runner.id,
      to: runner.id,
    });
    return { key: hasCopy ? key : undefined, runner, from: run.runner, source };
  }

  /** Frees a copy at both runners; it would lapse by itself some seconds later. */
  #releaseCopy(run: MovableRun, handle: string | undefined): void {
    if (handle === undefined) return;
    const { calls, wire, log } = this.#options;
    const { signal } = new AbortController();
    calls
      .sendMessage(run.runner, wire.formatRelease(handle), COPY_LIMIT_MS, signal)
      .catch((error: unknown) => {
        const fields = { request: run.call.head.id, from: run.runner.id, error: String(error) };
        log.write(logEvents.LOG_EVENTS.streamNotMoved, fields);
      });
  }

  async #sendMove(
    run: MovableRun,
    target: runners.Runner,
    isLast: boolean,
    signal: AbortSignal,
  ): Promise<{ readonly status: number; readonly handle: string | undefined }> {
    const { calls, wire, log } = this.#options;
    const message = wire.formatMove(run.runner, run.call.head.id, target, isLast);
    const { status, body } = await calls.sendMessage(run.runner, message, COPY_LIMIT_MS, signal);
    const handle = wire.parseMove(body);
    if (status === HTTP_OK && handle !== undefined) return { status, handle };
    const fields = { request: run.call.head.id, from: run.runner.id, to: target.id, status };
    log.write(logEvents.LOG_EVENTS.streamNotMoved, fields);
    return { status, handle };
  }
}
