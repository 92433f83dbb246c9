/**
 * Failure detection based on the SWIM protocol. In each period one member is probed, in shuffled
 * rounds: by a datagram and, if that is not answered, over a connection. If both fail, two other
 * members are asked to probe it. If these fail too, it is marked as suspect, and as dead after a timeout unless it refutes the suspicion; it is marked as
 * dead at once if its process is gone. An accusation by a peer only triggers a local probe, the
 * result of which is applied. A node whose probes fail repeatedly extends its timeouts, as it may
 * itself be slow (based on Lifeguard, Dadgar et al., 2018).
 */
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import * as network from "../protocol/network.js";
import * as calls from "./membership-calls.js";
import type * as gossip from "./gossip.js";
import * as records from "./member-record.js";
import type * as memberTable from "./member-table.js";
import type * as types from "./types.js";

/** Period of the regular probes, before jitter; probes of accused members are sent in addition. */
export const PROBE_PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 500;
const DATAGRAM_TIMEOUT_MS = 250;
/** Consecutive datagrams without a reply after which a member that answers over a connection gets none for some time. */
const MAX_LOST_DATAGRAMS = 3;
const DATAGRAM_RETRY_PERIOD_MS = 30_000;
const INDIRECT_PROBE_TIMEOUT_MS = 1200;
/** Number of other members that are asked to probe a member that did not answer. */
const INDIRECT_PROBE_COUNT = 2;
/** Time a suspect has to refute the suspicion before it is marked as dead. */
export const SUSPICION_TIMEOUT_MS = 3000;
/** Time between two attempts to reach one of the dead members, before jitter; a peer that is back is known within 3 s. */
const DEAD_MEMBER_SYNC_PERIOD_MS = 1500;
/** Shortest time from a full sync that a probe has caused to the next one due to differing views. */
const MIN_SYNC_PERIOD_MS = 5000;
const SYNC_TIMEOUT_MS = 1500;
/** A probe period longer than this means that the local process was paused. */
const PAUSE_THRESHOLD_MS = 3000;
/** Peers to sync with after a pause of the local process. */
const RESUME_SYNC_COUNT = 3;
/** Number of concurrent probes from which on the probes of accused members are deferred. */
const MAX_CONCURRENT_PROBES = 8;
/** Maximum local health score; the factor of the timeouts is the score plus one. */
const MAX_LOCAL_HEALTH_SCORE = 3;

/** Datagrams to a member that were not answered although the member is alive. */
interface LostDatagrams {
  readonly count: number;
  /** Monotonic time from which on datagrams are sent to it again. */
  readonly until: number;
}

/** Services that the prober uses. */
export interface ProberOptions {
  readonly network: network.PeerNetwork;
  readonly table: memberTable.MemberTable;
  readonly gossiper: gossip.Gossiper;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
}

/** Probes members and detects those that fail. */
export class Prober {
  readonly #options: ProberOptions;
  readonly #probing = new Set<string>();
  #round: string[] = [];
  #nextDeadMemberSyncAt = DEAD_MEMBER_SYNC_PERIOD_MS;
  /** Earliest time of the next full sync due to differing views. */
  #nextDivergenceSyncAt = 0;
  /**
   * Incremented by each failed probe, unless the process of the member is gone, and decremented by
   * each answered one. 0 is healthy; higher is less healthy.
   */
  #localHealthScore = 0;
  #lastHeardAt = -Infinity;
  readonly #lostDatagrams = new Map<string, LostDatagrams>();

