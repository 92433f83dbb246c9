/**
 * Keeps the crash records of the nodes equal (anti-entropy). A node announces a crash to its peers at once, pulls the
 * records of its peers when it starts, and pulls again when the digest in a peer's gossip differs from its own.
 */
import * as zod from "zod";
import type * as callerTypes from "../caller/types.js";
import * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import * as randoms from "../kernel/random.js";
import * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as format from "./crash-record-format.js";
import * as runHolds from "./run-holds.js";

/** Limit on the records in one message; quarantined requests come first. */
const MAX_RECORDS = 500;
/** Time for which changes are collected into one announcement. */
const ANNOUNCE_DELAY_MS = 10;
/** Limit on the receivers of an announcement; gossip and pulls reach the others. */
const MAX_RECEIVERS = 32;
const CALL_TIMEOUT_MS = 500;
/** Number of peers, those that run longest, from which a starting node pulls. */
const START_PEERS = 3;
/** Number of peers that are back from which a node pulls within `MIN_PULL_INTERVAL_MS`; the others have the same records. */
const RETURNED_PEERS = 3;
/** Time after which a starting node gives up on peers that do not answer. */
const START_LIMIT_MS = 2_000;
const START_RETRY_MS = 100;
/** Least time between two pulls; doubles while pulls bring nothing new. */
const MIN_PULL_INTERVAL_MS = 1_000;
const MAX_PULL_INTERVAL_MS = 30_000;

const recordsSchema = zod.array(format.recordSchema).max(MAX_RECORDS);
const holdsSchema = zod.array(runHolds.holdSchema).max(MAX_RECORDS);
const digestSchema = zod.int().min(0);

const ANNOUNCE = network.createPeerCall(
  46,
  "announce-crashes",
  zod.object({
    records: recordsSchema,
    holds: holdsSchema,
    successes: zod.array(format.successSchema).max(MAX_RECORDS),
  }),
  zod.object({}),
);

const PULL = network.createPeerCall(
  47,
  "pull-crashes",
  zod.object({}),
  zod.object({
    records: recordsSchema,
    /** Whether the sender has itself pulled the records of its peers since its start. */
    isSynced: zod.boolean(),
    holds: holdsSchema,
  }),
);

/** Synchronizes the crash records of this node with those of its peers. */
export class CrashRecordSync {
  readonly #clock: clocks.Clock;
  readonly #random: randoms.RandomSource;
  readonly #log: telemetry.EventLog;
  readonly #network: network.PeerNetwork;
  readonly #membership: membership.Membership;
  readonly #crashes: callerTypes.CrashRecords;
  readonly #holds: runHolds.RunHolds;
  /** Fingerprints of records, and ids of holds, that changed since the last announcement. */
  readonly #changed = { fingerprints: new Set<string>(), holds: new Set<string>() };
  #isAnnouncing = false;
  #isReady = false;
  #isPulling = false;
  #nextPullAt = 0;
  #pullIntervalMs = MIN_PULL_INTERVAL_MS;
  /** Pulls from peers that came back, and the end of the time in which they are counted. */
  readonly #returnPulls = { count: 0, until: 0 };

