/** In-process fleet: peer calls with a fixed delay, stopped nodes and network partitions. */
import type * as clocks from "../src/kernel/clock.js";
import * as membership from "../src/membership/types.js";
import * as fieldCodec from "../src/protocol/field-codec.js";
import * as messageCodec from "../src/protocol/message-codec.js";
import * as network from "../src/protocol/network.js";
import * as localMembership from "./local-membership.js";

type Handler = (request: unknown, from: network.PeerIdentity, signal: AbortSignal) => unknown;

type AnyCall = network.PeerCall<unknown, unknown>;

interface CallCodec {
  readonly request: fieldCodec.FieldCodec<unknown>;
  readonly reply: fieldCodec.FieldCodec<unknown>;
}

const FRAME_HEADER_BYTES = 4;

/** A node of the local fleet. */
export interface LocalNode {
  readonly vm: string;
  readonly network: network.PeerNetwork;
  readonly membership: localMembership.LocalMembership;
}

/** Connects nodes by an in-process network; nodes can be stopped and the network partitioned. */
export class LocalFleet {
  readonly #clock: clocks.Clock;
  readonly #delayMs: number;
  readonly #nodes = new Map<string, LocalNode & { readonly handlers: Map<number, Handler> }>();
  readonly #stopped = new Set<string>();
  readonly #codecs = new Map<number, CallCodec>();
  #groups: readonly ReadonlySet<string>[] = [];
  /** Number of messages sent between different nodes, and by stopped nodes to themselves. */
  sentMessages = 0;
  /** Total size of these messages in bytes, with frame headers. */
  sentBytes = 0;

  constructor(clock: clocks.Clock, delayMs: number) {
    this.#clock = clock;
    this.#delayMs = delayMs;
  }

  /** Adds a node and records it immediately in the membership of every other node, as alive. */
  addNode(vm: string, zone: string, region: string): LocalNode {
    const self: membership.Member = {
      vm,
      incarnation: 1,
      region,
      zone,
      peer: { host: "127.0.0.1", port: 1 },
      caller: { host: "127.0.0.1", port: 2 },
      state: membership.MEMBER_STATE.alive,
    };
    const handlers = new Map<number, Handler>();
    const node = {
      vm,
      handlers,
      network: this.#createNetwork(vm, handlers),
      membership: new localMembership.LocalMembership(self),
    };
    for (const other of this.#nodes.values()) {
      other.membership.update(self);
      node.membership.update(other.membership.self);
    }
    this.#nodes.set(vm, node);
    return node;
  }

