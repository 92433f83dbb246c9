/** The emulated engines of the matrix, outside the router, and their faults. */
import * as clocks from "../../src/kernel/clock.js";
import type * as document from "../../src/settings/document.js";
import * as upstream from "../../src/upstream/types.js";
import * as engineModel from "../engine/engine-model.js";
import * as engineRefusal from "../engine/engine-refusal.js";
import * as fixtures from "./fixtures.js";
import type * as nodeProcess from "./node-process.js";
import * as steps from "./steps.js";

const HOP_MS = 1;
/** Silence after which a client of an engine gives a connection up. */
const SILENCE_MS = 2000;
const RESTART_MS = 2000;

interface Connection {
  readonly runner: string;
  readonly broken: AbortController;
  isSilent: boolean;
}

/** All engines, and the connections to them. */
export class EngineFleet {
  readonly #clock: clocks.Clock;
  readonly #onStep: steps.StepListener;
  readonly #engines = new Map<string, engineModel.EngineModel>();
  readonly #connections = new Set<Connection>();
  readonly #crossing = new Set<string>();

  constructor(clock: clocks.Clock, onStep: steps.StepListener) {
    this.#clock = clock;
    this.#onStep = onStep;
    for (const runner of fixtures.RUNNERS) this.#engines.set(runner.name, this.#create(runner));
  }

  /** Runners that a request is at: those that decode first. */
  listBusy(): readonly string[] {
    const names = [...this.#engines.keys()].reverse();
    return names.filter((name) => {
      const { slotsHeld, queued } = this.#get(name).getReport();
      return slotsHeld.length + queued.length > 0;
    });
  }

  /** What the engines hold, as `runner id attempt`. */
  listHeld(): readonly string[] {
    return [...this.#engines.values()].flatMap((engine) => {
      const { name, slotsHeld, queued } = engine.getReport();
      return [...slotsHeld, ...queued].map(({ attempt }) => `${name} attempt ${attempt}`);
    });
  }

