/**
 * Wrappers around a node's peer network, capacity service and transport. They block calls while the
 * process is paused or killed; those of the network and the capacity service report steps, and that
 * of the network lets mutants replace calls and replies.
 */
import type * as capacity from "../../src/capacity/types.js";
import type * as network from "../../src/protocol/network.js";
import * as messages from "../../src/request/plain-messages.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as nodeProcess from "./node-process.js";
import * as steps from "./steps.js";

/** A deliberate defect of the router, injected by replacing peer calls, replies or clients. */
export interface Mutant {
  readonly name: string;
  /** Returns a reply that is used without making the call; `undefined` to make the call. */
  readonly replaceCall?: (kind: number) => object | undefined;
  /** Returns the plain-service client that the router uses instead of the given one. */
  readonly replaceBackends?: (backends: upstream.ServiceClient) => upstream.ServiceClient;
  /** Returns the engine client that the router uses instead of the given one. */
  readonly replaceEngines?: (engines: upstream.EngineClient) => upstream.EngineClient;
  /** Returns the reply that the router receives instead of the given one. */
  readonly replaceReply?: (kind: number, reply: unknown) => unknown;
}

/** Wraps the peer network of the node under test. */
export function createObservedNetwork(
  inner: network.PeerNetwork,
  hostProcess: nodeProcess.NodeProcess,
  onStep: steps.StepListener,
  mutant: Mutant | undefined,
): network.PeerNetwork {
  return {
    call: async (vm, call, request, options) => {
      if (call.kind === messages.INTENT.kind) onStep(steps.STEP.intentSent);
      await hostProcess.waitUntilRunning();
      const replacementReply = mutant?.replaceCall?.(call.kind);
      if (replacementReply) return replacementReply as never;
      const reply = await inner.call(vm, call, request, options);
      if (call.kind === messages.INTENT.kind) onStep(steps.STEP.intentAcknowledged);
      if (call.kind === messages.RESULT.kind) onStep(steps.STEP.resultRecorded);
      await hostProcess.waitUntilRunning();
      return (mutant?.replaceReply?.(call.kind, reply) ?? reply) as typeof reply;
    },
    callByDatagram: async (vm, call, request, options) => {
      await hostProcess.waitUntilRunning();
      const reply = await inner.callByDatagram(vm, call, request, options);
      await hostProcess.waitUntilRunning();
      return reply;
    },
    acceptDatagrams: (call) => {
      inner.acceptDatagrams(call);
    },
    stream: (vm, call, request, options) => inner.stream(vm, call, request, options),
    onCall: (call, handler) => {
      inner.onCall(call, async (request, from, signal) => {
        await hostProcess.waitUntilRunning();
        const reply = await handler(request, from, signal);
        await hostProcess.waitUntilRunning();
        return reply;
      });
    },
    onStream: (call, handler) => {
      inner.onStream(call, async function* (request, from, signal) {
        for await (const item of handler(request, from, signal)) {
          await hostProcess.waitUntilRunning();
          yield item;
        }
      });
    },
    setAddress: (vm, address) => {
      inner.setAddress(vm, address);
    },
    start: () => inner.start(),
    [Symbol.asyncDispose]: () => inner[Symbol.asyncDispose](),
  };
}

/** Wraps the capacity service of the node under test. */
export function createObservedCapacity(
  inner: capacity.Capacity,
  hostProcess: nodeProcess.NodeProcess,
  onStep: steps.StepListener,
): capacity.Capacity {
  return {
    reserve: async (demand, signal) => {
      onStep(steps.STEP.queued);
      await hostProcess.waitUntilRunning();
      const reservation = await inner.reserve(demand, signal);
      onStep(steps.STEP.leased);
      await hostProcess.waitUntilRunning();
      return reservation;
    },
    findAllocator: (runner) => inner.findAllocator(runner),
    listLeases: () => inner.listLeases(),
    start: () => inner.start(),
    [Symbol.asyncDispose]: () => inner[Symbol.asyncDispose](),
  };
}

/** Wraps the transport of a process, so that it opens no connections while paused or killed. */
export function createProcessTransport(
  inner: network.Transport,
  hostProcess: nodeProcess.NodeProcess,
): network.Transport {
  return {
    connect: async (address, signal) => {
      await hostProcess.waitUntilRunning();
      return await inner.connect(address, signal);
    },
    listen: (address, onChannel) => inner.listen(address, onChannel),
  };
}
