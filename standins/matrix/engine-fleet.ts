/** The emulated engines of the fault matrix, the connections to them, and their faults. */
import * as clocks from "../../src/kernel/clock.js";
import type * as document from "../../src/settings/document.js";
import * as upstream from "../../src/upstream/types.js";
import * as engineModel from "../engine/engine-model.js";
import * as engineRefusal from "../engine/engine-refusal.js";
import * as fixtures from "./fixtures.js";
import type * as nodeProcess from "./node-process.js";
import * as steps from "./steps.js";

const NETWORK_DELAY_MS = 1;
/** A client closes a connection to an engine after this long without data. */
const IDLE_TIMEOUT_MS = 2000;
const ENGINE_RESTART_MS = 2000;

interface Connection {
  readonly runner: string;
  /** Aborted when the connection is reset. */
  readonly resetController: AbortController;
  /** Whether data from the engine no longer arrives. */
  isSilent: boolean;
}

/** All engines, and the connections on which a node waits for output of one. */
export class EngineFleet {
  readonly #clock: clocks.Clock;
  readonly #onStep: steps.StepListener;
  readonly #engines = new Map<string, engineModel.EngineModel>();
  readonly #connections = new Set<Connection>();
  readonly #staleFrameRunners = new Set<string>();

  constructor(clock: clocks.Clock, onStep: steps.StepListener) {
    this.#clock = clock;
    this.#onStep = onStep;
    for (const runner of fixtures.RUNNERS)
      this.#engines.set(runner.name, this.#createEngine(runner));
  }

  /**
   * Lists the runners with a request held or queued, decode runners first (the reverse fixture
   * order).
   */
  listActiveRunners(): readonly string[] {
    const names = [...this.#engines.keys()].reverse();
    return names.filter((name) => {
      const { slotsHeld, queued } = this.#getEngine(name).getReport();
      return slotsHeld.length + queued.length > 0;
    });
  }

  /** Lists each attempt that an engine holds or has in its queue, with the engine's name. */
  listHeld(): readonly string[] {
    return [...this.#engines.values()].flatMap((engine) => {
      const { name, slotsHeld, queued } = engine.getReport();
      return [...slotsHeld, ...queued].map(({ attempt }) => `${name} attempt ${attempt}`);
    });
  }

