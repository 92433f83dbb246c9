/** Membership of the fleet: combines failure detection, gossip and the platform's VM list. */
import type * as container from "../kernel/container.js";
import * as incarnations from "../protocol/incarnation.js";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as gossip from "./gossip.js";
import * as records from "./member-record.js";
import * as memberTable from "./member-table.js";
import * as calls from "./membership-calls.js";
import * as randoms from "../kernel/random.js";
import * as prober from "./prober.js";
import * as types from "./types.js";
import * as vmListReader from "./vm-list-reader.js";

/** Peers notified directly that a node is leaving; in larger fleets the rest learn it by gossip. */
const MAX_ANNOUNCEMENTS = 32;
const ANNOUNCE_TIMEOUT_MS = 500;
/** Wait for the reply to an announcement by datagram, before it is sent over a connection. */
const ANNOUNCE_DATAGRAM_MS = 150;

/** The members of a table after a number of changes. */
interface MemberLists {
  readonly changeCount: number;
  readonly known: readonly types.Member[];
  /** Members that are not dead. */
  readonly members: readonly types.Member[];
  readonly alive: readonly types.Member[];
}

class SwimMembership implements types.Membership {
  readonly #network: network.PeerNetwork;
  readonly #random: prober.ProberOptions["random"];
  readonly #log: telemetry.EventLog;
  readonly #table: memberTable.MemberTable;
  readonly #gossiper: gossip.Gossiper;
  readonly #prober: prober.Prober;
  readonly #listReader: vmListReader.VmListReader;
  readonly #controller = new AbortController();
  readonly #tasks: Promise<void>[] = [];
  #lists: MemberLists = { changeCount: -1, known: [], members: [], alive: [] };

  constructor(kernel: container.Kernel) {
    const clock = kernel.use("clock");
    const local = records.createLocalRecord(
      kernel.use("settings"),
      incarnations.useIncarnation(kernel),
    );
    this.#network = kernel.use("network");
    this.#random = kernel.use("random");
    this.#log = kernel.use("log");
    this.#table = new memberTable.MemberTable(local, clock);
    this.#gossiper = new gossip.Gossiper(this.#table, this.#log);
    const shared = {
      network: this.#network,
      table: this.#table,
      clock,
      random: this.#random,
    };
    this.#prober = new prober.Prober({ ...shared, gossiper: this.#gossiper });
    this.#listReader = new vmListReader.VmListReader({
      ...shared,
      platform: kernel.use("platform"),
      prober: this.#prober,
      log: this.#log,
      onLeaving: (vm) => void this.#sendRecord(vm),
    });
    this.#table.onChange((member) => {
      this.#handleChange(member);
    });
  }

  get self(): types.Member {
    return records.createMember(this.#table.localRecord);
  }

  get lastHeardAt(): number {
    return this.#prober.lastHeardAt;
  }

  listMembers(): readonly types.Member[] {
    return this.#useLists().members;
  }

  listKnown(): readonly types.Member[] {
    return this.#useLists().known;
  }

  listAlive(): readonly types.Member[] {
    return this.#useLists().alive;
  }

  findMember(vm: string): types.Member | undefined {
    const record = this.#table.find(vm);
    return record === undefined ? undefined : records.createMember(record);
  }

  listSeeds(): readonly network.PeerAddress[] {
    return this.#listReader.listedAddresses;
  }

  onChange(listener: (member: types.Member) => void): Disposable {
    return this.#table.onChange((member) => {
      try {
        listener(member);
      } catch (error) {
        this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
      }
    });
  }

  onGossip(topic: string, handler: types.GossipTopic): void {
    this.#gossiper.addTopic(topic, handler);
  }

  async startLeaving(): Promise<void> {
    const { vm } = this.#table.localRecord;
    if (this.#table.markLeaving(vm)) await this.#sendRecord(vm);
  }

  /** Reads the VM list, syncs with peers that answer, then starts the background tasks. */
  async start(): Promise<void> {
    const { signal } = this.#controller;
    await this.#listReader.read(signal);
    this.#tasks.push(this.#prober.run(signal), this.#listReader.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node stops"));
    await Promise.all(this.#tasks);
  }

  /** Returns the lists of members, which are made anew only after a change. */
  #useLists(): MemberLists {
    const { changeCount } = this.#table;
    if (this.#lists.changeCount === changeCount) return this.#lists;
    const known = this.#table.list().map(records.createMember);
    const members = known.filter(({ state }) => state !== types.MEMBER_STATE.dead);
    const alive = members.filter(({ state }) => state === types.MEMBER_STATE.alive);
    this.#lists = { changeCount, known, members, alive };
    return this.#lists;
  }

  /** Sends one member's record to peers directly, without waiting for their probes. */
  async #sendRecord(vm: string): Promise<void> {
    const request = { updates: [this.#table.get(vm)] };
    const options = { timeoutMs: ANNOUNCE_TIMEOUT_MS };
    const receivers = randoms
      .createShuffled(this.#table.listOthers(), this.#random)
      .slice(0, MAX_ANNOUNCEMENTS);
    const sends = receivers.map(async (other) => {
      await this.#network
        .callByDatagram(other.vm, calls.ANNOUNCE, request, { timeoutMs: ANNOUNCE_DATAGRAM_MS })
        .catch(() => this.#network.call(other.vm, calls.ANNOUNCE, request, options));
    });
    await Promise.allSettled(sends);
  }

  #handleChange(member: types.Member): void {
    const isLocal = member.vm === this.#table.localRecord.vm;
    if (!isLocal) this.#network.setAddress(member.vm, member.peer);
    const { vm, state, incarnation } = member;
    this.#log.write(logEvents.LOG_EVENTS.memberChanged, { vm, state, incarnation });
  }
}

/**
 * Creates the membership of a node.
 *
 * @example kernel.register("membership", (services) => createMembership(services));
 */
export function createMembership(kernel: container.Kernel): types.Membership {
  return new SwimMembership(kernel);
}
