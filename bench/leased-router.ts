/**
 * The leased policy: runs the real capacity service in every node, connected by an in-process
 * network with a delay.
 */
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

/**
 * Token gaps reported for each simulated event. The simulation has a few events per request where
 * engines send one per token, so each event stands for several gaps.
 */
const REPORTED_GAPS_PER_EVENT = 10;

/** Options of the leased policy. */
export interface LeasedRouterOptions {
  readonly policy: Partial<policies.CapacityPolicy>;
  /** Minimum age of the load reports that the capacity service reads. */
  readonly reportDelayMs: number;
}

/** Router nodes that lease runner capacity from each other. */
export class LeasedRouter implements routers.Router {
  readonly #world: scenario.World;
  readonly #fleet: localFleet.LocalFleet;
  readonly #kernels: container.Kernel[] = [];
  readonly #capacities: types.Capacity[] = [];
  readonly #stopControllers = new Map<number, AbortController>();

  constructor(world: scenario.World, options: LeasedRouterOptions) {
    this.#world = world;
    this.#fleet = new localFleet.LocalFleet(world.clock, scenario.FLEET.messageDelayMs);
    for (let index = 0; index < world.nodeCount; index += 1) {
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

  async run(outcome: requestRun.Outcome, disconnectSignal: AbortSignal): Promise<void> {
    const nodeIndex = this.#findNode(outcome.arrival.nodeSelector);
    const capacity = this.#capacities[nodeIndex];
    const stopSignal = this.#stopControllers.get(nodeIndex)?.signal;
    if (capacity === undefined || stopSignal === undefined) return;
    const exclude: string[] = [];
    for (; outcome.attempt <= routers.MAX_ATTEMPTS; outcome.attempt += 1) {
      const hasCompleted = await this.#runAttempt(
        capacity,
        outcome,
        exclude,
        disconnectSignal,
        stopSignal,
      );
      const isOver =
        disconnectSignal.aborted || outcome.refused || outcome.firstTokenMs !== undefined;
      if (hasCompleted || isOver) return;
    }
  }

  stopNode(index: number, detectionDelayMs: number): void {
    this.#stopControllers.get(index)?.abort(new Error(`node ${createVmName(index)} stopped`));
    this.#fleet.stopNode(createVmName(index), detectionDelayMs);
  }

  setPartition(groups: readonly (readonly number[])[], detectionDelayMs: number): void {
    const named = groups.map((group) => new Set(group.map(createVmName)));
    this.#fleet.setPartition(named, detectionDelayMs);
  }

  removePartition(detectionDelayMs: number): void {
    this.#fleet.removePartition(detectionDelayMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const kernel of this.#kernels) await kernel[Symbol.asyncDispose]();
  }

  /**
   * Returns the node that a caller reaches: the preferred one, or the next one that is not stopped.
   */
  #findNode(preferredIndex: number): number {
    let index = preferredIndex % this.#world.nodeCount;
    while (this.#stopControllers.get(index)?.signal.aborted === true)
      index = (index + 1) % this.#world.nodeCount;
    return index;
  }

  /** Reserves runners and runs one attempt; returns whether its decode completed. */
  async #runAttempt(
    capacity: types.Capacity,
    outcome: requestRun.Outcome,
    exclude: string[],
    disconnectSignal: AbortSignal,
    stopSignal: AbortSignal,
  ): Promise<boolean> {
    const { clock } = this.#world;
    let reservation: types.Reservation;
    try {
      reservation = await capacity.reserve(createDemand(outcome, exclude), disconnectSignal);
    } catch (error) {
      if (error instanceof resultCodes.RequestError) {
        requestRun.markRefused(outcome, this.#world);
        outcome.refusalReason = `reserve: ${error.code.message}`;
      }
      return false;
    }
    try {
      await reservation.waitForPrefillStart(disconnectSignal);
    } catch (error) {
      if (error instanceof resultCodes.RequestError) {
        requestRun.markRefused(outcome, this.#world);
        outcome.refusalReason = `wait: ${error.code.message}`;
      }
      await reservation[Symbol.asyncDispose]();
      return false;
    }
    const hasCompleted = await this.#runRunners(
      reservation,
      outcome,
      exclude,
      disconnectSignal,
      stopSignal,
    );
    if (!stopSignal.aborted) await reservation[Symbol.asyncDispose]();
    outcome.failed =
      !hasCompleted || clock.now() > outcome.arrival.at + scenario.TARGETS.deadlineMs;
    return hasCompleted;
  }

  /** Runs prefill and decode on the reserved runners; returns whether the decode completed. */
  async #runRunners(
    reservation: types.Reservation,
    outcome: requestRun.Outcome,
    exclude: string[],
    disconnectSignal: AbortSignal,
    stopSignal: AbortSignal,
  ): Promise<boolean> {
    const { arrival } = outcome;
    const { prefillRunners, decodeRunners } = this.#world;
    const prefillRunner = prefillRunners.find((runner) => runner.name === reservation.prefill.name);
    const decodeRunner = decodeRunners.find((runner) => runner.name === reservation.decode.name);
    if (prefillRunner === undefined || decodeRunner === undefined) return false;
    const attempt = { id: arrival.id, attempt: outcome.attempt };
    const onAbort = (): void => {
      if (stopSignal.aborted) return;
      prefillRunner.cancel(arrival.id);
      decodeRunner.cancel(attempt);
    };
    const onStopped = (): void => {
      outcome.failed = true;
      decodeRunner.markAbandoned(arrival.id);
    };
    const abortSignal = AbortSignal.any([disconnectSignal, reservation.revoked]);
    abortSignal.addEventListener("abort", onAbort);
    stopSignal.addEventListener("abort", onStopped);
    const onGap = (gapMs: number): void => {
      for (let reported = 0; reported < REPORTED_GAPS_PER_EVENT; reported += 1)
        reservation.recordTokenGap(gapMs);
    };
    const onImported = (): void => {
      if (!stopSignal.aborted) reservation.recordDecodeStart();
    };
    try {
      const result = await requestRun.runPrefill(outcome, this.#world, prefillRunner, decodeRunner);
      reservation.recordPrefillEnd(result.cachedTokens);
      if (abortSignal.aborted || stopSignal.aborted) {
        requestRun.recordUnusedResult(outcome, result);
        return false;
      }
      const hasCompleted = await requestRun.runDecode(
        outcome,
        this.#world,
        decodeRunner,
        result,
        onImported,
        onGap,
      );
      if (hasCompleted && outcome.gapMs !== undefined) onGap(outcome.gapMs);
      if (!hasCompleted && decodeRunner.down) {
        exclude.push(decodeRunner.name);
        reservation.recordFailure(decodeRunner.name);
      }
      return hasCompleted;
    } catch {
      if (prefillRunner.down) {
        exclude.push(prefillRunner.name);
        reservation.recordFailure(prefillRunner.name);
      }
      return false;
    } finally {
      abortSignal.removeEventListener("abort", onAbort);
      stopSignal.removeEventListener("abort", onStopped);
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
      engineClients.createSimulatedEngineClient(this.#world, options.reportDelayMs),
    );
    kernel.register("capacity", (parent) => capacities.createCapacity(parent, options.policy));
    this.#kernels.push(kernel);
    this.#capacities.push(kernel.use("capacity"));
    const stopController = new AbortController();
    events.EventEmitter.setMaxListeners(0, stopController.signal);
    this.#stopControllers.set(index, stopController);
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