  constructor(options: ProberOptions) {
    this.#options = options;
    const { network: peers, table, gossiper } = options;
    peers.onCall(calls.PROBE, (request, from) => this.#handleProbe(request, from));
    peers.onCall(calls.INDIRECT_PROBE, async (request) => ({
      isReached: await this.#isReachable(request.vm),
    }));
    peers.onCall(calls.ANNOUNCE, (request) => {
      gossiper.receiveRecords(request.updates);
      return {};
    });
    peers.acceptDatagrams(calls.PROBE);
    peers.acceptDatagrams(calls.ANNOUNCE);
    peers.onCall(calls.SYNC, (request) => {
      gossiper.receiveRecords(request.members);
      return { members: [...table.list()] };
    });
  }

  /** Monotonic time at which another member last answered a probe or sent one. */
  get lastHeardAt(): number {
    return this.#lastHeardAt;
  }

  /** Probes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, table } = this.#options;
    let lastAt = clock.now();
    while (!signal.aborted) {
      const jitter = 0.9 + 0.2 * random.nextFloat();
      await clocks.sleep(clock, PROBE_PERIOD_MS * jitter, signal).catch(() => undefined);
      const wasPaused = clock.now() - lastAt > PAUSE_THRESHOLD_MS;
      if (wasPaused) await this.#handleLocalPause();
      lastAt = clock.now();
      table.expire(SUSPICION_TIMEOUT_MS * this.#getTimeoutFactor());
      this.#startProbes();
    }
  }

  /** Runs a full sync with a node; returns whether it answered. */
  async runFullSync(vm: string): Promise<boolean> {
    const { network: peers, table, gossiper } = this.#options;
    try {
      const request = { members: [...table.list()] };
      const options = { timeoutMs: SYNC_TIMEOUT_MS };
      const reply = await peers.call(vm, calls.SYNC, request, options);
      gossiper.receiveRecords(reply.members, false);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Restarts the suspicion timeouts and syncs with a few peers, so that suspicions from before a
   * pause of the local process do not expire unverified.
   */
  async #handleLocalPause(): Promise<void> {
    this.#options.table.resetSuspicionTimers();
    const peers = this.#chooseOthers(RESUME_SYNC_COUNT, "");
    await Promise.all(peers.map((peer) => this.runFullSync(peer.vm)));
  }

  #startProbes(): void {
    const next = this.#nextMember();
    if (next !== undefined) void this.#probe(next);
    for (const vm of this.#options.gossiper.listAccused()) {
      if (this.#probing.size < MAX_CONCURRENT_PROBES) void this.#verifyAccusation(vm);
    }
    this.#startDeadMemberSync();
  }

  #startDeadMemberSync(): void {
    const { clock, random, table } = this.#options;
    if (clock.now() < this.#nextDeadMemberSyncAt) return;
    this.#nextDeadMemberSyncAt =
      clock.now() + DEAD_MEMBER_SYNC_PERIOD_MS * (0.5 + random.nextFloat());
    const dead = table.listDead();
    const chosen = dead[random.nextInteger(dead.length)];
    if (chosen !== undefined) void this.runFullSync(chosen.vm);
  }

  /** Returns the next member of the shuffled round that is not dead. */
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

  async #verifyAccusation(vm: string): Promise<void> {
    const record = this.#options.table.find(vm);
    if (record !== undefined) await this.#probe(record);
    this.#options.gossiper.removeAccusation(vm);
  }

  async #probe(member: records.MemberRecord): Promise<void> {
    if (this.#probing.has(member.vm)) return;
    this.#probing.add(member.vm);
    try {
      await this.#probeAndMark(member);
    } finally {
      this.#probing.delete(member.vm);
    }
  }

  async #probeAndMark(member: records.MemberRecord): Promise<void> {
    const failure = await this.#probeDirectly(member);
    if (failure === undefined) return;
    const isGone = failure === network.CALL_FAILURE.gone;
    if (isGone && (await this.runFullSync(member.vm))) return;
    if (await this.#probeIndirectly(member.vm)) return;
    const liveness = isGone ? records.LIVENESS.dead : records.LIVENESS.suspect;
    this.#options.table.markLiveness(member, liveness);
  }

  /** Probes a member; returns how the probe failed, or `undefined` when it was answered. */
  async #probeDirectly(member: records.MemberRecord): Promise<network.CallFailure | undefined> {
    const { network: peers, gossiper } = this.#options;
    if (await this.#probeByDatagram(member)) return undefined;
    const timeoutMs = PROBE_TIMEOUT_MS * this.#getTimeoutFactor();
    const options = { timeoutMs, incarnation: member.incarnation };
    try {
      const request = gossiper.createGossip(member.vm);
      this.#handleAnswer(member, await peers.call(member.vm, calls.PROBE, request, options));
      this.#recordLostDatagram(member.vm);
      return undefined;
    } catch (error) {
      const failure =
        error instanceof network.PeerCallError ? error.failure : network.CALL_FAILURE.notSent;
      if (failure !== network.CALL_FAILURE.gone) this.#localHealthScore += 1;
      this.#localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, this.#localHealthScore);
      return failure;
    }
  }

  /** Returns whether a member answered a datagram. */
  async #probeByDatagram(member: records.MemberRecord): Promise<boolean> {
    const { network: peers, gossiper, clock } = this.#options;
    const lost = this.#lostDatagrams.get(member.vm);
    if (lost !== undefined && clock.now() < lost.until) return false;
    const timeoutMs = DATAGRAM_TIMEOUT_MS * this.#getTimeoutFactor();
    const options = { timeoutMs, incarnation: member.incarnation };
    try {
      const request = gossiper.createGossip(member.vm);
      const reply = await peers.callByDatagram(member.vm, calls.PROBE, request, options);
      this.#lostDatagrams.delete(member.vm);
      this.#handleAnswer(member, reply);
      return true;
    } catch {
      return false;
    }
  }

