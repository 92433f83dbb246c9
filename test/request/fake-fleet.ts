/** Fakes of the modules on which request handling depends, for several nodes in one process. */
import * as clocks from "../../src/kernel/clock.js";
import * as container from "../../src/kernel/container.js";
import * as random from "../../src/kernel/random.js";
import * as callerSessions from "../../src/caller/sessions.js";
import type * as callerTypes from "../../src/caller/types.js";
import type * as fleetSize from "../../src/membership/fleet-size.js";
import * as membership from "../../src/membership/types.js";
import * as network from "../../src/protocol/network.js";
import * as crashRecords from "../../src/request/crash-records.js";
import * as retryBudgets from "../../src/request/retry-budgets.js";
import * as runHolds from "../../src/request/run-holds.js";
import * as plainCalls from "../../src/request/plain-calls.js";
import * as metrics from "../telemetry/inert-metrics.js";
import type * as document from "../../src/settings/document.js";
import * as upstream from "../../src/upstream/types.js";
import * as fakeClock from "../../standins/fake-clock.js";

export const CALLER = { name: "cranes" } as document.Caller;
export const BOOK_OPERATION: document.Operation = {
  method: "POST",
  path: "/bookings",
  idempotent: false,
  deadlineMs: 5000,
};
export const SERVICE: document.PlainService = {
  name: "booking-app",
  displayName: "Bookings",
  backends: [
    { name: "back-a", host: "127.0.0.1", port: 7001, zone: "zone-a" },
    { name: "back-b", host: "127.0.0.1", port: 7002, zone: "zone-b" },
  ],
  operations: [BOOK_OPERATION],
};

const RETRY_BUDGET = { ratio: 0.2, slack: 25, windowMs: 10_000 };

type Handler = (request: unknown, from: network.PeerIdentity) => unknown;

/** A plain service that counts its executions by request id. */
export class FakeService implements upstream.ServiceClient {
  readonly executions = new Map<string, number>();
  readonly backendsUsed: string[] = [];
  /** Status of the responses. */
  status = 201;
  /** Handles a call at a backend. The request runs when this function calls `execute`. */
  handleCall: (backend: string, execute: () => void, signal: AbortSignal) => Promise<void> = (
    _backend,
    execute,
  ) => {
    execute();
    return Promise.resolve();
  };

  async send(
    backend: upstream.Upstream,
    request: upstream.PlainRequest,
    signal: AbortSignal,
  ): Promise<upstream.PlainResponse> {
    this.backendsUsed.push(backend.name);
    const key = request.headers["idempotency-key"] ?? "none";
    await this.handleCall(
      backend.name,
      () => this.executions.set(key, (this.executions.get(key) ?? 0) + 1),
      signal,
    );
    return { status: this.status, headers: {}, body: Buffer.from(`booked by ${backend.name}`) };
  }
}

/** One node of the fake fleet. */
export class FakeNode {
  readonly kernel = container.createKernel();
  readonly handlers = new Map<number, Handler>();
  readonly listeners = new Set<(member: membership.Member) => void>();
  readonly gossip = new Map<string, membership.GossipTopic>();
  readonly clock: fakeClock.NodeClock;
  self: membership.Member;

  constructor(fleet: FakeFleet, vm: string, zone: string, incarnation = 1) {
    this.clock = fleet.clock.createNodeClock();
    const address = { host: "127.0.0.1", port: 1 };
    const state = membership.MEMBER_STATE.alive;
    this.self = { vm, incarnation, region: "r", zone, peer: address, caller: address, state };
    const { kernel } = this;
    const settings = { vm, zone, fleetKeys: ["key-1"] };
    kernel.register("clock", () => this.clock);
    kernel.register("random", () => random.createSeededRandom(7));
    kernel.register("settings", () => settings as never);
    kernel.register("log", () => ({ write: () => undefined }));
    kernel.register("membership", () => fleet.createMembership(this));
    kernel.register("network", () => fleet.createNetwork(this));
    kernel.register(
      "configuration",
      () =>
        ({
          ...({} as Record<string, never>),
          current: { document: { services: [SERVICE] }, revision: 1, digest: "" },
        }) as never,
    );
    kernel.register("backends", () => fleet.service);
    kernel.register("sessions", callerSessions.createSessions);
    kernel.register("crashes", crashRecords.createCrashRecords);
    kernel.register("runHolds", runHolds.createRunHolds);
    kernel.register("retryBudgets", () => fleet.createRetryBudgets(this));
    kernel.register("plainCalls", plainCalls.createPlainCalls);
    kernel.use("plainCalls");
  }

  /** Sends a booking, a non-idempotent call, with this request id. */
  sendBooking(id: string | undefined, deadlineMs = 5000, signal?: AbortSignal) {
    const parsed = id === undefined ? undefined : this.parse(id);
    return this.kernel.use("plainCalls").run(
      {
        caller: CALLER,
        service: SERVICE,
        operation: BOOK_OPERATION,
        id: parsed,
        attempt: 1,
        request: { method: "POST", path: "/bookings", headers: {}, body: Buffer.from("{}") },
        deadlineMs,
      },
      signal ?? new AbortController().signal,
    );
  }

  parse(id: string): callerTypes.RequestId {
    return this.kernel.use("sessions").parse(id, CALLER.name);
  }

