/** The fleet as one node sees it. */
import type * as network from "../protocol/network.js";

/** What is known of a node. */
export const MEMBER_STATE = {
  alive: "alive",
  /** Missed probes; may be paused, cut off or dead. */
  suspect: "suspect",
  /** Draining: takes no new work. */
  leaving: "leaving",
  dead: "dead",
} as const;

/** One of the values of `MEMBER_STATE`. */
export type MemberState = (typeof MEMBER_STATE)[keyof typeof MEMBER_STATE];

/** One node of the fleet. */
export interface Member {
  /** The VM's id, as the platform's list has it. */
  readonly vm: string;
  /** Start of the process, in milliseconds since the epoch; a restart has a higher one. */
  readonly incarnation: number;
  readonly region: string;
  readonly zone: string;
  /** Where peers connect. */
  readonly peer: network.PeerAddress;
  /** Where callers connect. */
  readonly caller: network.PeerAddress;
  readonly state: MemberState;
}

/** Data of another part that travels in the probes, a few hundred bytes at most. */
export interface GossipTopic {
  /** Returns what to tell; `undefined` tells nothing. */
  create(): unknown;
  /** Handles what a peer told. Payloads are untrusted in shape: validate. */
  onReceive(payload: unknown, from: network.PeerIdentity): void;
}

/** Probes peers, keeps their states, and spreads `leaving`. */
export interface Membership extends AsyncDisposable {
  readonly self: Member;
  /** Returns every known member that is not dead, self included. */
  listMembers(): readonly Member[];
  /** Returns every member that is remembered, dead ones too. */
  listKnown(): readonly Member[];
  /** Returns members that are alive (neither suspect, leaving nor dead), self included unless leaving. */
  listAlive(): readonly Member[];
  findMember(vm: string): Member | undefined;
  /** Calls `listener` after any change of a member's state or incarnation. */
  onChange(listener: (member: Member) => void): Disposable;
  /** Adds a topic to the probes. */
  onGossip(topic: string, handler: GossipTopic): void;
  /** Marks the own node as leaving and tells the others without waiting for their probes. */
  startLeaving(): Promise<void>;
  start(): Promise<void>;
}