  #handleAnswer(member: records.MemberRecord, { gossip, isUnknown }: calls.ProbeReply): void {
    this.#lastHeardAt = this.#options.clock.now();
    this.#localHealthScore = Math.max(0, this.#localHealthScore - 1);
    this.#options.gossiper.receiveGossip(gossip, member);
    this.#startSyncIfNeeded(member.vm, isUnknown, gossip.digest);
  }

  /** Records that a member answered over a connection only; one of an earlier version knows no datagrams. */
  #recordLostDatagram(vm: string): void {
    const count = (this.#lostDatagrams.get(vm)?.count ?? 0) + 1;
    const isGivenUp = count >= MAX_LOST_DATAGRAMS;
    const until = isGivenUp ? this.#options.clock.now() + DATAGRAM_RETRY_PERIOD_MS : -Infinity;
    this.#lostDatagrams.set(vm, { count: isGivenUp ? MAX_LOST_DATAGRAMS - 1 : count, until });
  }

  async #probeIndirectly(vm: string): Promise<boolean> {
    const { network: peers } = this.#options;
    const relays = this.#chooseOthers(INDIRECT_PROBE_COUNT, vm);
    const indirectProbes = relays.map(async (relay) => {
      const options = { timeoutMs: INDIRECT_PROBE_TIMEOUT_MS * this.#getTimeoutFactor() };
      const reply = await peers.call(relay.vm, calls.INDIRECT_PROBE, { vm }, options);
      if (!reply.isReached) throw new Error(`${relay.vm} cannot reach ${vm}`);
    });
    try {
      await Promise.any(indirectProbes);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Returns the factor by which timeouts are extended. A node that is short of processor time handles
   * answers late, so its peers only appear to be slow.
   */
  #getTimeoutFactor(): number {
    return 1 + this.#localHealthScore;
  }

  async #isReachable(vm: string): Promise<boolean> {
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
    const { clock, gossiper, table } = this.#options;
    this.#lastHeardAt = clock.now();
    gossiper.receiveGossip(request, from);
    const isUnknown = (table.find(from.vm)?.incarnation ?? -1) < from.incarnation;
    return { gossip: gossiper.createGossip(from.vm), isUnknown };
  }

  /**
   * Starts a full sync if the peer does not know this incarnation, or if the views differ although no
   * updates are left to disseminate.
   */
  #startSyncIfNeeded(vm: string, isUnknown: boolean, digest: number): void {
    const { clock, table } = this.#options;
    const isDiverged =
      table.isFullyDisseminated &&
      digest !== table.digest &&
      clock.now() >= this.#nextDivergenceSyncAt;
    if (!isUnknown && !isDiverged) return;
    this.#nextDivergenceSyncAt = clock.now() + MIN_SYNC_PERIOD_MS;
    void this.runFullSync(vm);
  }

  #chooseOthers(count: number, except: string): readonly types.Member[] {
    const { table, random } = this.#options;
    const alive = table
      .listOthers()
      .filter((record) => record.vm !== except && record.liveness === records.LIVENESS.alive);
    return randoms.createShuffled(alive, random).slice(0, count).map(records.createMember);
  }
}
