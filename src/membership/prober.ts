/**
 * Failure detection after SWIM: each period one member is probed, in shuffled rounds; without an
 * answer two others probe it; without theirs it is suspect, and dead some seconds later unless it
 * refutes that. What peers say against a member is believed only after an own probe failed too.
 * A node most of whose probes fail waits longer, for it may be slow itself (after Lifeguard, Dadgar
 * et al., 2018).
 */
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import * as network from "../protocol/network.js";
import * as calls from "./membership-calls.js";
import type * as gossip from "./gossip.js";
import * as records from "./member-record.js";
import type * as memberTable from "./member-table.js";
import type * as types from "./types.js";

/** Time between two probes of a node. */
export const PROBE_PERIOD_MS = 500;
const PROBE_LIMIT_MS = 500;
const PROBE_THROUGH_LIMIT_MS = 1200;
const PROBE_THROUGH_COUNT = 2;
/** How long a suspect has to refute before it is dead. */
export const SUSPICION_MS = 3000;
/** Time between two tries to reach one of the dead members. */
const DEAD_PROBE_PERIOD_MS = 5000;
/** Shortest time between two exchanges of everything because of unequal views. */
const SYNC_PERIOD_MS = 5000;
const SYNC_LIMIT_MS = 1500;
/** A period longer than this shows that the own process was paused. */
const PAUSE_MS = 3000;
/** Peers asked after a pause. */
const WAKE_SYNC_COUNT = 3;
/** Probes in flight at once; above it accusations wait. */
const MAX_PROBES = 8;

/** Failed probes in a row beyond successful ones that count towards the own slowness. */
const MAX_SLOWNESS = 3;

/** What the prober works with. */
export interface ProberOptions {
  readonly network: network.PeerNetwork;
  readonly table: memberTable.MemberTable;
  readonly gossiper: gossip.Gossiper;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
}

/** Probes members and finds out which fail. */
export class Prober {
  readonly #options: ProberOptions;
  readonly #probing = new Set<string>();
  #round: string[] = [];
  #deadProbeDue = DEAD_PROBE_PERIOD_MS;
  #syncDue = 0;
  /** Rises with failed probes, falls with answered ones: perhaps this node itself is slow. */
  #slowness = 0;

  constructor(options: ProberOptions) {
    this.#options = options;
    const { network: peers, table, gossiper } = options;
    peers.onCall(calls.PROBE, (request, from) => this.#handleProbe(request, from));
    peers.onCall(calls.PROBE_THROUGH, async (request) => ({
      isReached: await this.#isReached(request.vm),
    }));
    peers.onCall(calls.ANNOUNCE, (request) => {
      gossiper.receiveRecords(request.updates);
      return {};
    });
    peers.onCall(calls.SYNC, (request) => {
      gossiper.receiveRecords(request.members);
      return { members: [...table.list()] };
    });
  }

  /** Probes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, table } = this.#options;
    let lastAt = clock.now();
    while (!signal.aborted) {
      const jitter = 0.9 + 0.2 * random.nextFloat();
      await clocks.sleep(clock, PROBE_PERIOD_MS * jitter, signal).catch(() => undefined);
      const wasPaused = clock.now() - lastAt > PAUSE_MS;
      if (wasPaused) await this.#checkPeers();
      lastAt = clock.now();
      table.expire(SUSPICION_MS * this.#getPatience());
      this.#startProbes();
    }
  }

  /** Exchanges everything with a node; returns whether it answered. */
  async callMember(vm: string): Promise<boolean> {
    const { network: peers, table, gossiper } = this.#options;
    try {
      const request = { members: [...table.list()] };
      const options = { timeoutMs: SYNC_LIMIT_MS };
      const reply = await peers.call(vm, calls.SYNC, request, options);
      gossiper.receiveRecords(reply.members, false);
      return true;
    } catch {
      return false;
    }
  }

  /** Asks a few peers for their view, before suspicions of before the pause count. */
  async #checkPeers(): Promise<void> {
    this.#options.table.renewSuspicions();
    const peers = this.#chooseOthers(WAKE_SYNC_COUNT, "");
    await Promise.all(peers.map((peer) => this.callMember(peer.vm)));
  }

  #startProbes(): void {
    const next = this.#nextMember();
    if (next !== undefined) void this.#probe(next);
    for (const vm of this.#options.gossiper.listAccused()) {
      if (this.#probing.size < MAX_PROBES) void this.#checkAccusation(vm);
    }
    this.#startDeadProbe();
  }

  #startDeadProbe(): void {
    const { clock, random, table } = this.#options;
    if (clock.now() < this.#deadProbeDue) return;
    this.#deadProbeDue = clock.now() + DEAD_PROBE_PERIOD_MS * (0.5 + random.nextFloat());
    const dead = table.listDead();
    const chosen = dead[random.nextInteger(dead.length)];
    if (chosen !== undefined) void this.callMember(chosen.vm);
  }

