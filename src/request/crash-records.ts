/**
 * Counts crashes by request fingerprint across the fleet, and quarantines requests that crash
 * several upstreams. A crash gives each of N requests in flight a weight of 1/N; the requests that
 * were in flight at the largest number of previous crashes share the full weight instead.
 */
import * as lru from "lru-cache";
import * as xxhash from "xxhash-wasm";
import * as zod from "zod";
import type * as callerTypes from "../caller/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import * as events from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as format from "./crash-record-format.js";

/** Time after its last evidence after which a fingerprint is forgotten. */
const ENTRY_LIFETIME_MS = 600_000;
/**
 * Limit on the stored fingerprints. An evicted request can crash more upstreams before it is
 * quarantined, but it gets no wrong answer.
 */
const MAX_ENTRIES = 10_000;
const MAX_ENTRIES_PER_PROBE = 6;
/** Number of gossip payloads that carry an entry after it changed. */
const GOSSIP_ROUNDS_PER_CHANGE = 8;
/** Total weight, over at least two upstreams, at which a request is quarantined. */
const QUARANTINE_WEIGHT = 1.5;
/** Factor on the number of previous crashes of a request that has generated tokens since. */
const PROGRESS_DISCOUNT = 0.5;
/** Factor on the weight of a crash for a request that succeeded lately. */
const SUCCESS_DISCOUNT = 0.25;
/**
 * Total weight at which a sole prime suspect is quarantined even if it progressed since a crash.
 */
const SOLE_SUSPECT_WEIGHT = 0.5;

/** Limit on the fingerprints that the log entry of a crash names. */
const MAX_LOGGED_FINGERPRINTS = 8;

/** Upper bound of a digest, which is a sum of hashes. */
const DIGEST_RANGE = 2 ** 32;

const hasher = await xxhash.default();

interface CrashEvidence {
  readonly weight: number;
  /** Monotonic time of the crash. */
  readonly at: number;
}

interface Entry {
  readonly upstreams: Map<string, CrashEvidence>;
  isQuarantined: boolean;
  /** Whether the request generated tokens after a crash. */
  hasProgressed: boolean;
  changedAt: number;
  gossipRoundsLeft: number;
}

const payloadSchema = zod.array(format.recordSchema).max(MAX_ENTRIES_PER_PROBE);

class GossipedCrashRecords implements callerTypes.CrashRecords {
  readonly #clock: clocks.Clock;
  readonly #log: telemetry.EventLog;
  readonly #entries = new lru.LRUCache<string, Entry>({ max: MAX_ENTRIES });
  /** Quarantined fingerprint to which the crash of an upstream is attributed. */
  readonly #attributed = new lru.LRUCache<string, string>({ max: MAX_ENTRIES });
  readonly #listeners: ((fingerprint: string) => void)[] = [];
  /** Monotonic time of the last success of a fingerprint. */
  readonly #succeededAt = new lru.LRUCache<string, number>({ max: MAX_ENTRIES });

  constructor(kernel: kernels.Kernel) {
    this.#clock = kernel.use("clock");
    this.#log = kernel.use("log");
    kernel.use("membership").onGossip("crashes", {
      create: () => this.#createPayload(),
      onReceive: (payload) => {
        const parsed = payloadSchema.safeParse(payload);
        if (parsed.success) this.merge(parsed.data);
      },
    });
  }

  computeFingerprint(caller: string, service: string, body: string | Uint8Array): string {
    const hash = hasher.create64();
    hash.update(`${caller}\n${service}\n`).update(body);
    return hash.digest().toString(16).padStart(16, "0");
  }

