/**
 * Claims model requests at other nodes, and notifies other nodes that their runs are superseded.
 */
import type * as callerTypes from "../caller/types.js";
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import * as network from "../protocol/network.js";
import * as modelMessages from "./model-messages.js";

const CLAIM_TIMEOUT_MS = 400;
const SUPERSEDE_TIMEOUT_MS = 500;
const SUPERSEDE_RETRY_DELAY_MS = 500;

/** A model call with its request id, attempt and fingerprint. */
export interface IdentifiedCall {
  readonly call: callerTypes.ModelCall;
  readonly id: callerTypes.RequestId;
  readonly attempt: number;
  readonly fingerprint: string;
}

/**
 * Claims requests at their owner node, which records which node runs each request; falls back to the
 * backup.
 */
export class ClaimClient implements Disposable {
  readonly #kernel: kernels.Kernel;
  readonly #stopped = new AbortController();

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
  }

  /** Returns this incarnation of this node. */
  getSelf(): callerTypes.NodeRef {
    const { vm, incarnation } = this.#kernel.use("membership").self;
    return { vm, incarnation };
  }

  /** Whether a reference is to this incarnation of this node. */
  isSelf(node: callerTypes.NodeRef): boolean {
    const self = this.getSelf();
    return node.vm === self.vm && node.incarnation === self.incarnation;
  }

  /** Creates a claim of this node on a request. */
  createClaimRequest(
    identifiedCall: IdentifiedCall,
    replaces: callerTypes.NodeRef | undefined,
  ): modelMessages.ClaimRequest {
    return {
      id: identifiedCall.id.text,
      attempt: identifiedCall.attempt,
      claimant: this.getSelf(),
      replaces,
      expiresAt: identifiedCall.id.session.expiresAt,
    };
  }

  /**
   * Claims a request at its owner, else at its backup.
   *
   * @param replaces - the lost holder that this claim replaces; its VM is not asked.
   * @returns the holder; this node if no call to the owner or the backup succeeds.
   * @throws the reason of `signal` when it aborts.
   */
  async claim(
    identifiedCall: IdentifiedCall,
    replaces: callerTypes.NodeRef | undefined,
    signal: AbortSignal,
  ): Promise<callerTypes.NodeRef> {
    const request = this.createClaimRequest(identifiedCall, replaces);
    const { owner, backup } = identifiedCall.id.session;
    for (const peer of backup === undefined ? [owner] : [owner, backup]) {
      if (peer.vm === replaces?.vm) continue;
      const holder = await this.#sendClaimTo(peer, request, signal);
      if (holder !== undefined) return holder;
    }
    return this.getSelf();
  }

  async #sendClaimTo(
    peer: callerTypes.NodeRef,
    request: modelMessages.ClaimRequest,
    signal: AbortSignal,
  ): Promise<callerTypes.NodeRef | undefined> {
    const options = { timeoutMs: CLAIM_TIMEOUT_MS, signal, incarnation: peer.incarnation };
    const peerNetwork = this.#kernel.use("network");
    try {
      const reply = await peerNetwork.call(peer.vm, modelMessages.MODEL_CLAIM, request, options);
      return reply.holder;
    } catch {
      if (signal.aborted) throw signal.reason as Error;
      return undefined;
    }
  }

  /**
   * Notifies a node in the background that its run is superseded. Retries until the node answers or
   * is gone, the deadline passes or this node stops.
   */
  startSupersede(identifiedCall: IdentifiedCall, holder: callerTypes.NodeRef): void {
    void this.#notifySuperseded(identifiedCall, holder);
  }

  async #notifySuperseded(
    identifiedCall: IdentifiedCall,
    holder: callerTypes.NodeRef,
  ): Promise<void> {
    const clock = this.#kernel.use("clock");
    const deadline = clock.now() + identifiedCall.call.deadlineMs;
    const request = { id: identifiedCall.id.text, attempt: identifiedCall.attempt };
    const options = { timeoutMs: SUPERSEDE_TIMEOUT_MS, incarnation: holder.incarnation };
    while (clock.now() < deadline && !this.#stopped.signal.aborted) {
      try {
        await this.#kernel
          .use("network")
          .call(holder.vm, modelMessages.MODEL_SUPERSEDE, request, options);
        return;
      } catch (error) {
        const isCallError = error instanceof network.PeerCallError;
        if (isCallError && error.failure === network.CALL_FAILURE.gone) return;
        await clocks.sleep(clock, SUPERSEDE_RETRY_DELAY_MS);
      }
    }
  }

  [Symbol.dispose](): void {
    this.#stopped.abort(new Error("node stopped"));
  }
}
