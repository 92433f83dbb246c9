/**
 * The simulated fleet of one matrix run, in virtual time: nodes, network, platform and upstreams.
 */
import * as clocks from "../../src/kernel/clock.js";
import * as fakeClock from "../fake-clock.js";
import * as memoryTransport from "../memory-transport.js";
import type * as matrixCaller from "./matrix-caller.js";
import * as engineFleet from "./engine-fleet.js";
import * as fixtures from "./fixtures.js";
import * as matrixPlatform from "./matrix-platform.js";
import * as naiveRouter from "./naive-router.js";
import * as nodeProcess from "./node-process.js";
import type * as observed from "./observed-network.js";
import * as plainService from "./plain-service.js";
import * as realNode from "./real-node.js";
import type * as router from "./router.js";
import * as steps from "./steps.js";

const NETWORK_DELAY_MS = 1;
const ADDRESS_TIMEOUT_MS = 1000;
const CONVERGENCE_MS = 4000;
const TICK_MS = 100;

/** The router that a simulation runs. */
export const ROUTER = { real: "real", naive: "naive" } as const;

/** One of the values of `ROUTER`. */
export type Router = (typeof ROUTER)[keyof typeof ROUTER];

/** Options of a simulation. */
export interface SimulationOptions {
  readonly router: Router;
  readonly seed: number;
  readonly mutant?: observed.Mutant;
}

