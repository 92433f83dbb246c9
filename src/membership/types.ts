/** Types of the membership: the fleet as seen by the local node. */
import type * as network from "../protocol/network.js";

/** State of a node as seen by the local node. */
export const MEMBER_STATE = {
  alive: "alive",
  /** Did not answer direct and indirect probes; may be paused, partitioned or dead. */
  suspect: "suspect",
  /** Draining: accepts no new work. */
  leaving: "leaving",
  dead: "dead",
} as const;

/** One of the values of `MEMBER_STATE`. */
export type MemberState = (typeof MEMBER_STATE)[keyof typeof MEMBER_STATE];

/** What a VM may use, as its settings state it. */
export interface VmCapacity {
  /** Processor time, in cores of the usual speed. */
  readonly cores: number;
  readonly linkMbps: number;
}

/** One node of the fleet. */
export interface Member {
  /** The VM's id in the platform's list. */
  readonly vm: string;
  /** Start time of the process, in milliseconds since the epoch; higher after a restart. */
  readonly incarnation: number;
  readonly region: string;
  readonly zone: string;
  /** Address for peers. */
  readonly peer: network.PeerAddress;
  /** Address for callers. */
  readonly caller: network.PeerAddress;
  readonly state: MemberState;
  /** `undefined` when the VM does not state it. */
  readonly capacity?: VmCapacity | undefined;
}

/** Data of another module that is piggybacked on probes; should stay within a few hundred bytes. */
export interface GossipTopic {
  /** Returns the payload to send, or `undefined` to send none. */
  create(): unknown;
  /** Handles a payload from a peer. Its shape is unchecked: the handler has to validate it. */
  onReceive(payload: unknown, from: network.PeerIdentity): void;
  /** Called for gossip without the topic, as that of VMs of earlier versions. */
  onMissing?(from: network.PeerIdentity): void;
}

/** Detects failures of peers, tracks their states, and disseminates `leaving`. */
export interface Membership extends AsyncDisposable {
  readonly self: Member;
  /** Returns every known member that is not dead, including the local node. */
  listMembers(): readonly Member[];
  /** Returns every member in the table, including dead ones that are still retained. */
  listKnown(): readonly Member[];
  /** Returns members that are alive (not suspect, leaving or dead); may include the local node. */
  listAlive(): readonly Member[];
  findMember(vm: string): Member | undefined;
  /** Monotonic time at which a probe last showed that another VM is in touch with this one. */
  readonly lastHeardAt: number;
  /** Returns the peer addresses of the VM list as last read; empty until it was read. */
  listSeeds(): readonly network.PeerAddress[];
  /** Calls `listener` after any change of a member's state or incarnation. */
  onChange(listener: (member: Member) => void): Disposable;
  /** Registers a gossip topic, which is piggybacked on probes. */
  onGossip(topic: string, handler: GossipTopic): void;
  /** Marks the local node as leaving and notifies the others without waiting for their probes. */
  startLeaving(): Promise<void>;
  start(): Promise<void>;
}
