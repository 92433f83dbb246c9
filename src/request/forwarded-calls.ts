/** Forwards non-idempotent plain calls to their owner; falls back to the backup. */
import type * as kernels from "../kernel/container.js";
import * as signals from "../kernel/signals.js";
import type * as callerTypes from "../caller/types.js";
import * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import * as backupClient from "./backup-client.js";
import * as plainMessages from "./plain-messages.js";
import type * as outcomes from "./outcome.js";

/** Time beyond the deadline in which the owner's final answer may still arrive. */
const OWNER_GRACE_MS = 250;

/** A call whose id is owned by another node or incarnation. */
export type ForwardedCall = callerTypes.PlainCall & { readonly id: callerTypes.RequestId };

interface OwnerWatch extends Disposable {
  readonly signal: AbortSignal;
}

/** Forwards calls to the nodes that own them. */
export class ForwardedCalls {
  readonly #peers: network.PeerNetwork;
  readonly #membership: membership.Membership;
  readonly #backup: backupClient.BackupClient;

  constructor(kernel: kernels.Kernel) {
    this.#peers = kernel.use("network");
    this.#membership = kernel.use("membership");
    this.#backup = new backupClient.BackupClient(kernel);
  }

  /** Returns the owner's outcome, else the backup's. Rejects only when `signal` aborts. */
  async run(call: ForwardedCall, signal: AbortSignal): Promise<outcomes.Outcome> {
    const outcome = await this.#callOwner(call, signal);
    signal.throwIfAborted();
    return outcome ?? (await this.#backup.readOutcome(call.id));
  }

  /** Returns `undefined` when the owner is lost, does not answer or does not know the service. */
  async #callOwner(
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<outcomes.Outcome | undefined> {
    const { owner } = call.id.session;
    if (owner.vm === this.#membership.self.vm) return undefined;
    using ownerLost = this.#watchOwner(owner);
    using joined = signals.createJoinedSignal([signal, ownerLost.signal]);
    try {
      const reply = await this.#peers.call(
        owner.vm,
        plainMessages.FORWARD,
        createForwardRequest(call),
        {
          timeoutMs: call.deadlineMs + OWNER_GRACE_MS,
          incarnation: owner.incarnation,
          signal: joined.signal,
        },
      );
      return reply.outcome;
    } catch {
      return undefined;
    }
  }

  /**
   * Returns a signal that aborts once membership reports the owner as suspect, dead or restarted.
   */
  #watchOwner(owner: callerTypes.NodeRef): OwnerWatch {
    const ownerLost = new AbortController();
    const checkOwner = (): void => {
      if (this.#isOwnerLost(owner)) ownerLost.abort();
    };
    const subscription = this.#membership.onChange(checkOwner);
    checkOwner();
    return {
      signal: ownerLost.signal,
      [Symbol.dispose]: () => {
        subscription[Symbol.dispose]();
      },
    };
  }

  #isOwnerLost(owner: callerTypes.NodeRef): boolean {
    const member = this.#membership.findMember(owner.vm);
    if (!member) return false;
    const { suspect, dead } = membership.MEMBER_STATE;
    return (
      member.incarnation > owner.incarnation || member.state === suspect || member.state === dead
    );
  }
}

function createForwardRequest(call: ForwardedCall): plainMessages.ForwardRequest {
  const { method, path, headers, body } = call.request;
  return {
    id: call.id.text,
    caller: call.caller.name,
    service: call.service.name,
    method,
    path,
    headers: { ...headers },
    body,
    deadlineMs: call.deadlineMs,
  };
}
