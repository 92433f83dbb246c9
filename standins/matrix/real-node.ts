/** A whole node of the router on fakes: real sessions, records, peer network and membership. */
import * as callerSessions from "../../src/caller/sessions.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as memberships from "../../src/membership/membership.js";
import * as membershipTypes from "../../src/membership/types.js";
import type * as platform from "../../src/platform/types.js";
import * as peerNetwork from "../../src/protocol/peer-network.js";
import * as codes from "../../src/protocol/result-codes.js";
import * as crashRecords from "../../src/request/crash-records.js";
import * as plainCalls from "../../src/request/plain-calls.js";
import type * as document from "../../src/settings/document.js";
import type * as nodeSettings from "../../src/settings/node-settings.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as memoryTransport from "../memory-transport.js";
import type * as nodeProcess from "./node-process.js";
import * as observed from "./observed-network.js";
import type * as plainService from "./plain-service.js";
import type * as router from "./router.js";
import type * as steps from "./steps.js";

const FLEET_KEYS = ["key of the fault matrix"];
const CALLER_NAME = "cranes";
const DRAIN_CHECK_MS = 50;

/** What a node is made of. */
export interface RealNodeOptions {
  readonly process: nodeProcess.NodeProcess;
  readonly zone: string;
  /** Address, and the node's name in the in-memory network. */
  readonly host: string;
  readonly seed: number;
  readonly net: memoryTransport.MemoryNetwork;
  readonly platform: platform.PlatformClient;
  readonly document: document.FleetDocument;
  readonly service: plainService.PlainServiceStandin;
  readonly onStep: steps.StepListener;
  readonly mutant: observed.Mutant | undefined;
}

/** A node of the real router. */
export class RealNode implements router.RouterNode {
  readonly process: nodeProcess.NodeProcess;
  readonly kernel = container.createKernel();
  readonly #options: RealNodeOptions;
  #isOpen = true;
  #waiting = 0;

  constructor(options: RealNodeOptions) {
    this.#options = options;
    this.process = options.process;
    this.#registerFakes();
    this.#registerServices();
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Starts to listen and to probe. */
  async start(): Promise<void> {
    this.kernel.use("crashes");
    this.kernel.use("plainCalls");
    await this.kernel.use("network").start();
    await this.kernel.use("membership").start();
  }

  handleAddressQuestion(): { readonly vms: readonly string[]; readonly session: string } {
    const vms = this.kernel
      .use("membership")
      .listAlive()
      .map(({ vm }) => vm);
    return { vms, session: this.kernel.use("sessions").create(CALLER_NAME) };
  }

  async handleBooking(
    request: router.BookingRequest,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    const { deadlineMs, attempt, body } = request;
    const caller = this.#options.document.callers[0];
    const service = this.#options.document.services[0];
    const operation = service?.operations[0];
    if (!caller || !service || !operation) throw new Error("incomplete document");
    const plain = { method: "POST", path: "/bookings", headers: {}, body: Buffer.from(body) };
    const id =
      request.id === undefined
        ? undefined
        : this.kernel.use("sessions").parse(request.id, caller.name);
    const call = { caller, service, operation, id, attempt, request: plain, deadlineMs };
    this.#waiting += 1;
    try {
      return await this.kernel.use("plainCalls").run(call, signal);
    } finally {
      this.#waiting -= 1;
    }
  }

  startLeaving(): void {
    void this.kernel.use("membership").startLeaving();
    this.#checkDrained();
  }

  /** Closes once nothing is in progress, as the daemon does on SIGTERM. */
  #checkDrained(): void {
    this.process.clock.schedule(DRAIN_CHECK_MS, () => {
      const isIdle = this.#waiting === 0 && this.kernel.use("plainCalls").active === 0;
      if (!isIdle) {
        this.#checkDrained();
        return;
      }
      this.#isOpen = false;
      this.#options.net.kill(this.#options.host);
      this.process.kill();
    });
  }

  #registerFakes(): void {
    const { process, host, seed, net, platform, document, service } = this.#options;
    const { kernel } = this;
    kernel.register("clock", () => process.clock);
    kernel.register("random", () => random.createSeededRandom(seed));
    kernel.register("settings", () => this.#createSettings());
    kernel.register("log", () => ({ write: () => undefined }));
    kernel.register("transport", () =>
      observed.createProcessTransport(net.createTransport(host), process),
    );
    kernel.register("platform", () => platform);
    const current = { document, revision: document.revision, digest: "" };
    kernel.register("configuration", () => ({ current }) as platform.Configuration);
    kernel.register("backends", () => service.createClient(process));
  }

  #registerServices(): void {
    const { process, onStep, mutant } = this.#options;
    const { kernel } = this;
    kernel.register("network", () => {
      const inner = peerNetwork.createPeerNetwork(kernel);
      return observed.createObservedNetwork(inner, process, onStep, mutant);
    });
    kernel.register("membership", memberships.createMembership);
    kernel.register("sessions", callerSessions.createSessions);
    kernel.register("crashes", crashRecords.createCrashRecords);
    kernel.register("plainCalls", plainCalls.createPlainCalls);
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
      drainLimitMs: 60_000,
    };
  }
}

/** Whether an error is a final answer of the router. */
export function isRequestError(error: unknown): error is codes.RequestError {
  return error instanceof codes.RequestError;
}

/** Whether a node believes that it leaves. */
export function isLeaving(node: RealNode): boolean {
  const { state } = node.kernel.use("membership").self;
  return state === membershipTypes.MEMBER_STATE.leaving;
}
