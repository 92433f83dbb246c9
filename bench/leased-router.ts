/** Our policy: the real capacity service in each node, over in-process peers with a delay. */
import * as events from "node:events";
import type * as policies from "../src/capacity/policy.js";
import * as capacities from "../src/capacity/capacity.js";
import type * as types from "../src/capacity/types.js";
import * as container from "../src/kernel/container.js";
import * as random from "../src/kernel/random.js";
import type * as platform from "../src/configuration/types.js";
import * as resultCodes from "../src/protocol/result-codes.js";
import * as engineClients from "./model-engine-client.js";
import * as fleetDocument from "./fleet-document.js";
import * as localFleet from "./local-fleet.js";
import * as requestRun from "./request-run.js";
import * as routers from "./router.js";
import * as scenario from "./scenario.js";

/** Gaps told for one request; the model has one event a request where engines have one a token. */
const TOLD_GAPS = 10;

/** Options of the policy in the bench. */
export interface LeasedRouterOptions {
  readonly policy: Partial<policies.CapacityPolicy>;
  readonly reportAgeMs: number;
}

/** Routers whose nodes lease capacity from each other. */
export class LeasedRouter implements routers.Router {
  readonly #world: scenario.World;
  readonly #fleet: localFleet.LocalFleet;
  readonly #kernels: container.Kernel[] = [];
  readonly #capacities: types.Capacity[] = [];
  readonly #stopped = new Map<number, AbortController>();

  constructor(world: scenario.World, options: LeasedRouterOptions) {
    this.#world = world;
    this.#fleet = new localFleet.LocalFleet(world.clock, scenario.FLEET.messageDelayMs);
    for (let index = 0; index < world.nodes; index += 1) {
      this.#addNode(index, options);
    }
  }

