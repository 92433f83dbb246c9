/** A plain service on several backends, outside the router, that counts what it executes. */
import * as clocks from "../../src/kernel/clock.js";
import type * as document from "../../src/settings/document.js";
import * as upstream from "../../src/upstream/types.js";
import type * as nodeProcess from "./node-process.js";
import * as steps from "./steps.js";

const CONNECT_MS = 1;
const RUN_MS = 20;
const REPLY_MS = 20;

/** One execution, as the service saw it. */
export interface Execution {
  readonly backend: string;
  /** `Idempotency-Key` of the request; empty when it had none. */
  readonly id: string;
  readonly body: string;
  /** Time of the run, on the base clock. */
  readonly at: number;
}

interface Connection {
  readonly broken: AbortController;
  isSilent: boolean;
}

interface BackendState {
  readonly connections: Set<Connection>;
  isDown: boolean;
  extraReplyMs: number;
  resumed: Promise<void> | undefined;
  resume: () => void;
}

/** The service's backends and their faults. */
export class PlainServiceStandin {
  readonly executions: Execution[] = [];
  readonly #clock: clocks.Clock;
  readonly #onStep: steps.StepListener;
  readonly #states = new Map<string, BackendState>();
  /** Body whose execution crashes the backend. */
  poison: string | undefined;

  constructor(clock: clocks.Clock, service: document.PlainService, onStep: steps.StepListener) {
    this.#clock = clock;
    this.#onStep = onStep;
    for (const { name } of service.backends) {
      this.#states.set(name, {
        connections: new Set(),
        isDown: false,
        extraReplyMs: 0,
        resumed: undefined,
        resume: () => undefined,
      });
    }
  }

  /** Backends that a request is at. */
  listBusy(): readonly string[] {
    const names = [...this.#states.keys()];
    return names.filter((name) => this.#getState(name).connections.size > 0);
  }

  /** Ends a backend: open connections break, new ones are refused. */
  kill(backend: string): void {
    const state = this.#getState(backend);
    state.isDown = true;
    this.reset(backend);
  }

  /** Starts a killed backend again. */
  restart(backend: string): void {
    this.#getState(backend).isDown = false;
  }

  /** Breaks the open connections of a backend; returns their number. */
  reset(backend: string): number {
    const { connections } = this.#getState(backend);
    for (const { broken } of connections) broken.abort();
    return connections.size;
  }

  /** Makes the open connections of a backend lose what is sent on them; returns their number. */
  silence(backend: string): number {
    const { connections } = this.#getState(backend);
    for (const connection of connections) connection.isSilent = true;
    return connections.size;
  }

  pause(backend: string): void {
    const state = this.#getState(backend);
    state.resumed = new Promise((resolve) => (state.resume = resolve));
  }

  resume(backend: string): void {
    const state = this.#getState(backend);
    state.resumed = undefined;
    state.resume();
  }

  /** Delays the replies of a backend. */
  setReplyDelay(backend: string, extraMs: number): void {
    this.#getState(backend).extraReplyMs = extraMs;
  }

  /** Creates the client that a process uses. */
  createClient(process: nodeProcess.NodeProcess): upstream.ServiceClient {
    return {
      send: async (backend, request, { signal }) => {
        await process.waitRunning();
        const response = await this.#send(backend.name, request, process, signal);
        await process.waitRunning();
        return response;
      },
    };
  }

  async #send(
    backend: string,
    request: upstream.PlainRequest,
    process: nodeProcess.NodeProcess,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const state = this.#getState(backend);
    await clocks.sleep(this.#clock, CONNECT_MS);
    await process.waitRunning();
    if (signal.aborted || state.isDown) {
      throw new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.notConnected, "no connection");
    }
    const connection: Connection = { broken: new AbortController(), isSilent: false };
    state.connections.add(connection);
    this.#onStep(steps.STEP.sentUpstream);
    const serving = this.#serve(backend, request, connection);
    try {
      return await Promise.race([serving, waitForAbort(connection.broken.signal, signal)]);
    } catch (error) {
      await process.waitRunning();
      throw error;
    } finally {
      state.connections.delete(connection);
    }
  }

  /** Runs what was received, whether or not anybody still waits for the answer. */
  async #serve(
    backend: string,
    request: upstream.PlainRequest,
    connection: Connection,
  ): Promise<upstream.PlainResponse> {
    const state = this.#getState(backend);
    await clocks.sleep(this.#clock, RUN_MS);
    await waitResumed(state);
    if (state.isDown || connection.isSilent) await new Promise(() => undefined);
    const body = Buffer.from(request.body).toString();
    const id = request.headers["idempotency-key"] ?? "";
    this.executions.push({ backend, id, body, at: this.#clock.now() });
    this.#onStep(steps.STEP.ran);
    if (body === this.poison) this.kill(backend);
    await clocks.sleep(this.#clock, REPLY_MS + state.extraReplyMs);
    await waitResumed(state);
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

async function waitResumed(state: BackendState): Promise<void> {
  while (state.resumed) await state.resumed;
}

/** Rejects as a broken call when either signal aborts. */
function waitForAbort(...signals: readonly AbortSignal[]): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = (): void => {
      reject(new upstream.UpstreamError(upstream.UPSTREAM_FAILURE.broken, "connection broke"));
    };
    for (const signal of signals) {
      if (signal.aborted) onAbort();
      else signal.addEventListener("abort", onAbort, { once: true });
    }
  });
}
