/** Wraps a node's peer network: reports steps, holds a stopped process, and lets mutants interfere. */
import type * as capacity from "../../src/capacity/types.js";
import type * as network from "../../src/protocol/network.js";
import * as messages from "../../src/request/messages.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as nodeProcess from "./node-process.js";
import * as steps from "./steps.js";

/** A deliberate fault of the router: answers a call to a peer itself, or changes its reply. */
export interface Mutant {
  readonly name: string;
  /** Returns a reply in place of the call. */
  readonly replaceCall?: (kind: number) => object | undefined;
  /** Returns the client of plain services that the router is to use. */
  readonly replaceBackends?: (backends: upstream.ServiceClient) => upstream.ServiceClient;
  /** Returns the client of engines that the router is to use. */
  readonly replaceEngines?: (engines: upstream.EngineClient) => upstream.EngineClient;
  /** Returns the reply that the router is to see. */
  readonly replaceReply?: (kind: number, reply: unknown) => unknown;
}

/** Creates the network that the node under test uses in place of `inner`. */
export function createObservedNetwork(
  inner: network.PeerNetwork,
  process: nodeProcess.NodeProcess,
  onStep: steps.StepListener,
  mutant: Mutant | undefined,
): network.PeerNetwork {
  return {
    call: async (vm, call, request, options) => {
      if (call.kind === messages.INTENT.kind) onStep(steps.STEP.intentSent);
      await process.waitRunning();
      const replaced = mutant?.replaceCall?.(call.kind);
      if (replaced) return replaced as never;
      const reply = await inner.call(vm, call, request, options);
      if (call.kind === messages.INTENT.kind) onStep(steps.STEP.intentAcknowledged);
      if (call.kind === messages.RESULT.kind) onStep(steps.STEP.resultRecorded);
      await process.waitRunning();
      return (mutant?.replaceReply?.(call.kind, reply) ?? reply) as typeof reply;
    },
    stream: (vm, call, request, options) => inner.stream(vm, call, request, options),
    onCall: (call, handler) => {
      inner.onCall(call, async (request, from, signal) => {
        await process.waitRunning();
        const reply = await handler(request, from, signal);
        await process.waitRunning();
        return reply;
      });
    },
    onStream: (call, handler) => {
      inner.onStream(call, async function* (request, from, signal) {
        for await (const item of handler(request, from, signal)) {
          await process.waitRunning();
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

/** Creates the capacity service that the node under test uses in place of `inner`. */
export function createObservedCapacity(
  inner: capacity.Capacity,
  process: nodeProcess.NodeProcess,
  onStep: steps.StepListener,
): capacity.Capacity {
  return {
    reserve: async (demand, signal) => {
      onStep(steps.STEP.queued);
      await process.waitRunning();
      const reservation = await inner.reserve(demand, signal);
      onStep(steps.STEP.leased);
      await process.waitRunning();
      return reservation;
    },
    findAllocator: (runner) => inner.findAllocator(runner),
    listLeases: () => inner.listLeases(),
    start: () => inner.start(),
    [Symbol.asyncDispose]: () => inner[Symbol.asyncDispose](),
  };
}

/** Creates the transport of a process: a killed one connects nowhere. */
export function createProcessTransport(
  inner: network.Transport,
  process: nodeProcess.NodeProcess,
): network.Transport {
  return {
    connect: async (address, signal) => {
      await process.waitRunning();
      return await inner.connect(address, signal);
    },
    listen: (address, onChannel) => inner.listen(address, onChannel),
  };
}
