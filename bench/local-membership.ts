/** In-process membership of a node in the local fleet. */
import * as membership from "../src/membership/types.js";
import type * as network from "../src/protocol/network.js";

/** A membership without probes or gossip; its members change only by `update`. */
export class LocalMembership implements membership.Membership {
  readonly self: membership.Member;
  /** Without probes, no VM is ever out of touch. */
  readonly lastHeardAt = Infinity;
  readonly #members = new Map<string, membership.Member>();
  readonly #listeners = new Set<(member: membership.Member) => void>();

  constructor(self: membership.Member) {
    this.self = self;
    this.#members.set(self.vm, self);
  }

  /** Stores a member's state and notifies the listeners. */
  update(member: membership.Member): void {
    this.#members.set(member.vm, member);
    for (const listener of this.#listeners) listener(member);
  }

  listMembers(): readonly membership.Member[] {
    return [...this.#members.values()].filter(
      (member) => member.state !== membership.MEMBER_STATE.dead,
    );
  }

  listKnown(): readonly membership.Member[] {
    return [...this.#members.values()];
  }

  listAlive(): readonly membership.Member[] {
    return [...this.#members.values()].filter(
      (member) => member.state === membership.MEMBER_STATE.alive,
    );
  }

  findMember(vm: string): membership.Member | undefined {
    return this.#members.get(vm);
  }

  listSeeds(): readonly network.PeerAddress[] {
    return this.listKnown().map(({ peer }) => peer);
  }

  onChange(listener: (member: membership.Member) => void): Disposable {
    this.#listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.#listeners.delete(listener);
      },
    };
  }

  onGossip(): void {
    // The local fleet has no gossip.
  }

  startLeaving(): Promise<void> {
    return Promise.resolve();
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }
}