/** A simulated fleet with its network, platform, service backends and engines. */
export class Simulation implements matrixCaller.CallerEnvironment, Disposable {
  readonly clock = fakeClock.createFakeClock();
  readonly network = new memoryTransport.MemoryNetwork(this.clock);
  readonly nodes = new Map<string, router.RouterNode>();
  readonly service: plainService.PlainServiceStandin;
  readonly platform = new matrixPlatform.MatrixPlatform(this.clock);
  readonly engines: engineFleet.EngineFleet;
  readonly reachedSteps = new Set<steps.Step>();
  readonly #options: SimulationOptions;
  readonly #actions: { readonly step: steps.Step; readonly action: () => void }[] = [];
  #startedNodes = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    const onStep = (step: steps.Step): void => {
      this.markStep(step);
    };
    this.service = new plainService.PlainServiceStandin(this.clock, fixtures.SERVICE, onStep);
    this.engines = new engineFleet.EngineFleet(this.clock, onStep);
  }

  /** Starts every node and advances time until membership has converged. */
  async start(): Promise<void> {
    const nodeStarts = fixtures.VMS.map((vm) => this.startNode(vm));
    await this.clock.advance(CONVERGENCE_MS);
    await Promise.all(nodeStarts);
  }

  /** Starts a node process on a VM; it takes the place of an earlier one, which is not stopped. */
  async startNode(vm: fixtures.MatrixVm): Promise<void> {
    const process = new nodeProcess.NodeProcess(vm.vm, this.clock);
    const { router: kind } = this.#options;
    if (kind === ROUTER.naive) {
      this.nodes.set(vm.vm, this.#createNaiveNode(process));
      return;
    }
    const node = this.#createRealNode(vm, process);
    this.nodes.set(vm.vm, node);
    await node.start();
  }

  /** Kills every process, so that nothing keeps the simulation in memory. */
  [Symbol.dispose](): void {
    for (const { process } of this.nodes.values()) process.kill();
  }

  /**
   * Runs `action` once, when `step` is next reached; a second action for it, the time after that.
   */
  onStep(step: steps.Step, action: () => void): void {
    this.#actions.push({ step, action });
  }

  /** Records that a step was reached, and runs the first action registered for it. */
  markStep(step: steps.Step): void {
    this.reachedSteps.add(step);
    const index = this.#actions.findIndex((entry) => entry.step === step);
    const [entry] = index < 0 ? [] : this.#actions.splice(index, 1);
    entry?.action();
  }

  /** Advances time until `task` has ended, by at most `limitMs`; returns whether it has ended. */
  async waitFor(task: Promise<unknown>, limitMs: number): Promise<boolean> {
    const progress = { isDone: false };
    void task.finally(() => (progress.isDone = true));
    for (let waitedMs = 0; waitedMs < limitMs && !progress.isDone; waitedMs += TICK_MS) {
      await this.clock.advance(TICK_MS);
    }
    return progress.isDone;
  }

  isHealthy(vm: string): boolean {
    const node = this.nodes.get(vm);
    return node !== undefined && node.isOpen && node.process.isRunning;
  }

  /** Lists the VMs whose node process runs and accepts callers. */
  listHealthy(): readonly string[] {
    return [...this.nodes.keys()].filter((vm) => this.isHealthy(vm));
  }

  async readAddress(): Promise<
    { readonly vms: readonly string[]; readonly session: string } | undefined
  > {
    for (const node of this.nodes.values()) {
      if (node.process.killSignal.aborted || !node.isOpen) continue;
      if (node.process.isRunning) return node.handleAddressRequest();
      await clocks.sleep(this.clock, ADDRESS_TIMEOUT_MS);
    }
    return undefined;
  }

  countExecutions(id: string): number {
    const runs = this.service.executions.filter((execution) => execution.id === id).length;
    return runs + this.engines.countExecutions(id);
  }

  async send(
    vm: string,
    request: router.MatrixRequest,
    signal: AbortSignal,
    onToken: (token: matrixCaller.ReceivedToken) => void,
  ): Promise<string> {
    const node = this.nodes.get(vm);
    if (!node?.isOpen || node.process.killSignal.aborted)
      throw new Error(`connection refused by ${vm}`);
    const connectionSignal = AbortSignal.any([signal, node.process.killSignal]);
    await clocks.sleep(this.clock, NETWORK_DELAY_MS, connectionSignal);
    const response = this.#serve(node, request, signal, onToken);
    const text = await Promise.race([response, waitForAbort(connectionSignal)]);
    await clocks.sleep(this.clock, NETWORK_DELAY_MS);
    return text;
  }

  /** Emulates the HTTP layer of a node: reports steps and returns the complete answer's text. */
  async #serve(
    node: router.RouterNode,
    request: router.MatrixRequest,
    signal: AbortSignal,
    onToken: (token: matrixCaller.ReceivedToken) => void,
  ): Promise<string> {
    const { process } = node;
    await process.waitUntilRunning();
    this.markStep(steps.STEP.accepted);
    await process.waitUntilRunning();
    let text = "";
    if (request.path === "plain") {
      const response = await node.handleBooking(request, signal);
      text = Buffer.from(response.body).toString();
    } else {
      for await (const token of node.handleModel(request, signal)) {
        await process.waitUntilRunning();
        if (signal.aborted) break;
        text += token.text;
        onToken(token);
      }
    }
    this.markStep(steps.STEP.reply);
    await process.waitUntilRunning();
    return text;
  }

  #createNaiveNode(process: nodeProcess.NodeProcess): router.RouterNode {
    const vms = fixtures.VMS.map(({ vm }) => vm);
    const client = this.service.createClient(process);
    const engines = this.engines.createClient(process);
    return new naiveRouter.NaiveNode({ process, backends: client, engines, vms });
  }

  #createRealNode(
    { vm, zone, host }: fixtures.MatrixVm,
    process: nodeProcess.NodeProcess,
  ): realNode.RealNode {
    this.#startedNodes += 1;
    return new realNode.RealNode({
      process,
      zone,
      host,
      seed: this.#options.seed * 1000 + this.#startedNodes,
      network: this.network,
      platform: this.platform.createClient(vm),
      document: fixtures.DOCUMENT,
      service: this.service,
      engines: this.engines,
      onStep: (step) => {
        this.markStep(step);
      },
      mutant: this.#options.mutant,
    });
  }
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