  /** Counts the crashes of all engines so far. */
  countCrashes(): number {
    let crashes = 0;
    for (const engine of this.#engines.values()) crashes += engine.getReport().crashes;
    return crashes;
  }

  /** Counts how often engines began a prefill or a decode of a request id. */
  countExecutions(id: string): number {
    let count = 0;
    for (const engine of this.#engines.values()) {
      const { prefills = 0, decodes = 0 } = engine.getReport().executions[id] ?? {};
      count += prefills + decodes;
    }
    return count;
  }

  crash(runner: string): void {
    this.#getEngine(runner).crash();
  }

  /** Resets the open connections to a runner, which keeps running; returns their number. */
  resetConnections(runner: string): number {
    const open = this.#listConnections(runner);
    for (const { resetController: broken } of open) broken.abort();
    return open.length;
  }

  /** Drops all further data on the open connections to a runner; returns their number. */
  silenceConnections(runner: string): number {
    const open = this.#listConnections(runner);
    for (const connection of open) connection.isSilent = true;
    return open.length;
  }

  /** Stalls the transfers on a runner's link, or resumes them. */
  setTransfersStalled(runner: string, isStalled: boolean): void {
    this.#getEngine(runner).setTransfersStalled(isStalled);
  }

  /**
   * Adds frames of an older attempt and of another request, and duplicates, to a runner's streams.
   */
  addStaleFrames(runner: string): void {
    this.#staleFrameRunners.add(runner);
  }

  /** Creates the engine client of a process. */
  createClient(clientProcess: nodeProcess.NodeProcess): upstream.EngineClient {
    return {
      prefill: (runner, command, signal) => this.#prefill(clientProcess, runner, command, signal),
      decode: (runner, command, signal) =>
        this.#stream(clientProcess, runner, signal, (engine) => engine.decode(command)),
      resume: (runner, attempt, signal) =>
        this.#stream(clientProcess, runner, signal, (engine) =>
          engine.resume(attempt, attempt.offset),
        ),
      cancel: (runner, attempt, signal) =>
        this.#call(clientProcess, runner, signal, (engine) => {
          engine.cancel(attempt);
        }),
      readLoad: (runner, signal) =>
        this.#call(clientProcess, runner, signal, (engine) => engine.getLoad()),
      readCacheEvents: (runner, after, signal) =>
        this.#call(clientProcess, runner, signal, (engine) => engine.listCacheEvents(after)),
      sendOrder: (runner, order, signal) =>
        this.#call(clientProcess, runner, signal, (engine) => {
          engine.applyOrder(order);
        }),
    };
  }

  async #prefill(
    clientProcess: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    command: upstream.PrefillCommand,
    signal: AbortSignal,
  ): Promise<upstream.PrefillResult> {
    const engine = await this.#connect(clientProcess, runner, signal);
    using connection = this.#registerConnection(runner.name);
    const response = engine.prefill(command).catch(throwUpstreamError);
    this.#onStep(steps.STEP.prefill);
    const result = await this.#receive(clientProcess, connection, response, signal);
    this.#onStep(steps.STEP.transfer);
    await clientProcess.waitUntilRunning();
    return result;
  }

  async *#stream(
    clientProcess: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    signal: AbortSignal,
    open: (engine: engineModel.EngineModel) => AsyncIterable<upstream.DecodeEvent>,
  ): AsyncGenerator<upstream.DecodeEvent> {
    const engine = await this.#connect(clientProcess, runner, signal);
    using connection = this.#registerConnection(runner.name);
    const iterator = openStream(engine, open)[Symbol.asyncIterator]();
    for (;;) {
      const pendingRead = iterator.next().catch(throwUpstreamError);
      const next = await this.#receive(clientProcess, connection, pendingRead, signal);
      if (next.done === true) return;
      const event = next.value;
      if (event.type === "token") this.#onStep(steps.STEP.decode);
      if (event.type === "end") this.#onStep(steps.STEP.lastToken);
      await clientProcess.waitUntilRunning();
      if (this.#staleFrameRunners.has(runner.name)) yield* createStaleFrames(event);
      yield event;
    }
  }

  async #call<Value>(
    clientProcess: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    signal: AbortSignal,
    handle: (engine: engineModel.EngineModel) => Value,
  ): Promise<Value> {
    const engine = await this.#connect(clientProcess, runner, signal);
    try {
      return handle(engine);
    } catch (error) {
      return throwUpstreamError(error);
    }
  }

  async #connect(
    clientProcess: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    signal: AbortSignal,
  ): Promise<engineModel.EngineModel> {
    await clientProcess.waitUntilRunning();
    await clocks.sleep(this.#clock, NETWORK_DELAY_MS);
    await clientProcess.waitUntilRunning();
    const engine = this.#getEngine(runner.name);
    if (signal.aborted || !engine.alive) {
      const reason = signal.aborted ? "the client aborted" : "the engine is down";
      const message = `no connection to runner ${runner.name}: ${reason}`;
      throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.notConnected, message);
    }
    return engine;
  }

  #registerConnection(runner: string): Connection & Disposable {
    const connection = {
      runner,
      resetController: new AbortController(),
      isSilent: false,
      [Symbol.dispose]: () => {
        this.#connections.delete(connection);
      },
    };
    this.#connections.add(connection);
    return connection;
  }

  /**
   * Waits for data from the engine.
   *
   * @throws UpstreamError when the engine fails, the connection is reset or stays silent, the
   * client aborts, or its process is killed. A paused client process gets the error on resuming, a
   * killed one never.
   */
  async #receive<Value>(
    clientProcess: nodeProcess.NodeProcess,
    connection: Connection,
    response: Promise<Value>,
    signal: AbortSignal,
  ): Promise<Value> {
    response.catch(() => undefined);
    const signals = [signal, connection.resetController.signal, clientProcess.killSignal];
    using scope = createAbortScope(signals);
    const delivery = response.then(
      (value) =>
        connection.isSilent
          ? this.#rejectAfterIdleTimeout(clientProcess, connection.runner)
          : value,
      (error: unknown) => {
        if (connection.isSilent)
          return this.#rejectAfterIdleTimeout(clientProcess, connection.runner);
        throw error;
      },
    );
    const silenceFailure = this.#watchForSilence(clientProcess, connection, scope.signal);
    try {
      return await Promise.race([delivery, silenceFailure, waitForAbort(scope.signal)]);
    } catch (error) {
      await clientProcess.waitUntilRunning();
      throw error;
    }
  }

  async #rejectAfterIdleTimeout(
    clientProcess: nodeProcess.NodeProcess,
    runner: string,
  ): Promise<never> {
    await clocks.sleep(clientProcess.clock, IDLE_TIMEOUT_MS);
    throw createSilenceError(runner);
  }

  /**
   * Rejects when the connection is silent. Real engines send heartbeats, so that a client notices
   * their absence; the emulation sends none and reads the connection's flag once per idle timeout.
   */
  async #watchForSilence(
    clientProcess: nodeProcess.NodeProcess,
    connection: Connection,
    signal: AbortSignal,
  ): Promise<never> {
    for (;;) {
      await clocks
        .sleep(clientProcess.clock, IDLE_TIMEOUT_MS, signal)
        .catch(() => new Promise(() => undefined));
      if (connection.isSilent) throw createSilenceError(connection.runner);
    }
  }

  #createEngine(runner: document.Runner): engineModel.EngineModel {
    const pool = fixtures.DOCUMENT.pools.find(({ name }) => name === runner.pool);
    const engine: engineModel.EngineModel = new engineModel.EngineModel({
      clock: this.#clock,
      name: runner.name,
      role: pool?.role ?? "decode",
      model: fixtures.MODEL_NAME,
      fetchKv: async (source, handle) => {
        await clocks.sleep(this.#clock, NETWORK_DELAY_MS);
        return this.#getEngine(source.name).popKv(handle);
      },
      onCrash: () => {
        this.resetConnections(runner.name);
        this.#clock.schedule(ENGINE_RESTART_MS, () => {
          engine.restart();
        });
      },
    });
    return engine;
  }

  #listConnections(runner: string): readonly Connection[] {
    return [...this.#connections].filter((connection) => connection.runner === runner);
  }

  #getEngine(runner: string): engineModel.EngineModel {
    const engine = this.#engines.get(runner);
    if (!engine) throw new Error(`no runner ${runner}`);
    return engine;
  }
}

