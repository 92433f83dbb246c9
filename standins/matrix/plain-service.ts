/** A plain service with several backends and their faults, which records what it executes. */
import * as clocks from "../../src/kernel/clock.js";
import type * as document from "../../src/settings/document.js";
import * as upstream from "../../src/upstream/types.js";
import type * as nodeProcess from "./node-process.js";
import * as steps from "./steps.js";

const CONNECT_DELAY_MS = 1;
const EXECUTION_MS = 20;
const REPLY_DELAY_MS = 20;

/** An execution of a request, as the service recorded it. */
export interface Execution {
  readonly backend: string;
  /** The request's `Idempotency-Key`; empty when it had none. */
  readonly id: string;
  readonly body: string;
  /** Time of the execution on the simulation's clock. */
  readonly at: number;
}

interface Connection {
  /** Aborted when the connection is reset. */
  readonly resetController: AbortController;
  /** Whether data in either direction no longer arrives. */
  isSilent: boolean;
}

interface BackendState {
  readonly connections: Set<Connection>;
  isDown: boolean;
  extraReplyMs: number;
  /** Settles when the paused backend resumes; `undefined` while it runs. */
  resumePromise: Promise<void> | undefined;
  resolveResume: () => void;
}

/** An in-memory plain service. */
export class PlainServiceStandin {
  readonly executions: Execution[] = [];
  readonly #clock: clocks.Clock;
  readonly #onStep: steps.StepListener;
  readonly #states = new Map<string, BackendState>();
  /** Request body whose execution crashes the backend. */
  poison: string | undefined;

  constructor(clock: clocks.Clock, service: document.PlainService, onStep: steps.StepListener) {
    this.#clock = clock;
    this.#onStep = onStep;
    for (const { name } of service.backends) {
      this.#states.set(name, {
        connections: new Set(),
        isDown: false,
        extraReplyMs: 0,
        resumePromise: undefined,
        resolveResume: () => undefined,
      });
    }
  }

  /** Lists the backends with a request in progress. */
  listActiveBackends(): readonly string[] {
    const names = [...this.#states.keys()];
    return names.filter((name) => this.#getState(name).connections.size > 0);
  }

  /** Stops a backend: open connections are reset, new ones are refused. */
  kill(backend: string): void {
    const state = this.#getState(backend);
    state.isDown = true;
    this.resetConnections(backend);
  }

  /** Restarts a killed backend. */
  restart(backend: string): void {
    this.#getState(backend).isDown = false;
  }

  /** Resets the open connections of a backend; returns their number. */
  resetConnections(backend: string): number {
    const { connections } = this.#getState(backend);
    for (const { resetController: broken } of connections) broken.abort();
    return connections.size;
  }

  /** Drops all further data on the open connections of a backend; returns their number. */
  silenceConnections(backend: string): number {
    const { connections } = this.#getState(backend);
    for (const connection of connections) connection.isSilent = true;
    return connections.size;
  }

  /** Defers executions and replies of a backend until `resume`. */
  pause(backend: string): void {
    const state = this.#getState(backend);
    state.resumePromise = new Promise((resolve) => (state.resolveResume = resolve));
  }

  resume(backend: string): void {
    const state = this.#getState(backend);
    state.resumePromise = undefined;
    state.resolveResume();
  }

  /** Sets the time by which the replies of a backend are late. */
  setReplyDelay(backend: string, extraMs: number): void {
    this.#getState(backend).extraReplyMs = extraMs;
  }

  /** Creates the service client of a process. */
  createClient(clientProcess: nodeProcess.NodeProcess): upstream.ServiceClient {
    return {
      send: async (backend, request, signal) => {
        await clientProcess.waitUntilRunning();
        const response = await this.#send(backend.name, request, clientProcess, signal);
        await clientProcess.waitUntilRunning();
        return response;
      },
    };
  }

  async #send(
    backend: string,
    request: upstream.PlainRequest,
    clientProcess: nodeProcess.NodeProcess,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const state = this.#getState(backend);
    await clocks.sleep(this.#clock, CONNECT_DELAY_MS);
    await clientProcess.waitUntilRunning();
    if (signal.aborted || state.isDown) {
      const reason = signal.aborted ? "the client aborted" : "the backend is down";
      const message = `no connection to backend ${backend}: ${reason}`;
      throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.notConnected, message);
    }
    const connection: Connection = { resetController: new AbortController(), isSilent: false };
    state.connections.add(connection);
    this.#onStep(steps.STEP.sentUpstream);
    const response = this.#serve(backend, request, connection);
    try {
      return await Promise.race([
        response,
        waitForAbort(connection.resetController.signal, signal),
      ]);
    } catch (error) {
      await clientProcess.waitUntilRunning();
      throw error;
    } finally {
      state.connections.delete(connection);
    }
  }

  /**
   * Executes a received request, whether or not the client still waits for the answer. Never
   * settles when the backend is down or the connection silent.
   */
  async #serve(
    backend: string,
    request: upstream.PlainRequest,
    connection: Connection,
  ): Promise<upstream.PlainResponse> {
    const state = this.#getState(backend);
    await clocks.sleep(this.#clock, EXECUTION_MS);
    await waitUntilResumed(state);
    if (state.isDown || connection.isSilent) await new Promise(() => undefined);
    const body = Buffer.from(request.body).toString();
    const id = request.headers["idempotency-key"] ?? "";
    this.executions.push({ backend, id, body, at: this.#clock.now() });
    this.#onStep(steps.STEP.ran);
    if (body === this.poison) this.kill(backend);
    await clocks.sleep(this.#clock, REPLY_DELAY_MS + state.extraReplyMs);
    await waitUntilResumed(state);
    if (state.isDown || connection.isSilent) await new Promise(() => undefined);
    const text = JSON.stringify({ booked: body, execution: this.executions.length });
    return { status: 201, headers: {}, body: Buffer.from(text) };
  }

  #getState(backend: string): BackendState {
    const state = this.#states.get(backend);
    if (!state) throw new Error(`no backend ${backend}`);
    return state;
  }
}

async function waitUntilResumed(state: BackendState): Promise<void> {
  while (state.resumePromise) await state.resumePromise;
}

/** Rejects with `UpstreamError` for a broken connection when any of the signals aborts. */
function waitForAbort(...signals: readonly AbortSignal[]): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = (): void => {
      reject(
        new upstream.UpstreamError(
          upstream.UPSTREAM_FAILURE.broken,
          "connection was reset or its client aborted",
        ),
      );
    };
    for (const signal of signals) {
      if (signal.aborted) onAbort();
      else signal.addEventListener("abort", onAbort, { once: true });
    }
  });
}
