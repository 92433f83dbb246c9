/** One run of the matrix: a router's nodes, the network, the service and the callers, in virtual time. */
import * as clocks from "../../src/kernel/clock.js";
import type * as platform from "../../src/platform/types.js";
import * as fakeClock from "../fake-clock.js";
import * as memoryTransport from "../memory-transport.js";
import type * as matrixCaller from "./matrix-caller.js";
import * as engineFleet from "./engine-fleet.js";
import * as fixtures from "./fixtures.js";
import * as naiveRouter from "./naive-router.js";
import * as nodeProcess from "./node-process.js";
import type * as observed from "./observed-network.js";
import * as plainService from "./plain-service.js";
import * as realNode from "./real-node.js";
import type * as router from "./router.js";
import * as steps from "./steps.js";

const HOP_MS = 1;
const ADDRESS_LIMIT_MS = 1000;
const CONVERGENCE_MS = 4000;
const TICK_MS = 100;

/** Which router a world runs. */
export const ROUTER = { real: "real", naive: "naive" } as const;

/** One of the values of `ROUTER`. */
export type Router = (typeof ROUTER)[keyof typeof ROUTER];

/** How a world is made. */
export interface WorldOptions {
  readonly router: Router;
  readonly seed: number;
  readonly mutant?: observed.Mutant;
}

/** What the platform's list of VMs answers. */
interface PlatformState {
  isDown: boolean;
}

/** A fleet in virtual time and everything around it. */
export class World implements matrixCaller.CallerPorts {
  readonly clock = fakeClock.createFakeClock();
  readonly net = new memoryTransport.MemoryNetwork(this.clock);
  readonly nodes = new Map<string, router.RouterNode>();
  readonly service: plainService.PlainServiceStandin;
  readonly platform: PlatformState = { isDown: false };
  readonly engines: engineFleet.EngineFleet;
  readonly reached = new Set<steps.Step>();
  readonly #options: WorldOptions;
  readonly #actions: { readonly step: steps.Step; readonly action: () => void }[] = [];
  #started = 0;

  constructor(options: WorldOptions) {
    this.#options = options;
    const onStep = (step: steps.Step): void => {
      this.markStep(step);
    };
    this.service = new plainService.PlainServiceStandin(this.clock, fixtures.SERVICE, onStep);
    this.engines = new engineFleet.EngineFleet(this.clock, onStep);
  }

  /** Starts every node and waits until they know each other. */
  async start(): Promise<void> {
    const starting = fixtures.VMS.map((vm) => this.startNode(vm));
    await this.clock.advance(CONVERGENCE_MS);
    await Promise.all(starting);
  }

  /** Starts a process on a VM, in place of an earlier one. */
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

  /** Runs `action` once, as soon as `step` is reached. */
  onStep(step: steps.Step, action: () => void): void {
    this.#actions.push({ step, action });
  }

  /** Tells that a step was reached. */
  markStep(step: steps.Step): void {
    this.reached.add(step);
    const index = this.#actions.findIndex((entry) => entry.step === step);
    const [entry] = index < 0 ? [] : this.#actions.splice(index, 1);
    entry?.action();
  }

  /** Moves time on until `task` has ended, at most `limitMs`; returns whether it has. */
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

  /** VMs whose process runs and accepts callers. */
  listHealthy(): readonly string[] {
    return [...this.nodes.keys()].filter((vm) => this.isHealthy(vm));
  }

  async askAddress(): Promise<
    { readonly vms: readonly string[]; readonly session: string } | undefined
  > {
    for (const node of this.nodes.values()) {
      if (node.process.killed.aborted || !node.isOpen) continue;
      if (node.process.isRunning) return node.handleAddressQuestion();
      await clocks.sleep(this.clock, ADDRESS_LIMIT_MS);
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
    if (!node?.isOpen || node.process.killed.aborted) throw new Error("connection refused");
    const connection = AbortSignal.any([signal, node.process.killed]);
    await clocks.sleep(this.clock, HOP_MS, connection);
    const serving = this.#serve(node, request, signal, onToken);
    const text = await Promise.race([serving, waitForAbort(connection)]);
    await clocks.sleep(this.clock, HOP_MS);
    return text;
  }

  /** What the HTTP front of a node does. */
  async #serve(
    node: router.RouterNode,
    request: router.MatrixRequest,
    signal: AbortSignal,
    onToken: (token: matrixCaller.ReceivedToken) => void,
  ): Promise<string> {
    const { process } = node;
    await process.waitRunning();
    this.markStep(steps.STEP.accepted);
    await process.waitRunning();
    let text = "";
    if (request.path === "plain") {
      const response = await node.handleBooking(request, signal);
      text = Buffer.from(response.body).toString();
    } else {
      for await (const token of node.handleModel(request, signal)) {
        await process.waitRunning();
        if (signal.aborted) break;
        text += token.text;
        onToken(token);
      }
    }
    this.markStep(steps.STEP.reply);
    await process.waitRunning();
    return text;
  }

  #createNaiveNode(process: nodeProcess.NodeProcess): router.RouterNode {
    const vms = fixtures.VMS.map(({ vm }) => vm);
    const client = this.service.createClient(process);
    const engines = this.engines.createClient(process);
    return new naiveRouter.NaiveNode({ process, backends: client, engines, vms });
  }

  #createRealNode(
    { zone, host }: fixtures.MatrixVm,
    process: nodeProcess.NodeProcess,
  ): realNode.RealNode {
    this.#started += 1;
    return new realNode.RealNode({
      process,
      zone,
      host,
      seed: this.#options.seed * 1000 + this.#started,
      net: this.net,
      platform: this.#createPlatform(),
      document: fixtures.DOCUMENT,
      service: this.service,
      engines: this.engines,
      onStep: (step) => {
        this.markStep(step);
      },
      mutant: this.#options.mutant,
    });
  }

  #createPlatform(): platform.PlatformClient {
    const fail = (): Promise<never> => Promise.reject(new Error("platform is down"));
    const listed = fixtures.VMS.map(({ vm, zone, host }): platform.ListedVm => ({
      vm,
      host,
      callerPort: 8000,
      peerPort: 7000,
      region: "matrix",
      zone,
      state: "live",
    }));
    const published = { revision: fixtures.DOCUMENT.revision, document: fixtures.DOCUMENT };
    return {
      readConfiguration: () => (this.platform.isDown ? fail() : Promise.resolve(published)),
      watchConfiguration: async (_after, waitMs, signal) => {
        if (this.platform.isDown) return await fail();
        await clocks.sleep(this.clock, waitMs, signal);
        return undefined;
      },
      listVms: () => (this.platform.isDown ? fail() : Promise.resolve(listed)),
    };
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