  /** Stops a node immediately; the others see it as dead after `detectionDelayMs`. */
  stopNode(vm: string, detectionDelayMs: number): void {
    this.#stopped.add(vm);
    this.#clock.schedule(detectionDelayMs, () => {
      this.#recordState([vm], membership.MEMBER_STATE.dead, () => true);
    });
  }

  /**
   * Partitions the network; after `detectionDelayMs` each group sees the nodes of the others as
   * dead. The groups must contain every node exactly once.
   */
  setPartition(groups: readonly ReadonlySet<string>[], detectionDelayMs: number): void {
    this.#groups = groups;
    this.#clock.schedule(detectionDelayMs, () => {
      for (const group of groups) {
        this.#recordState([...group], membership.MEMBER_STATE.dead, (vm) => !group.has(vm));
      }
    });
  }

  /** Ends the partition; after `detectionDelayMs` all running nodes see each other as alive. */
  removePartition(detectionDelayMs: number): void {
    this.#groups = [];
    this.#clock.schedule(detectionDelayMs, () => {
      this.#recordState([...this.#nodes.keys()], membership.MEMBER_STATE.alive, () => true);
    });
  }

  /** Records a state of `vms` in the membership of every other node that `isReceiver` selects. */
  #recordState(
    vms: readonly string[],
    state: membership.MemberState,
    isReceiver: (vm: string) => boolean,
  ): void {
    for (const vm of vms) {
      if (state === membership.MEMBER_STATE.alive && this.#stopped.has(vm)) continue;
      const member = this.#nodes.get(vm)?.membership.self;
      if (member === undefined) continue;
      for (const other of this.#nodes.values()) {
        if (other.vm !== vm && isReceiver(other.vm)) other.membership.update({ ...member, state });
      }
    }
  }

  #isConnected(from: string, to: string): boolean {
    if (this.#stopped.has(from) || this.#stopped.has(to)) return false;
    return this.#groups.every((group) => group.has(from) === group.has(to));
  }

  #createNetwork(vm: string, handlers: Map<number, Handler>): network.PeerNetwork {
    return {
      call: <Request, Reply>(
        to: string,
        call: network.PeerCall<Request, Reply>,
        request: Request,
        options: network.CallOptions,
      ) => this.#call(vm, to, call, request, options) as Promise<Reply>,
      callByDatagram: <Request, Reply>(
        to: string,
        call: network.PeerCall<Request, Reply>,
        request: Request,
        options: network.CallOptions,
      ) => this.#call(vm, to, call, request, options) as Promise<Reply>,
      acceptDatagrams: () => undefined,
      stream: () => {
        throw new Error("the local fleet does not support peer streams");
      },
      onCall: (call, handler) => {
        handlers.set(call.kind, handler as Handler);
      },
      onStream: () => undefined,
      setAddress: () => undefined,
      start: () => Promise.resolve(),
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  #call(
    from: string,
    to: string,
    call: AnyCall,
    request: unknown,
    options: network.CallOptions,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const remoteAbort = new AbortController();
      const onAbort = (): void => {
        rejectCall(options.signal?.reason as Error);
      };
      const cancelTimeout = this.#clock.schedule(options.timeoutMs, () => {
        rejectCall(
          new network.PeerCallError(
            network.CALL_FAILURE.noReply,
            `no reply from ${to} to call kind ${call.kind} within ${options.timeoutMs} ms`,
          ),
        );
      });
      const releaseCall = (): void => {
        cancelTimeout();
        options.signal?.removeEventListener("abort", onAbort);
      };
      const rejectCall = (error: Error): void => {
        releaseCall();
        remoteAbort.abort(error);
        reject(error);
      };
      if (options.signal?.aborted) {
        onAbort();
        return;
      }
      options.signal?.addEventListener("abort", onAbort, { once: true });
      const handleReply = (reply: unknown): void => {
        releaseCall();
        resolve(reply);
      };
      void this.#sendRequest(from, to, call, request, remoteAbort.signal).then(
        handleReply,
        rejectCall,
      );
    });
  }

  async #sendRequest(
    from: string,
    to: string,
    call: AnyCall,
    request: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const codec = this.#getCodec(call);
    await this.#sendMessage(from, to, call.kind, codec.request.encode(request));
    const handler = this.#nodes.get(to)?.handlers.get(call.kind);
    if (handler === undefined) {
      throw new network.PeerCallError(
        network.CALL_FAILURE.failed,
        `no handler at ${to} for call kind ${call.kind}`,
      );
    }
    const reply = await handler(request, { vm: from, incarnation: 1 }, signal);
    await this.#sendMessage(to, from, call.kind, codec.reply.encode(reply));
    return reply;
  }

  #getCodec(call: AnyCall): CallCodec {
    let codec = this.#codecs.get(call.kind);
    if (codec === undefined) {
      const request = fieldCodec.createFieldCodec(call.request);
      codec = { request, reply: fieldCodec.createFieldCodec(call.reply) };
      this.#codecs.set(call.kind, codec);
    }
    return codec;
  }

  /**
   * Counts a message and waits for its delivery, which never happens when the nodes are
   * disconnected. A message from a running node to itself is neither counted nor delayed.
   */
  async #sendMessage(from: string, to: string, kind: number, fields: unknown): Promise<void> {
    if (from === to && !this.#stopped.has(from)) return;
    this.sentMessages += 1;
    const message = { type: 1, correlation: this.sentMessages, kind, fields };
    this.sentBytes += FRAME_HEADER_BYTES + messageCodec.encodeMessage(message).length;
    await new Promise<void>((resolve) => {
      if (!this.#isConnected(from, to)) return;
      this.#clock.schedule(this.#delayMs, resolve);
    });
  }
}