  /** Returns the next member of the shuffled round. */
  #nextMember(): records.MemberRecord | undefined {
    const { table, random } = this.#options;
    if (this.#round.length === 0) {
      const vms = table.listOthers().map((record) => record.vm);
      this.#round = randoms.createShuffled(vms, random);
    }
    const vm = this.#round.pop();
    if (vm === undefined) return undefined;
    const record = table.find(vm);
    const isDead = record?.liveness === records.LIVENESS.dead;
    return isDead ? this.#nextMember() : record;
  }

  async #checkAccusation(vm: string): Promise<void> {
    const record = this.#options.table.find(vm);
    if (record !== undefined) await this.#probe(record);
    this.#options.gossiper.removeAccusation(vm);
  }

  async #probe(member: records.MemberRecord): Promise<void> {
    if (this.#probing.has(member.vm)) return;
    this.#probing.add(member.vm);
    try {
      await this.#probeFully(member);
    } finally {
      this.#probing.delete(member.vm);
    }
  }

  async #probeFully(member: records.MemberRecord): Promise<void> {
    const failure = await this.#probeDirectly(member);
    if (failure === undefined) return;
    const isGone = failure === network.CALL_FAILURE.gone;
    if (isGone && (await this.callMember(member.vm))) return;
    if (await this.#probeThroughOthers(member.vm)) return;
    const liveness = isGone ? records.LIVENESS.dead : records.LIVENESS.suspect;
    this.#options.table.markLiveness(member, liveness);
  }

  /** Probes a member; returns how that failed, or `undefined` when it answered. */
  async #probeDirectly(member: records.MemberRecord): Promise<network.CallFailure | undefined> {
    const { network: peers, gossiper } = this.#options;
    const timeoutMs = PROBE_LIMIT_MS * this.#getPatience();
    const options = { timeoutMs, incarnation: member.incarnation };
    try {
      const request = gossiper.createGossip(member.vm);
      const reply = await peers.call(member.vm, calls.PROBE, request, options);
      this.#slowness = Math.max(0, this.#slowness - 1);
      gossiper.receiveGossip(reply.gossip, member);
      this.#handleViews(member.vm, reply.isUnknown, reply.gossip.digest);
      return undefined;
    } catch (error) {
      const failure =
        error instanceof network.PeerCallError ? error.failure : network.CALL_FAILURE.notSent;
      if (failure !== network.CALL_FAILURE.gone) this.#slowness += 1;
      this.#slowness = Math.min(MAX_SLOWNESS, this.#slowness);
      return failure;
    }
  }

  async #probeThroughOthers(vm: string): Promise<boolean> {
    const { network: peers } = this.#options;
    const relays = this.#chooseOthers(PROBE_THROUGH_COUNT, vm);
    const answers = relays.map(async (relay) => {
      const options = { timeoutMs: PROBE_THROUGH_LIMIT_MS * this.#getPatience() };
      const reply = await peers.call(relay.vm, calls.PROBE_THROUGH, { vm }, options);
      if (!reply.isReached) throw new Error(`${relay.vm} does not reach ${vm}`);
    });
    try {
      await Promise.any(answers);
      return true;
    } catch {
      return false;
    }
  }

  /** Returns by how much limits are stretched: a node short of processor time finds others slow. */
  #getPatience(): number {
    return 1 + this.#slowness;
  }

  async #isReached(vm: string): Promise<boolean> {
    const member = this.#options.table.find(vm);
    if (member === undefined) return false;
    return (await this.#probeDirectly(member)) === undefined;
  }

  #handleProbe(
    request: calls.Gossip,
    from: network.PeerIdentity,
  ): {
    gossip: calls.Gossip;
    isUnknown: boolean;
  } {
    const { gossiper, table } = this.#options;
    gossiper.receiveGossip(request, from);
    const isUnknown = (table.find(from.vm)?.incarnation ?? -1) < from.incarnation;
    return { gossip: gossiper.createGossip(from.vm), isUnknown };
  }

  /** Exchanges everything when the views differ though no news are under way. */
  #handleViews(vm: string, isUnknown: boolean, digest: number): void {
    const { clock, table } = this.#options;
    const isUnequal = table.settled && digest !== table.digest && clock.now() >= this.#syncDue;
    if (!isUnknown && !isUnequal) return;
    this.#syncDue = clock.now() + SYNC_PERIOD_MS;
    void this.callMember(vm);
  }

  #chooseOthers(count: number, except: string): readonly types.Member[] {
    const { table, random } = this.#options;
    const alive = table
      .listOthers()
      .filter((record) => record.vm !== except && record.liveness === records.LIVENESS.alive);
    return randoms.createShuffled(alive, random).slice(0, count).map(records.createMember);
  }
}
