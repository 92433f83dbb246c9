/**
 * Fake runners that execute orders and load weights in virtual time, and record the orders that
 * they receive.
 */
import type * as clocks from "../../src/kernel/clock.js";
import type * as document from "../../src/settings/document.js";
import type * as upstream from "../../src/upstream/types.js";
import * as documents from "../membership/documents.js";

/** Size of the model weights in `createRunnersDocument`. */
export const WEIGHT_BYTES = 8000;
/** Bandwidth of the weight store in `createRunnersDocument`. */
export const BYTES_PER_SECOND = 1000;
const LOAD_MS = 8000;

/** An order as received by a runner. */
export interface ReceivedOrder {
  readonly from: string;
  readonly runner: string;
  readonly order: upstream.RunnerOrder;
  /** Virtual time of receipt. */
  readonly at: number;
}

interface RunnerState {
  served: upstream.RunnerOrder;
  loading: boolean;
  fencing: number;
}

/** Creates a document with four runners in two pools of one model. */
export function createRunnersDocument(
  revision: number,
  version: string,
  checksFencing: boolean,
): document.FleetDocument {
  const runner = (name: string, pool: string, zone: string, port: number): document.Runner => ({
    name,
    host: "10.1.0.1",
    port,
    zone,
    pool,
    slots: 20,
    pieces: 4000,
    prefillTokensPerSecond: 10_000,
    stepMs: 30,
    checksFencing,
  });
  return {
    ...documents.createDocument(revision),
    models: [
      {
        name: "model-1",
        version,
        adapters: ["adapter-1"],
        weightBytes: WEIGHT_BYTES,
        tokensPerPiece: 16,
        kvBytesPerToken: 1000,
        maxOutputTokens: 1000,
      },
    ],
    pools: [
      { name: "prefill", role: "prefill", model: "model-1" },
      { name: "decode", role: "decode", model: "model-1" },
    ],
    runners: [
      runner("p1", "prefill", "zone-a", 8001),
      runner("p2", "prefill", "zone-b", 8002),
      runner("d1", "decode", "zone-a", 8003),
      runner("d2", "decode", "zone-c", 8004),
    ],
    weightStore: { bytesPerSecond: BYTES_PER_SECOND },
  };
}

/** The fake runners of a fleet. */
export class FakeRunners {
  readonly received: ReceivedOrder[] = [];
  /** Maximum number of runners that loaded weights at the same time. */
  maxLoading = 0;
  /** Whether the response to an order is lost after the runner accepted it. */
  isAnswerLost: () => boolean = () => false;
  /** Whether load reports contain the fencing number of the last order. */
  reportsFencing = true;
  readonly #clock: clocks.Clock;
  readonly #states = new Map<string, RunnerState>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /** Sets the state of a runner, as a manual change would. */
  setServed(runner: string, served: upstream.RunnerOrder): void {
    this.#states.set(runner, { served, loading: false, fencing: served.fencing });
  }

  isServing(runner: string, version: string): boolean {
    return this.#states.get(runner)?.served.version === version;
  }

  getServed(runner: string): upstream.RunnerOrder {
    const state = this.#states.get(runner);
    if (state === undefined) throw new Error(`unknown runner: ${runner}`);
    return state.served;
  }

  /** Creates the engine client of node `vm`, with only the methods that orders use. */
  createClient(vm: string): upstream.EngineClient {
    const client: Partial<upstream.EngineClient> = {
      readLoad: (runner) => Promise.resolve(this.#createLoad(runner.name)),
      sendOrder: (runner, order) => this.#handleOrder(vm, runner.name, order),
    };
    return client as upstream.EngineClient;
  }

  #createLoad(runner: string): upstream.RunnerLoad {
    const { served, fencing } = this.#getState(runner);
    return {
      slotsUsed: 0,
      slotsTotal: 20,
      piecesUsed: 0,
      piecesTotal: 4000,
      queuedPrefillTokens: 0,
      model: served.model,
      adapters: served.adapters,
      version: served.version,
      role: served.role,
      fencing: this.reportsFencing ? fencing : 0,
      ageMs: 0,
      held: [],
    };
  }

  #handleOrder(vm: string, runner: string, order: upstream.RunnerOrder): Promise<void> {
    const state = this.#getState(runner);
    this.received.push({ from: vm, runner, order, at: this.#clock.now() });
    state.fencing = order.fencing;
    const hasWeightChange = order.version !== state.served.version;
    if (!hasWeightChange) state.served = order;
    else if (!state.loading) this.#startLoading(state, order);
    return this.isAnswerLost() ? Promise.reject(new Error("answer lost")) : Promise.resolve();
  }

  #startLoading(state: RunnerState, order: upstream.RunnerOrder): void {
    state.loading = true;
    const loading = [...this.#states.values()].filter((other) => other.loading);
    this.maxLoading = Math.max(this.maxLoading, loading.length);
    this.#clock.schedule(LOAD_MS, () => {
      state.loading = false;
      state.served = order;
    });
  }

  #getState(runner: string): RunnerState {
    const state = this.#states.get(runner);
    if (state === undefined) throw new Error(`unknown runner: ${runner}`);
    return state;
  }
}
