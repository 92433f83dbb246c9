/**
 * A node of the real router: all services below the HTTP layer, on fakes of clock, network and
 * upstreams.
 */
import * as capacities from "../../src/capacity/capacity.js";
import type * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as nodes from "../../src/node.js";
import type * as platform from "../../src/configuration/types.js";
import * as peerNetwork from "../../src/protocol/peer-network.js";
import type * as document from "../../src/settings/document.js";
import type * as nodeSettings from "../../src/settings/node-settings.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as memoryTransport from "../memory-transport.js";
import type * as engineFleet from "./engine-fleet.js";
import type * as matrixCaller from "./matrix-caller.js";
import type * as nodeProcess from "./node-process.js";
import * as observed from "./observed-network.js";
import type * as plainService from "./plain-service.js";
import type * as router from "./router.js";
import type * as steps from "./steps.js";

const FLEET_KEYS = ["key of the fault matrix"];
const CALLER_NAME = "cranes";
const DRAIN_LIMIT_MS = 60_000;

/** Dependencies and settings of a node. */
export interface RealNodeOptions {
  readonly process: nodeProcess.NodeProcess;
  readonly zone: string;
  /** Address of the node, which also identifies it in the in-memory network. */
  readonly host: string;
  readonly seed: number;
  readonly network: memoryTransport.MemoryNetwork;
  readonly platform: platform.PlatformClient;
  readonly document: document.FleetDocument;
  readonly service: plainService.PlainServiceStandin;
  readonly engines: engineFleet.EngineFleet;
  readonly onStep: steps.StepListener;
  readonly mutant: observed.Mutant | undefined;
}

/** A node of the real router. */
export class RealNode implements router.RouterNode {
  readonly process: nodeProcess.NodeProcess;
  readonly kernel: container.Kernel;
  readonly #options: RealNodeOptions;
  #isOpen = true;
  #activeCalls = 0;

  constructor(options: RealNodeOptions) {
    this.#options = options;
    this.process = options.process;
    this.kernel = nodes.createNodeKernel(this.#createSettings());
    this.#registerFakes();
    this.#registerObservers();
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Starts listening, membership probes and configuration reads. */
  async start(): Promise<void> {
    await nodes.startServices(this.kernel);
  }

  handleAddressRequest(): { readonly vms: readonly string[]; readonly session: string } {
    const vms = this.kernel
      .use("membership")
      .listAlive()
      .map(({ vm }) => vm);
    return { vms, session: this.kernel.use("sessions").create(CALLER_NAME) };
  }

  async handleBooking(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const { deadlineMs, attempt, body } = request;
    const caller = this.#options.document.callers[0];
    const service = this.#options.document.services[0];
    const operation = service?.operations[0];
    if (!caller || !service || !operation)
      throw new Error("document lacks a caller, a service or an operation");
    const plain = { method: "POST", path: "/bookings", headers: {}, body: Buffer.from(body) };
    const id =
      request.id === undefined
        ? undefined
        : this.kernel.use("sessions").parse(request.id, caller.name);
    const call = { caller, service, operation, id, attempt, request: plain, deadlineMs };
    this.#activeCalls += 1;
    try {
      return await this.kernel.use("plainCalls").run(call, signal);
    } finally {
      this.#activeCalls -= 1;
    }
  }

  async *handleModel(
    request: router.MatrixRequest,
    signal: AbortSignal,
  ): AsyncGenerator<matrixCaller.ReceivedToken> {
    const caller = this.#options.document.callers[0];
    const model = this.#options.document.models[0];
    if (!caller || !model) throw new Error("document lacks a caller or a model");
    const id =
      request.id === undefined
        ? undefined
        : this.kernel.use("sessions").parse(request.id, caller.name);
    const { attempt, body: prompt, deadlineMs } = request;
    const { firstTokenMs, betweenTokensMs } = caller.tolerance;
    const maxTokens = model.maxOutputTokens;
    const limits = { maxTokens, firstTokenMs, betweenTokensMs, deadlineMs };
    const call = { caller, model, id, attempt, prompt, ...limits };
    this.#activeCalls += 1;
    try {
      for await (const event of this.kernel.use("modelCalls").run(call, signal)) {
        if (event.type === "end") return;
        yield event;
      }
      throw new Error("stream ended without an end event");
    } finally {
      this.#activeCalls -= 1;
    }
  }

  startDrain(): void {
    void this.#drain();
  }

  /**
   * Drains as the node program does on SIGTERM, then closes the connections and ends the process.
   */
  async #drain(): Promise<void> {
    await nodes.drainNode(this.kernel, () => this.#activeCalls);
    this.#isOpen = false;
    this.#options.network.kill(this.#options.host);
    this.process.kill();
  }

  #registerFakes(): void {
    const { process, host, seed, network, platform, service, engines, mutant } = this.#options;
    const { kernel } = this;
    const backends = service.createClient(process);
    kernel.register("clock", () => process.clock);
    kernel.register("random", () => random.createSeededRandom(seed));
    kernel.register("log", () => ({ write: () => undefined }));
    kernel.register("transport", () =>
      observed.createProcessTransport(network.createTransport(host), process),
    );
    kernel.register("platform", () => platform);
    const engineClient = engines.createClient(process);
    kernel.register("engines", () => mutant?.replaceEngines?.(engineClient) ?? engineClient);
    kernel.register("backends", () => mutant?.replaceBackends?.(backends) ?? backends);
  }

  #registerObservers(): void {
    const { process, onStep, mutant } = this.#options;
    this.kernel.register("network", () => {
      const inner = peerNetwork.createPeerNetwork(this.kernel);
      return observed.createObservedNetwork(inner, process, onStep, mutant);
    });
    this.kernel.register("capacity", () => {
      const inner = capacities.createCapacity(this.kernel);
      return observed.createObservedCapacity(inner, process, onStep);
    });
  }

  #createSettings(): nodeSettings.NodeSettings {
    const { process, zone, host } = this.#options;
    return {
      vm: process.vm,
      region: "matrix",
      zone,
      host,
      callerPort: 8000,
      peerPort: 7000,
      platformUrl: "http://127.0.0.1:1",
      fleetKeys: FLEET_KEYS,
      adminToken: undefined,
      logFormat: "json",
      logLevel: "error",
      otlpUrl: undefined,
      drainLimitMs: DRAIN_LIMIT_MS,
    };
  }
}