  /** Number of crashes of all engines. */
  countCrashes(): number {
    let crashes = 0;
    for (const engine of this.#engines.values()) crashes += engine.getReport().crashes;
    return crashes;
  }

  /** How often any engine began an id. */
  countExecutions(id: string): number {
    let count = 0;
    for (const engine of this.#engines.values()) {
      const { prefills = 0, decodes = 0 } = engine.getReport().executions[id] ?? {};
      count += prefills + decodes;
    }
    return count;
  }

  crash(runner: string): void {
    this.#get(runner).crash();
  }

  /** Breaks the open connections to a runner, which goes on; returns their number. */
  reset(runner: string): number {
    const open = this.#listOpen(runner);
    for (const { broken } of open) broken.abort();
    return open.length;
  }

  /** Makes the open connections to a runner lose what is sent on them; returns their number. */
  silence(runner: string): number {
    const open = this.#listOpen(runner);
    for (const connection of open) connection.isSilent = true;
    return open.length;
  }

  stallTransfers(runner: string, isStalled: boolean): void {
    this.#get(runner).stallTransfers(isStalled);
  }

  /** Mixes frames of an older attempt, and frames that came before, into a runner's streams. */
  crossFrames(runner: string): void {
    this.#crossing.add(runner);
  }

  /** Creates the client that a process uses. */
  createClient(process: nodeProcess.NodeProcess): upstream.EngineClient {
    return {
      prefill: (runner, command, signal) => this.#prefill(process, runner, command, signal),
      decode: (runner, command, signal) =>
        this.#stream(process, runner, signal, (engine) => engine.decode(command)),
      resume: (runner, attempt, signal) =>
        this.#stream(process, runner, signal, (engine) => engine.resume(attempt, attempt.offset)),
      cancel: (runner, attempt, signal) =>
        this.#call(process, runner, signal, (engine) => {
          engine.cancel(attempt);
        }),
      readLoad: (runner, signal) =>
        this.#call(process, runner, signal, (engine) => engine.getLoad()),
      readCacheEvents: (runner, after, signal) =>
        this.#call(process, runner, signal, (engine) => engine.listCacheEvents(after)),
      sendOrder: (runner, order, signal) =>
        this.#call(process, runner, signal, (engine) => {
          engine.applyOrder(order);
        }),
    };
  }

  async #prefill(
    process: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    command: upstream.PrefillCommand,
    signal: AbortSignal,
  ): Promise<upstream.PrefillResult> {
    const engine = await this.#connect(process, runner, signal);
    using connection = this.#open(runner.name);
    const running = engine.prefill(command).catch(throwUpstreamError);
    this.#onStep(steps.STEP.prefill);
    const result = await this.#read(process, connection, running, signal);
    this.#onStep(steps.STEP.transfer);
    await process.waitRunning();
    return result;
  }

  async *#stream(
    process: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    signal: AbortSignal,
    open: (engine: engineModel.EngineModel) => AsyncIterable<upstream.DecodeEvent>,
  ): AsyncGenerator<upstream.DecodeEvent> {
    const engine = await this.#connect(process, runner, signal);
    using connection = this.#open(runner.name);
    const iterator = openStream(engine, open)[Symbol.asyncIterator]();
    for (;;) {
      const reading = iterator.next().catch(throwUpstreamError);
      const next = await this.#read(process, connection, reading, signal);
      if (next.done === true) return;
      const event = next.value;
      if (event.type === "token") this.#onStep(steps.STEP.decode);
      if (event.type === "end") this.#onStep(steps.STEP.lastToken);
      await process.waitRunning();
      if (this.#crossing.has(runner.name)) yield* createCrossedFrames(event);
      yield event;
    }
  }

  async #call<Value>(
    process: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    signal: AbortSignal,
    handle: (engine: engineModel.EngineModel) => Value,
  ): Promise<Value> {
    const engine = await this.#connect(process, runner, signal);
    try {
      return handle(engine);
    } catch (error) {
      return throwUpstreamError(error);
    }
  }

  async #connect(
    process: nodeProcess.NodeProcess,
    runner: upstream.Upstream,
    signal: AbortSignal,
  ): Promise<engineModel.EngineModel> {
    await process.waitRunning();
    await clocks.sleep(this.#clock, HOP_MS);
    await process.waitRunning();
    const engine = this.#get(runner.name);
    if (signal.aborted || !engine.alive) {
      throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.notConnected, "no connection");
    }
    return engine;
  }

  #open(runner: string): Connection & Disposable {
    const connection = {
      runner,
      broken: new AbortController(),
      isSilent: false,
      [Symbol.dispose]: () => {
        this.#connections.delete(connection);
      },
    };
    this.#connections.add(connection);
    return connection;
  }

  /** Waits for what the engine sends, unless the connection breaks, is given up, or falls silent. */
  async #read<Value>(
    process: nodeProcess.NodeProcess,
    connection: Connection,
    sending: Promise<Value>,
    signal: AbortSignal,
  ): Promise<Value> {
    sending.catch(() => undefined);
    const ends = [signal, connection.broken.signal, process.killed];
    using end = createEnd(ends);
    const arriving = sending.then(
      (value) => (connection.isSilent ? this.#waitSilence(process) : value),
      (error: unknown) => {
        if (connection.isSilent) return this.#waitSilence(process);
        throw error;
      },
    );
    const silence = this.#watchSilence(process, connection, end.signal);
    try {
      return await Promise.race([arriving, silence, waitForEnd(end.signal)]);
    } catch (error) {
      await process.waitRunning();
      throw error;
    }
  }

  async #waitSilence(process: nodeProcess.NodeProcess): Promise<never> {
    await clocks.sleep(process.clock, SILENCE_MS);
    throw createBroken("connection is silent");
  }

  /** An engine sends heartbeats, so that a client notices a silent connection. */
  async #watchSilence(
    process: nodeProcess.NodeProcess,
    connection: Connection,
    signal: AbortSignal,
  ): Promise<never> {
    for (;;) {
      await clocks
        .sleep(process.clock, SILENCE_MS, signal)
        .catch(() => new Promise(() => undefined));
      if (connection.isSilent) throw createBroken("connection is silent");
    }
  }

  #create(runner: document.Runner): engineModel.EngineModel {
    const pool = fixtures.DOCUMENT.pools.find(({ name }) => name === runner.pool);
    const engine: engineModel.EngineModel = new engineModel.EngineModel({
      clock: this.#clock,
      name: runner.name,
      role: pool?.role ?? "decode",
      model: fixtures.MODEL_NAME,
      fetchKv: async (source, handle) => {
        await clocks.sleep(this.#clock, HOP_MS);
        return this.#get(source.name).popKv(handle);
      },
      onCrash: () => {
        this.reset(runner.name);
        this.#clock.schedule(RESTART_MS, () => {
          engine.restart();
        });
      },
    });
    return engine;
  }

  #listOpen(runner: string): readonly Connection[] {
    return [...this.#connections].filter((connection) => connection.runner === runner);
  }

  #get(runner: string): engineModel.EngineModel {
    const engine = this.#engines.get(runner);
    if (!engine) throw new Error(`no runner ${runner}`);
    return engine;
  }
}

/** Turns a refusal at the start into a stream that fails, as HTTP does. */
async function* openStream(
  engine: engineModel.EngineModel,
  open: (engine: engineModel.EngineModel) => AsyncIterable<upstream.DecodeEvent>,
): AsyncGenerator<upstream.DecodeEvent> {
  yield* open(engine);
}

/** A frame of the attempt before, and the frame itself once more. */
function createCrossedFrames(event: upstream.DecodeEvent): readonly upstream.DecodeEvent[] {
  if (event.type !== "token") return [];
  const old = { ...event, attempt: event.attempt - 1, text: "old-attempt " };
  const foreign = { ...event, id: "another.1", text: "another-request " };
  return [old, foreign, { ...event }];
}

function throwUpstreamError(error: unknown): never {
  if (error instanceof engineRefusal.EngineRefusal) {
    const { refused } = upstream.UPSTREAM_FAILURE;
    throw new upstream.UpstreamError(refused, error.message, error.status);
  }
  throw createBroken(String(error));
}

function createBroken(message: string): upstream.UpstreamError {
  return new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, message);
}

interface End extends Disposable {
  readonly signal: AbortSignal;
}

/** Joins signals without keeping listeners on long-lived ones. */
function createEnd(signals: readonly AbortSignal[]): End {
  const controller = new AbortController();
  const onAbort = (): void => {
    controller.abort(createBroken("connection broke"));
  };
  for (const signal of signals) {
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  }
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      for (const signal of signals) signal.removeEventListener("abort", onAbort);
      controller.abort(createBroken("read"));
    },
  };
}

function waitForEnd(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = (): void => {
      reject(signal.reason as Error);
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  });
}