  recordCrash(upstream: string, fingerprints: readonly string[]): void {
    const implicatedFingerprints = this.#listImplicated(fingerprints, upstream);
    if (implicatedFingerprints.length === 0) return;
    const earlierCrashes = implicatedFingerprints.map((fingerprint) =>
      this.#countEarlierCrashes(fingerprint, upstream),
    );
    const maxEarlierCrashes = Math.max(0, ...earlierCrashes);
    const primeSuspects = implicatedFingerprints.filter(
      (_, index) => earlierCrashes[index] === maxEarlierCrashes,
    );
    const isConclusive = this.#isConclusive(
      implicatedFingerprints,
      primeSuspects,
      maxEarlierCrashes,
    );
    this.#log.write(events.LOG_EVENTS.crashRecorded, {
      upstream,
      fingerprints: implicatedFingerprints.slice(0, MAX_LOGGED_FINGERPRINTS),
      implicated: implicatedFingerprints.length,
    });
    for (const fingerprint of implicatedFingerprints) {
      const isPrimeSuspect = maxEarlierCrashes > 0 && primeSuspects.includes(fingerprint);
      const weight = 1 / (isPrimeSuspect ? primeSuspects.length : implicatedFingerprints.length);
      this.#addEvidence(fingerprint, upstream, { weight, at: this.#clock.now() });
      if (isPrimeSuspect && isConclusive && !this.hasSucceededLately(fingerprint))
        this.#markQuarantined(fingerprint);
      this.#notifyListeners(fingerprint);
    }
  }

  hasCrashed(fingerprint: string, upstream: string): boolean {
    return this.#findEntry(fingerprint)?.upstreams.has(upstream) ?? false;
  }

  isSuspect(fingerprint: string): boolean {
    return this.#findEntry(fingerprint) !== undefined && !this.hasSucceededLately(fingerprint);
  }

  markBroad(): void {
    // Fingerprints of whole requests are never broad.
  }

  recordProgress(fingerprint: string): void {
    const entry = this.#findEntry(fingerprint);
    if (entry !== undefined) entry.hasProgressed = true;
  }

  recordSuccess(fingerprint: string): void {
    this.#succeededAt.set(fingerprint, this.#clock.now());
    if (!this.#entries.delete(fingerprint)) return;
    this.#notifyListeners(fingerprint);
    this.#log.write(events.LOG_EVENTS.crashRecordCleared, { fingerprint });
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#findEntry(fingerprint)?.isQuarantined ?? false;
  }

  findRefusal(fingerprints: readonly string[]): number | undefined {
    const now = this.#clock.now();
    const refused = fingerprints.filter((fingerprint) => this.isQuarantined(fingerprint));
    if (refused.length === 0) return undefined;
    const ends = refused.map((one) => (this.#findEntry(one)?.changedAt ?? now) + ENTRY_LIFETIME_MS);
    return Math.max(...ends) - now;
  }

  get digest(): number {
    return this.listQuarantined().reduce(
      (sum, fingerprint) => (sum + hasher.h32(fingerprint)) % DIGEST_RANGE,
      0,
    );
  }

  onChange(listener: (fingerprint: string) => void): void {
    this.#listeners.push(listener);
  }

  listQuarantined(): readonly string[] {
    return [...this.#entries.keys()].filter((fingerprint) => this.isQuarantined(fingerprint));
  }

  /**
   * Whether the crash has a sole prime suspect that must be quarantined immediately. Allocators
   * start only one suspect request at a time on a runner. A sole prime suspect is therefore taken
   * as the cause if it was alone in flight, if its discounted number of previous crashes is at
   * least one, as without progress since the previous crash, or if its total weight is high enough.
   */
  #isConclusive(
    implicatedFingerprints: readonly string[],
    primeSuspects: readonly string[],
    earlierCrashes: number,
  ): boolean {
    const [primeSuspect] = primeSuspects;
    if (earlierCrashes === 0 || primeSuspects.length > 1 || primeSuspect === undefined)
      return false;
    return (
      implicatedFingerprints.length === 1 ||
      earlierCrashes >= 1 ||
      this.#computeWeight(primeSuspect) >= SOLE_SUSPECT_WEIGHT
    );
  }

  /** Counts previous crashes at other upstreams, discounted when the request progressed since. */
  #countEarlierCrashes(fingerprint: string, upstream: string): number {
    const entry = this.#findEntry(fingerprint);
    if (entry === undefined) return 0;
    const otherCrashes = entry.upstreams.size - (entry.upstreams.has(upstream) ? 1 : 0);
    return otherCrashes * (entry.hasProgressed ? PROGRESS_DISCOUNT : 1);
  }

  #computeWeight(fingerprint: string): number {
    let weight = 0;
    for (const evidence of this.#findEntry(fingerprint)?.upstreams.values() ?? []) {
      weight += evidence.weight;
    }
    return weight;
  }

  /** Keeps the evidence of highest weight for each upstream. Returns whether the entry changed. */
  #addEvidence(fingerprint: string, upstream: string, evidence: CrashEvidence): boolean {
    if (this.#isAttributedElsewhere(fingerprint, upstream)) return false;
    const entry = this.#getOrCreateEntry(fingerprint);
    const known = entry.upstreams.get(upstream);
    const factor = this.hasSucceededLately(fingerprint) ? SUCCESS_DISCOUNT : 1;
    const weight = evidence.weight * factor;
    const isStronger = known === undefined || known.weight < weight;
    const hasRoom = known !== undefined || entry.upstreams.size < format.MAX_UPSTREAMS_PER_RECORD;
    if (!isStronger || !hasRoom) return false;
    entry.upstreams.set(upstream, { weight, at: evidence.at });
    if (entry.isQuarantined) this.#recordAttribution(fingerprint, upstream);
    entry.changedAt = this.#clock.now();
    entry.gossipRoundsLeft = GOSSIP_ROUNDS_PER_CHANGE;
    const hasQuarantineWeight = this.#computeWeight(fingerprint) >= QUARANTINE_WEIGHT;
    if (entry.upstreams.size > 1 && hasQuarantineWeight) this.#markQuarantined(fingerprint);
    return true;
  }

  #markQuarantined(fingerprint: string): void {
    const entry = this.#getOrCreateEntry(fingerprint);
    if (entry.isQuarantined) return;
    entry.isQuarantined = true;
    entry.gossipRoundsLeft = GOSSIP_ROUNDS_PER_CHANGE;
    const upstreams = [...entry.upstreams.keys()];
    for (const upstream of upstreams) this.#recordAttribution(fingerprint, upstream);
    this.#log.write(events.LOG_EVENTS.fingerprintQuarantined, { fingerprint, upstreams });
  }

  /** Attributes a crash to a quarantined request and withdraws the evidence against all others. */
  #recordAttribution(fingerprint: string, upstream: string): void {
    if (this.#attributed.has(upstream)) return;
    this.#attributed.set(upstream, fingerprint);
    for (const [other, entry] of [...this.#entries.entries()]) {
      if (other === fingerprint || entry.isQuarantined) continue;
      if (entry.upstreams.delete(upstream) && entry.upstreams.size === 0)
        this.#entries.delete(other);
    }
  }

  #isAttributedElsewhere(fingerprint: string, upstream: string): boolean {
    const attributed = this.#attributed.get(upstream);
    return attributed !== undefined && attributed !== fingerprint;
  }

  /**
   * Leaves out requests that succeeded lately, unless all did. A request that crashes each upstream that
   * runs it never succeeds; one that many callers send may be in flight at every crash. Returns only quarantined
   * requests if there are any.
   */
  #listImplicated(fingerprints: readonly string[], upstream: string): readonly string[] {
    const unique = [...new Set(fingerprints)].filter(
      (fingerprint) => !this.#isAttributedElsewhere(fingerprint, upstream),
    );
    const quarantined = unique.filter((fingerprint) => this.isQuarantined(fingerprint));
    if (quarantined.length > 0) return quarantined;
    const suspicious = unique.filter((fingerprint) => !this.hasSucceededLately(fingerprint));
    return suspicious.length > 0 ? suspicious : unique;
  }

  hasSucceededLately(fingerprint: string): boolean {
    const succeededAt = this.#succeededAt.get(fingerprint);
    return succeededAt !== undefined && this.#clock.now() - succeededAt < ENTRY_LIFETIME_MS;
  }

  #recordReceived(fingerprint: string, upstream: string, weight: number): void {
    this.#log.write(events.LOG_EVENTS.crashRecordReceived, { fingerprint, upstream, weight });
  }

  #findEntry(fingerprint: string): Entry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (!entry || this.#clock.now() - entry.changedAt < ENTRY_LIFETIME_MS) return entry;
    this.#entries.delete(fingerprint);
    return undefined;
  }

  #getOrCreateEntry(fingerprint: string): Entry {
    const existing = this.#findEntry(fingerprint);
    if (existing) return existing;
    const entry: Entry = {
      upstreams: new Map(),
      isQuarantined: false,
      hasProgressed: false,
      changedAt: this.#clock.now(),
      gossipRoundsLeft: GOSSIP_ROUNDS_PER_CHANGE,
    };
    this.#entries.set(fingerprint, entry);
    return entry;
  }

  /** Creates a payload of entries that changed lately, the most recently used ones first. */
  #createPayload(): format.SentRecord[] | undefined {
    const payload: format.SentRecord[] = [];
    for (const [fingerprint, entry] of this.#entries.entries()) {
      if (payload.length === MAX_ENTRIES_PER_PROBE) break;
      if (entry.gossipRoundsLeft === 0) continue;
      entry.gossipRoundsLeft -= 1;
      payload.push(this.#formatRecord(fingerprint, entry));
    }
    return payload.length > 0 ? payload : undefined;
  }

  #formatRecord(fingerprint: string, entry: Entry): format.SentRecord {
    const now = this.#clock.now();
    const upstreams = [...entry.upstreams].map(
      ([upstream, { weight, at }]): [string, number, number] => [upstream, weight, now - at],
    );
    return [fingerprint, entry.isQuarantined, upstreams];
  }

  findRecord(fingerprint: string): format.SentRecord | undefined {
    const entry = this.#findEntry(fingerprint);
    return entry === undefined ? undefined : this.#formatRecord(fingerprint, entry);
  }

  listRecords(limit: number): readonly format.SentRecord[] {
    const all = [...this.#entries.keys()]
      .map((fingerprint) => this.findRecord(fingerprint))
      .filter((record) => record !== undefined);
    const quarantined = all.filter(([, isQuarantined]) => isQuarantined);
    const suspects = all.filter(([, isQuarantined]) => !isQuarantined);
    return [...quarantined, ...suspects].slice(0, limit);
  }

  findSuccess(fingerprint: string): format.SentSuccess | undefined {
    const succeededAt = this.#succeededAt.get(fingerprint);
    return succeededAt === undefined ? undefined : [fingerprint, this.#clock.now() - succeededAt];
  }

  mergeSuccesses(successes: readonly format.SentSuccess[]): void {
    for (const [fingerprint, ageMs] of successes) {
      const succeededAt = this.#clock.now() - ageMs;
      if (succeededAt <= (this.#succeededAt.get(fingerprint) ?? -Infinity)) continue;
      this.#succeededAt.set(fingerprint, succeededAt);
      if (this.#entries.delete(fingerprint))
        this.#log.write(events.LOG_EVENTS.crashRecordCleared, { fingerprint });
    }
  }

  #notifyListeners(fingerprint: string): void {
    for (const listener of this.#listeners) listener(fingerprint);
  }

  merge(payload: readonly format.SentRecord[]): void {
    const now = this.#clock.now();
    for (const [fingerprint, isQuarantined, upstreams] of payload) {
      const succeededAt = this.#succeededAt.get(fingerprint) ?? -Infinity;
      const recent = upstreams.filter(
        ([upstream, , ageMs]) =>
          now - ageMs > succeededAt &&
          ageMs < ENTRY_LIFETIME_MS &&
          !this.#isAttributedElsewhere(fingerprint, upstream),
      );
      for (const [upstream, weight, ageMs] of recent) {
        const isNew = this.#addEvidence(fingerprint, upstream, { weight, at: now - ageMs });
        if (isNew) this.#recordReceived(fingerprint, upstream, weight);
      }
      if (!isQuarantined || recent.length === 0) continue;
      if (this.hasSucceededLately(fingerprint)) this.#notifyListeners(fingerprint);
      else this.#markQuarantined(fingerprint);
    }
  }
}

/**
 * Creates the crash records and registers their gossip topic.
 *
 * @example kernel.register("crashes", createCrashRecords);
 */
export function createCrashRecords(kernel: kernels.Kernel): callerTypes.CrashRecords {
  return new GossipedCrashRecords(kernel);
}