  constructor(kernel: container.Kernel) {
    this.#clock = kernel.use("clock");
    this.#random = kernel.use("random");
    this.#log = kernel.use("log");
    this.#network = kernel.use("network");
    this.#membership = kernel.use("membership");
    this.#crashes = kernel.use("crashes");
    this.#holds = kernel.use("runHolds");
    this.#network.onCall(ANNOUNCE, ({ records, holds, successes }) => {
      this.#crashes.mergeSuccesses(successes);
      this.#crashes.merge(records);
      this.#holds.merge(holds);
      return {};
    });
    this.#network.onCall(PULL, () => ({
      records: [...this.#crashes.listRecords(MAX_RECORDS)],
      holds: [...this.#holds.list(MAX_RECORDS)],
      isSynced: this.#isReady,
    }));
    this.#membership.onGossip("crash-digest", {
      create: () => this.#crashes.digest,
      onReceive: (payload, from) => {
        if (digestSchema.parse(payload) !== this.#crashes.digest) void this.#pullIfDue(from.vm);
      },
    });
    this.#membership.onChange(({ vm, state }) => {
      const isBack = state === membership.MEMBER_STATE.alive && vm !== this.#membership.self.vm;
      if (isBack) this.#handleReturn(vm);
    });
    this.#crashes.onChange((fingerprint) => {
      this.#pullIntervalMs = MIN_PULL_INTERVAL_MS;
      this.#changed.fingerprints.add(fingerprint);
      this.#scheduleAnnouncement();
    });
    this.#holds.onChange((id) => {
      this.#changed.holds.add(id);
      this.#scheduleAnnouncement();
    });
  }

  /** Whether the node has the records that its peers had when it started. */
  get ready(): boolean {
    return this.#isReady;
  }

  /**
   * Pulls the records of the peers that run longest. Gives up after a time limit, since a node that reaches no peer has
   * to serve without them.
   *
   * @param peerWaitMs - time to wait for a peer while none is known.
   */
  async start(peerWaitMs: number): Promise<void> {
    const startedAt = this.#clock.now();
    while (this.#clock.now() - startedAt < START_LIMIT_MS) {
      const peers = this.#listLongestRunning();
      if (peers.length === 0 && this.#clock.now() - startedAt >= peerWaitMs) break;
      if (peers.length > 0 && (await this.#pullFirst(peers))) break;
      await clocks.sleep(this.#clock, START_RETRY_MS);
    }
    this.#isReady = true;
  }

  #listLongestRunning(): readonly membership.Member[] {
    const { self } = this.#membership;
    const peers = this.#membership.listAlive().filter(({ vm }) => vm !== self.vm);
    return peers
      .sort((first, second) => first.incarnation - second.incarnation)
      .slice(0, START_PEERS);
  }

  /**
   * Pulls from the given peers. Returns whether one of them had the records of its own peers, or all of
   * them answered.
   */
  async #pullFirst(peers: readonly membership.Member[]): Promise<boolean> {
    const results = await Promise.all(peers.map(({ vm }) => this.#pull(vm)));
    const answered = results.filter((result) => result !== undefined);
    return answered.some((result) => result.isSynced) || answered.length === peers.length;
  }

  async #pullIfDue(vm: string): Promise<void> {
    if (this.#isPulling || this.#clock.now() < this.#nextPullAt) return;
    this.#isPulling = true;
    const digest = this.#crashes.digest;
    await this.#pull(vm);
    this.#isPulling = false;
    const isNew = this.#crashes.digest !== digest;
    this.#pullIntervalMs = isNew
      ? MIN_PULL_INTERVAL_MS
      : Math.min(MAX_PULL_INTERVAL_MS, 2 * this.#pullIntervalMs);
    this.#nextPullAt = this.#clock.now() + this.#pullIntervalMs;
  }

  /** Pulls from a peer that was away: digests show only verdicts, and what it knows may make one together with the own records. */
  #handleReturn(vm: string): void {
    const now = this.#clock.now();
    const pulls = this.#returnPulls;
    if (now >= pulls.until) Object.assign(pulls, { count: 0, until: now + MIN_PULL_INTERVAL_MS });
    this.#nextPullAt = 0;
    this.#pullIntervalMs = MIN_PULL_INTERVAL_MS;
    if (pulls.count >= RETURNED_PEERS) return;
    pulls.count += 1;
    void this.#pull(vm);
  }

  /** Pulls a peer's records; returns `undefined` when it does not answer. */
  async #pull(vm: string): Promise<{ readonly isSynced: boolean } | undefined> {
    try {
      const reply = await this.#network.call(vm, PULL, {}, { timeoutMs: CALL_TIMEOUT_MS });
      this.#crashes.merge(reply.records);
      this.#holds.merge(reply.holds);
      return reply;
    } catch (error) {
      this.#log.write(logEvents.LOG_EVENTS.crashPullFailed, { peer: vm, error: String(error) });
      return undefined;
    }
  }

  #scheduleAnnouncement(): void {
    if (this.#isAnnouncing) return;
    this.#isAnnouncing = true;
    this.#clock.schedule(ANNOUNCE_DELAY_MS, () => {
      this.#isAnnouncing = false;
      this.#sendChanges();
    });
  }

  /** Announces the changes without waiting; peers that miss them learn them by gossip or a pull. */
  #sendChanges(): void {
    const { fingerprints, holds } = this.#changed;
    const records = [...fingerprints].map((fingerprint) => this.#crashes.findRecord(fingerprint));
    const successes = [...fingerprints].map((changed) => this.#crashes.findSuccess(changed));
    const changes = {
      records: records.filter((record) => record !== undefined).slice(0, MAX_RECORDS),
      successes: successes.filter((success) => success !== undefined).slice(0, MAX_RECORDS),
      holds: [...holds]
        .map((id) => this.#holds.find(id))
        .filter((hold) => hold !== undefined)
        .slice(0, MAX_RECORDS),
    };
    fingerprints.clear();
    holds.clear();
    const { self } = this.#membership;
    const peers = this.#membership.listMembers().filter(({ vm }) => vm !== self.vm);
    const receivers = randoms.createShuffled(peers, this.#random).slice(0, MAX_RECEIVERS);
    for (const { vm } of receivers) {
      this.#network
        .call(vm, ANNOUNCE, changes, { timeoutMs: CALL_TIMEOUT_MS })
        .catch(() => undefined);
    }
  }
}

/**
 * Creates the synchronization of crash records and registers its peer calls.
 *
 * @example kernel.register("crashRecordSync", createCrashRecordSync);
 */
export function createCrashRecordSync(kernel: container.Kernel): CrashRecordSync {
  return new CrashRecordSync(kernel);
}