  createSession(): string {
    return this.kernel.use("sessions").create(CALLER.name);
  }
}

/** Several nodes, the network between them and one plain service. */
export class FakeFleet {
  readonly clock = fakeClock.createFakeClock();
  readonly service = new FakeService();
  readonly nodes = new Map<string, FakeNode>();
  /** Share of each VM in the retry budget; `undefined` when they must not use one. */
  retryShare: fleetSize.FleetShare | undefined = { vmCount: 1, inForceMs: Infinity };
  /** Pairs `from>to` whose requests are lost. */
  readonly lostRequests = new Set<string>();
  /** Pairs `from>to` whose replies are lost. */
  readonly lostReplies = new Set<string>();
  /** Called before a node handles a message of the given kind. */
  beforeHandle: (kind: number) => Promise<void> = () => Promise.resolve();

  add(vm: string, zone: string, incarnation = 1): FakeNode {
    const node = new FakeNode(this, vm, zone, incarnation);
    this.nodes.set(vm, node);
    return node;
  }

  setState(vm: string, state: membership.MemberState): void {
    const node = this.nodes.get(vm);
    if (!node) throw new Error(`no node ${vm}`);
    node.self = { ...node.self, state };
    for (const other of this.nodes.values()) {
      for (const listener of other.listeners) listener(node.self);
    }
  }

  createRetryBudgets(node: FakeNode): retryBudgets.RetryBudgets {
    return new retryBudgets.RetryBudgets({
      getSettings: () => RETRY_BUDGET,
      clock: node.clock,
      findShare: () => this.retryShare,
      log: { write: () => undefined },
      metrics: metrics.createInertMetrics(),
    });
  }

  createMembership(node: FakeNode): membership.Membership {
    const listAll = (): membership.Member[] => [...this.nodes.values()].map(({ self }) => self);
    const { alive, dead } = membership.MEMBER_STATE;
    return {
      get self() {
        return node.self;
      },
      get lastHeardAt() {
        return node.clock.now();
      },
      listMembers: () => listAll().filter(({ state }) => state !== dead),
      listKnown: () => listAll(),
      listAlive: () => listAll().filter(({ state }) => state === alive),
      listSeeds: () => listAll().map(({ peer }) => peer),
      findMember: (vm) => this.nodes.get(vm)?.self,
      onChange: (listener) => {
        node.listeners.add(listener);
        return { [Symbol.dispose]: () => node.listeners.delete(listener) };
      },
      onGossip: (topic, handler) => node.gossip.set(topic, handler),
      startLeaving: () => Promise.resolve(),
      start: () => Promise.resolve(),
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  createNetwork(node: FakeNode): network.PeerNetwork {
    return {
      call: (vm, call, request, options) =>
        this.#call(node, vm, call.kind, request, options) as never,
      callByDatagram: (vm, call, request, options) =>
        this.#call(node, vm, call.kind, request, options) as never,
      acceptDatagrams: () => undefined,
      stream: () => {
        throw new Error("FakeFleet does not support peer streams");
      },
      onCall: (call, handler) => {
        const signal = new AbortController().signal;
        node.handlers.set(call.kind, (request, from) => handler(request as never, from, signal));
      },
      onStream: () => undefined,
      setAddress: () => undefined,
      start: () => Promise.resolve(),
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  async #call(
    from: FakeNode,
    vm: string,
    kind: number,
    request: unknown,
    options: network.CallOptions,
  ): Promise<unknown> {
    using limit = clocks.createTimeLimit(from.clock, options.timeoutMs, options.signal);
    const target = this.nodes.get(vm);
    const isGone =
      options.incarnation !== undefined && target?.self.incarnation !== options.incarnation;
    if (!target || isGone)
      throw new network.PeerCallError(network.CALL_FAILURE.gone, `VM ${vm} is gone`);
    const pair = `${from.self.vm}>${vm}`;
    if (this.lostRequests.has(pair)) return await this.#waitForAbort(limit.signal, vm);
    await clocks.sleep(this.clock, 1, limit.signal);
    await Promise.race([this.beforeHandle(kind), this.#waitForAbort(limit.signal, vm)]);
    const handler = target.handlers.get(kind);
    if (handler === undefined)
      throw new network.PeerCallError(network.CALL_FAILURE.failed, `no handler of kind ${kind}`);
    const reply = await Promise.race([
      handler(request, from.self),
      this.#waitForAbort(limit.signal, vm),
    ]);
    if (this.lostReplies.has(pair)) return await this.#waitForAbort(limit.signal, vm);
    limit.signal.throwIfAborted();
    return reply;
  }

  /** Rejects with `noReply` when `signal` aborts; never resolves. */
  #waitForAbort(signal: AbortSignal, vm: string): Promise<never> {
    return new Promise((_, reject) => {
      const onAbort = (): void => {
        reject(new network.PeerCallError(network.CALL_FAILURE.noReply, `no reply from VM ${vm}`));
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener("abort", onAbort);
    });
  }
}

/** Returns the status of a response, or the code of a refusal and whether the request ran. */
export async function readResult(call: Promise<upstream.PlainResponse>): Promise<unknown> {
  try {
    return (await call).status;
  } catch (error) {
    const { code, ran } = error as { code?: { number: number }; ran?: string };
    if (!code) throw error;
    return `${code.number} ${ran}`;
  }
}
