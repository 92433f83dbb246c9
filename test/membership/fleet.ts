/** Test fleet without callers or upstreams, in one process and on virtual time. */
import * as fakeClock from "../../standins/fake-clock.js";
import * as memoryTransport from "../../standins/memory-transport.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as membership from "../../src/membership/membership.js";
import type * as membershipTypes from "../../src/membership/types.js";
import * as configuration from "../../src/configuration/configuration.js";
import type * as platform from "../../src/configuration/types.js";
import type * as network from "../../src/protocol/network.js";
import * as peerNetwork from "../../src/protocol/peer-network.js";
import * as fakePlatform from "./fake-platform.js";
import * as inertMetrics from "../telemetry/inert-metrics.js";

const PEER_PORT = 7001;
const CALLER_PORT = 7000;
const ZONES = ["zone-a", "zone-b", "zone-c"] as const;

/** A running node of the fleet. */
export interface FleetNode {
  readonly vm: string;
  readonly kernel: container.Kernel;
  readonly clock: fakeClock.NodeClock;
  readonly membership: membershipTypes.Membership;
  readonly configuration: platform.Configuration;
}

/** The nodes, their in-memory network and their platform. */
export class TestFleet implements AsyncDisposable {
  readonly clock = fakeClock.createFakeClock();
  readonly network = new memoryTransport.MemoryNetwork(this.clock);
  readonly platform = new fakePlatform.FakePlatform(this.clock);
  /** Registers further services of a node, before its membership and configuration are created. */
  registerExtraServices: (kernel: container.Kernel, vm: string) => void = () => undefined;
  /** Starts further services of a node, after its membership and configuration. */
  startExtraServices: (kernel: container.Kernel) => Promise<void> = () => Promise.resolve();
  readonly #nodes = new Map<string, FleetNode>();
  #seed: number;

  constructor(seed = 1) {
    this.#seed = seed;
  }

  get nodes(): readonly FleetNode[] {
    return [...this.#nodes.values()];
  }

  getNode(vm: string): FleetNode {
    const node = this.#nodes.get(vm);
    if (node === undefined) throw new Error(`no node ${vm}`);
    return node;
  }

  /** Adds `count` VMs named vm-0, vm-1 and so on to the platform's list and starts their nodes. */
  async start(count: number): Promise<void> {
    const vms = Array.from({ length: count }, (_, index) => `vm-${index}`);
    for (const vm of vms) this.platform.addVm(this.createListedVm(vm));
    const starts = vms.map((vm) => this.startNode(vm));
    await this.clock.advance(2000);
    await Promise.all(starts);
  }

  /** Starts one node; the caller has to advance the clock until it resolves. */
  async startNode(vm: string): Promise<FleetNode> {
    const kernel = container.createKernel();
    const clock = this.clock.createNodeClock();
    const listed = this.createListedVm(vm);
    this.#seed += 1;
    const seed = this.#seed;
    kernel.register("settings", () => createSettings(listed));
    kernel.register("clock", () => clock);
    kernel.register("random", () => random.createSeededRandom(seed));
    kernel.register("log", () => ({ write: () => undefined }));
    kernel.register("metrics", inertMetrics.createInertMetrics);
    kernel.register("transport", () => this.network.createTransport(vm));
    kernel.register("platform", () => this.platform.createClient(vm));
    kernel.register("network", (services) => peerNetwork.createPeerNetwork(services));
    kernel.register("membership", (services) => membership.createMembership(services));
    kernel.register("configuration", (services) => configuration.createConfiguration(services));
    this.registerExtraServices(kernel, vm);
    const node = {
      vm,
      kernel,
      clock,
      membership: kernel.use("membership"),
      configuration: kernel.use("configuration"),
    };
    this.#nodes.set(vm, node);
    await kernel.use("network").start();
    await node.membership.start();
    await node.configuration.start();
    await this.startExtraServices(kernel);
    return node;
  }

  /** Creates the network of a peer that is not a member and that can call `vm-0`. */
  createNonMemberPeer(vm: string): network.PeerNetwork {
    const kernel = container.createKernel();
    kernel.register("settings", () => createSettings(this.createListedVm(vm)));
    kernel.register("clock", () => this.clock);
    kernel.register("log", () => ({ write: () => undefined }));
    kernel.register("metrics", inertMetrics.createInertMetrics);
    kernel.register("transport", () => this.network.createTransport(vm));
    const peer = peerNetwork.createPeerNetwork(kernel);
    peer.setAddress("vm-0", this.getPeerAddress("vm-0"));
    return peer;
  }

  getPeerAddress(vm: string): network.PeerAddress {
    const { host, peerPort } = this.createListedVm(vm);
    return { host, port: peerPort };
  }

  /** Kills a process, which breaks its connections to the other nodes. */
  async kill(vm: string): Promise<void> {
    const node = this.getNode(vm);
    this.#nodes.delete(vm);
    this.network.kill(vm);
    await node.kernel[Symbol.asyncDispose]();
  }

  pause(vm: string): void {
    this.getNode(vm).clock.pause();
    this.network.freeze(vm);
  }

  resume(vm: string): void {
    this.network.thaw(vm);
    this.getNode(vm).clock.resume();
  }

  /** Cuts or restores all links between two groups of nodes. */
  setPartition(first: readonly string[], second: readonly string[], isCut: boolean): void {
    for (const one of first) {
      for (const other of second) {
        if (isCut) this.network.cut(one, other);
        else this.network.heal(one, other);
      }
    }
  }

  /** Advances the clock until `isDone` returns true; returns the elapsed virtual time in ms. */
  async waitUntil(isDone: () => boolean, limitMs: number): Promise<number> {
    const start = this.clock.now();
    while (!isDone()) {
      if (this.clock.now() - start >= limitMs)
        throw new Error(`condition not met within ${limitMs} ms`);
      await this.clock.advance(100);
    }
    return this.clock.now() - start;
  }

  /** Whether every node sees `vm` in `state`. */
  isSeenAs(vm: string, state: membershipTypes.MemberState): boolean {
    return this.nodes.every((node) => node.membership.findMember(vm)?.state === state);
  }

  /** Whether every node sees exactly `count` members as alive. */
  isAliveCount(count: number): boolean {
    return this.nodes.every((node) => node.membership.listAlive().length === count);
  }

  /** Whether `revision` is active on every node. */
  isRevisionActive(revision: number): boolean {
    return this.nodes.every((node) => node.configuration.current?.revision === revision);
  }

  createListedVm(vm: string): platform.ListedVm {
    const number = Number(vm.slice(vm.indexOf("-") + 1));
    return {
      vm,
      host: `10.0.${Math.floor(number / 250)}.${(number % 250) + 1}`,
      callerPort: CALLER_PORT,
      peerPort: PEER_PORT,
      region: "region-1",
      zone: ZONES[number % ZONES.length] ?? ZONES[0],
      state: "live",
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const node of this.nodes) {
      const end = node.kernel[Symbol.asyncDispose]();
      await this.clock.advance(2000);
      await end;
    }
  }
}

function createSettings(listed: platform.ListedVm) {
  return {
    vm: listed.vm,
    region: listed.region,
    zone: listed.zone,
    host: listed.host,
    callerPort: listed.callerPort,
    peerPort: listed.peerPort,
    platformUrl: "http://10.9.9.9",
    fleetKeys: ["key-1"],
    adminToken: undefined,
    logFormat: "json",
    logLevel: "error",
    otlpUrl: undefined,
    drainLimitMs: 1000,
  } as const;
}