/**
 * Returns the stream that `open` creates; an error of `open` is thrown on the first read, as in
 * HTTP.
 */
async function* openStream(
  engine: engineModel.EngineModel,
  open: (engine: engineModel.EngineModel) => AsyncIterable<upstream.DecodeEvent>,
): AsyncGenerator<upstream.DecodeEvent> {
  yield* open(engine);
}

/**
 * Returns the frames to send before a token: one of the previous attempt, one of another request
 * and a duplicate of the token. Returns none for other events.
 */
function createStaleFrames(event: upstream.DecodeEvent): readonly upstream.DecodeEvent[] {
  if (event.type !== "token") return [];
  const stale = { ...event, attempt: event.attempt - 1, text: "old-attempt " };
  const foreign = { ...event, id: "another.1", text: "another-request " };
  return [stale, foreign, { ...event }];
}

/** @throws UpstreamError for an error of the engine: a refusal, or else a broken connection. */
function throwUpstreamError(error: unknown): never {
  if (error instanceof engineRefusal.EngineRefusal) {
    const { refused } = upstream.UPSTREAM_FAILURE;
    throw new upstream.UpstreamError(refused, error.message, error.status);
  }
  throw createBrokenError(String(error));
}

function createSilenceError(runner: string): upstream.UpstreamError {
  return createBrokenError(`no data from runner ${runner} within ${IDLE_TIMEOUT_MS} ms`);
}

function createBrokenError(message: string): upstream.UpstreamError {
  return new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, message);
}

interface AbortScope extends Disposable {
  readonly signal: AbortSignal;
}

/**
 * Combines abort signals. Disposal aborts the combined signal, which ends the waits on it, and
 * removes the listeners from the given signals, which live longer.
 */
function createAbortScope(signals: readonly AbortSignal[]): AbortScope {
  const controller = new AbortController();
  const onAbort = (): void => {
    controller.abort(
      createBrokenError(
        "connection was reset, its client aborted or its client process was killed",
      ),
    );
  };
  for (const signal of signals) {
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  }
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      for (const signal of signals) signal.removeEventListener("abort", onAbort);
      controller.abort(createBrokenError("read has ended"));
    },
  };
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = (): void => {
      reject(signal.reason as Error);
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  });
}