  async start(): Promise<void> {
    await Promise.all(this.#capacities.map((capacity) => capacity.start()));
  }

  countMessages(): number {
    return this.#fleet.sentMessages;
  }

  countBytes(): number {
    return this.#fleet.sentBytes;
  }

  async run(outcome: requestRun.Outcome, left: AbortSignal): Promise<void> {
    const index = this.#findNode(outcome.arrival.node);
    const capacity = this.#capacities[index];
    const stopped = this.#stopped.get(index)?.signal;
    if (capacity === undefined || stopped === undefined) return;
    const exclude: string[] = [];
    for (; outcome.attempt <= routers.MAX_ATTEMPTS; outcome.attempt += 1) {
      const hasEnded = await this.#runAttempt(capacity, outcome, exclude, left, stopped);
      const isOver = left.aborted || outcome.refused || outcome.firstTokenMs !== undefined;
      if (hasEnded || isOver) return;
    }
  }

  stopNode(index: number, detectMs: number): void {
    this.#stopped.get(index)?.abort(new Error("node stopped"));
    this.#fleet.stopNode(createVmName(index), detectMs);
  }

  setPartition(groups: readonly (readonly number[])[], detectMs: number): void {
    const named = groups.map((group) => new Set(group.map(createVmName)));
    this.#fleet.setPartition(named, detectMs);
  }

  removePartition(detectMs: number): void {
    this.#fleet.removePartition(detectMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const kernel of this.#kernels) await kernel[Symbol.asyncDispose]();
  }

  /** Node that the caller reaches; callers of a stopped one use the next. */
  #findNode(chosen: number): number {
    let index = chosen % this.#world.nodes;
    while (this.#stopped.get(index)?.signal.aborted === true)
      index = (index + 1) % this.#world.nodes;
    return index;
  }

  async #runAttempt(
    capacity: types.Capacity,
    outcome: requestRun.Outcome,
    exclude: string[],
    left: AbortSignal,
    stopped: AbortSignal,
  ): Promise<boolean> {
    const { clock } = this.#world;
    let reservation: types.Reservation;
    try {
      reservation = await capacity.reserve(createDemand(outcome, exclude), left);
    } catch (error) {
      if (error instanceof resultCodes.RequestError) {
        requestRun.markRefused(outcome, this.#world);
        outcome.refusalReason = `reserve: ${error.code.message}`;
      }
      return false;
    }
    try {
      await reservation.waitForPrefill(left);
    } catch (error) {
      if (error instanceof resultCodes.RequestError) {
        requestRun.markRefused(outcome, this.#world);
        outcome.refusalReason = `wait: ${error.code.message}`;
      }
      await reservation[Symbol.asyncDispose]();
      return false;
    }
    const hasEnded = await this.#runRunners(reservation, outcome, exclude, left, stopped);
    if (!stopped.aborted) await reservation[Symbol.asyncDispose]();
    outcome.failed = !hasEnded || clock.now() > outcome.arrival.at + 60_000;
    return hasEnded;
  }

  async #runRunners(
    reservation: types.Reservation,
    outcome: requestRun.Outcome,
    exclude: string[],
    left: AbortSignal,
    stopped: AbortSignal,
  ): Promise<boolean> {
    const { arrival } = outcome;
    const { prefillRunners: prefills, decodeRunners: decodes } = this.#world;
    const prefill = prefills.find((runner) => runner.name === reservation.prefill.name);
    const decode = decodes.find((runner) => runner.name === reservation.decode.name);
    if (prefill === undefined || decode === undefined) return false;
    const attempt = { id: arrival.id, attempt: outcome.attempt };
    const onEnd = (): void => {
      if (stopped.aborted) return;
      prefill.cancel(arrival.id);
      decode.cancel(attempt);
    };
    const onStopped = (): void => {
      outcome.failed = true;
      decode.markAbandoned(arrival.id);
    };
    const end = AbortSignal.any([left, reservation.revoked]);
    end.addEventListener("abort", onEnd);
    stopped.addEventListener("abort", onStopped);
    const onGap = (gapMs: number): void => {
      for (let told = 0; told < TOLD_GAPS; told += 1) reservation.recordTokenGap(gapMs);
    };
    const onImported = (): void => {
      if (!stopped.aborted) reservation.recordDecodeStart();
    };
    try {
      const result = await requestRun.runPrefill(outcome, this.#world, prefill, decode);
      reservation.recordPrefillEnd(result.cachedTokens);
      if (end.aborted || stopped.aborted) {
        requestRun.recordUnusedResult(outcome, result);
        return false;
      }
      const hasEnded = await requestRun.runDecode(
        outcome,
        this.#world,
        decode,
        result,
        onImported,
        onGap,
      );
      if (hasEnded && outcome.gapMs !== undefined) onGap(outcome.gapMs);
      if (!hasEnded && decode.down) {
        exclude.push(decode.name);
        reservation.recordFailure(decode.name);
      }
      return hasEnded;
    } catch {
      if (prefill.down) {
        exclude.push(prefill.name);
        reservation.recordFailure(prefill.name);
      }
      return false;
    } finally {
      end.removeEventListener("abort", onEnd);
      stopped.removeEventListener("abort", onStopped);
    }
  }

  #addNode(index: number, options: LeasedRouterOptions): void {
    const zone = scenario.FLEET.zones[index % scenario.FLEET.zones.length] ?? "";
    const node = this.#fleet.addNode(createVmName(index), zone, "region");
    const kernel = container.createKernel();
    kernel.register("clock", () => this.#world.clock);
    kernel.register("random", () => random.createSeededRandom(100 + index));
    kernel.register("network", () => node.network);
    kernel.register("membership", () => node.membership);
    kernel.register("log", () => ({ write: () => undefined }));
    kernel.register("configuration", createConfiguration);
    kernel.register("engines", () =>
      engineClients.createSimulatedEngineClient(this.#world, options.reportAgeMs),
    );
    kernel.register("capacity", (parent) => capacities.createCapacity(parent, options.policy));
    this.#kernels.push(kernel);
    this.#capacities.push(kernel.use("capacity"));
    const stopped = new AbortController();
    events.EventEmitter.setMaxListeners(0, stopped.signal);
    this.#stopped.set(index, stopped);
  }
}

function createVmName(index: number): string {
  return `vm${index}`;
}

function createDemand(outcome: requestRun.Outcome, exclude: readonly string[]): types.Demand {
  const { arrival } = outcome;
  return {
    id: arrival.id,
    attempt: outcome.attempt,
    caller: arrival.caller,
    model: fleetDocument.MODEL,
    promptTokens: arrival.promptTokens,
    maxTokens: arrival.maxTokens,
    prefixes: arrival.prefixes,
    priority: 5,
    share: 1,
    firstTokenBy: arrival.at + scenario.TARGETS.firstTokenMs,
    betweenTokensMs: scenario.TARGETS.betweenTokensMs,
    deadline: arrival.at + scenario.TARGETS.deadlineMs,
    exclude,
  };
}

function createConfiguration(): platform.Configuration {
  return {
    current: { document: fleetDocument.createFleetDocument(), revision: 1, digest: "" },
    ready: true,
    lastRefusal: undefined,
    apply: () => true,
    onChange: () => ({ [Symbol.dispose]: () => undefined }),
    start: () => Promise.resolve(),
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
}
