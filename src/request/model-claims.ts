/** Claims model requests at other nodes, and notifies nodes of newer attempts. */
import type * as types from "../caller/types.js";
import * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import * as network from "../protocol/network.js";
import * as messages from "./messages-model.js";

const CLAIM_TIMEOUT_MS = 400;
const SUPERSEDE_TIMEOUT_MS = 500;
const SUPERSEDE_RETRY_MS = 500;

/** A model call whose id is known. */
export interface IdentifiedCall {
  readonly call: types.ModelCall;
  readonly id: types.RequestId;
  readonly attempt: number;
  readonly fingerprint: string;
}

/** Client for the claims of a request at its owner, or at its backup when the owner is lost. */
export class ClaimClient implements Disposable {
  readonly #kernel: kernels.Kernel;
  readonly #stopped = new AbortController();

  constructor(kernel: kernels.Kernel) {
    this.#kernel = kernel;
  }

  /** Returns this incarnation of this node. */
  getSelf(): types.NodeRef {
    const { vm, incarnation } = this.#kernel.use("membership").self;
    return { vm, incarnation };
  }

  /** Whether a reference is to this incarnation of this node. */
  isSelf(node: types.NodeRef): boolean {
    const self = this.getSelf();
    return node.vm === self.vm && node.incarnation === self.incarnation;
  }

  /** Creates a claim of this node on a request. */
  createClaimRequest(
    identified: IdentifiedCall,
    replaces: types.NodeRef | undefined,
  ): messages.ClaimRequest {
    return {
      id: identified.id.text,
      attempt: identified.attempt,
      claimant: this.getSelf(),
      replaces,
      expiresAt: identified.id.session.expiresAt,
    };
  }

  /** Claims a request at its owner, else at its backup. With both lost, this node is the holder. */
  async claim(
    identified: IdentifiedCall,
    replaces: types.NodeRef | undefined,
    signal: AbortSignal,
  ): Promise<types.NodeRef> {
    const request = this.createClaimRequest(identified, replaces);
    const { owner, backup } = identified.id.session;
    for (const peer of backup === undefined ? [owner] : [owner, backup]) {
      if (peer.vm === replaces?.vm) continue;
      const holder = await this.#sendClaimTo(peer, request, signal);
      if (holder !== undefined) return holder;
    }
    return this.getSelf();
  }

  async #sendClaimTo(
    peer: types.NodeRef,
    request: messages.ClaimRequest,
    signal: AbortSignal,
  ): Promise<types.NodeRef | undefined> {
    const options = { timeoutMs: CLAIM_TIMEOUT_MS, signal, incarnation: peer.incarnation };
    const network = this.#kernel.use("network");
    try {
      const reply = await network.call(peer.vm, messages.MODEL_CLAIM, request, options);
      return reply.holder;
    } catch {
      if (signal.aborted) throw signal.reason as Error;
      return undefined;
    }
  }

  /** Notifies a node that its run is superseded, until it answers or the deadline passes. */
  startSupersede(identified: IdentifiedCall, holder: types.NodeRef): void {
    void this.#sendSupersede(identified, holder);
  }

  async #sendSupersede(identified: IdentifiedCall, holder: types.NodeRef): Promise<void> {
    const timeSource = this.#kernel.use("clock");
    const deadline = timeSource.now() + identified.call.deadlineMs;
    const request = { id: identified.id.text, attempt: identified.attempt };
    const options = { timeoutMs: SUPERSEDE_TIMEOUT_MS, incarnation: holder.incarnation };
    while (timeSource.now() < deadline && !this.#stopped.signal.aborted) {
      try {
        await this.#kernel
          .use("network")
          .call(holder.vm, messages.MODEL_SUPERSEDE, request, options);
        return;
      } catch (error) {
        const isCallError = error instanceof network.PeerCallError;
        if (isCallError && error.failure === network.CALL_FAILURE.gone) return;
        await clocks.sleep(timeSource, SUPERSEDE_RETRY_MS);
      }
    }
  }

  [Symbol.dispose](): void {
    this.#stopped.abort(new Error("node stopped"));
  }
}
