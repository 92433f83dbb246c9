/**
 * Crash records by trait, for a front that knows when a run has begun to answer and which prompt parts requests share.
 * A crash counts against the traits of all requests, at all nodes, that had begun at the upstream and were not yet cleared;
 * a run that answers clears all traits of its request.
 */
import * as lru from "lru-cache";
import * as xxhash from "xxhash-wasm";
import * as zod from "zod";
import type * as callerTypes from "../caller/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as kernels from "../kernel/container.js";
import * as rendezvous from "../membership/rendezvous.js";
import type * as membership from "../membership/types.js";
import * as events from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as format from "./crash-record-format.js";
import * as crashCauses from "./crash-causes.js";

/** Time after its last crash after which a trait is forgotten. */
const RECORD_LIFETIME_MS = 3_600_000;
/** Time for which a trait that was cleared is trusted after one further crash. */
const CLEARED_LIFETIME_MS = 600_000;
/** Least time between two announcements that a held trait was answered. */
const ANNOUNCE_INTERVAL_MS = 500;
/** Limit on the traits with crashes, and on those that were cleared. */
const MAX_TRAITS = 10_000;
/** Limit on the remembered crashes, which tell how many have other causes. */
const MAX_CRASHES = 1_000;
const MAX_TRAITS_PER_GOSSIP = 6;
/** Number of gossip payloads that carry a record after it changed. */
const GOSSIP_ROUNDS_PER_CHANGE = 8;
/** Limit on the traits that the log entry of a crash names. */
const MAX_LOGGED_TRAITS = 16;
/** Crashes that suffice for a verdict, whatever else crashes. */
const SUFFICIENT_CRASHES = 3;
/** Crashes that suffice for a trait that is not broad and was not answered lately if they are at least half of those in the `CRASH_WINDOW_MS` up to the last of them. */
const MAJORITY_CRASHES = 2;
const CRASH_WINDOW_MS = 30_000;
/** Number of crashes of a verdict at which a request may tell traits apart; with one number it costs one crash at most. */
const DISTINGUISHED_CRASHES = SUFFICIENT_CRASHES + 1;
/** Time from the last crash to the first trial of a refused trait; doubles with each further crash. */
const TRIAL_DELAY_MS = 30_000;
/** Crashes after which a trait gets no further trial. */
const MAX_TRIAL_CRASHES = 6;
/** Upper bound of a digest, which is a sum of hashes. */
const DIGEST_RANGE = 2 ** 32;

const hasher = await xxhash.default();
const payloadSchema = zod.array(format.recordSchema).max(MAX_TRAITS_PER_GOSSIP);

interface CrashEvidence {
  /** Weight for nodes that judge by weights. */
  readonly weight: number;
  /** Monotonic time of the crash. */
  readonly at: number;
}

interface Entry {
  readonly starts: Map<string, CrashEvidence>;
  changedAt: number;
  gossipRoundsLeft: number;
}

/** Crash records by trait, which judge by the number of crashes since a trait was last cleared. */
export class TraitRecords implements callerTypes.CrashRecords {
  readonly #clock: clocks.Clock;
  readonly #log: telemetry.EventLog;
  readonly #membership: membership.Membership;
  readonly #entries = new lru.LRUCache<string, Entry>({ max: MAX_TRAITS });
  /** Monotonic time at which a trait was last cleared. */
  readonly #clearedAt = new lru.LRUCache<string, number>({ max: MAX_TRAITS });
  /** Monotonic times of all known crashes, also of those that no trait explains. */
  readonly #crashedAt = new lru.LRUCache<string, number>({ max: MAX_CRASHES });
  /** Monotonic time at which the success of a held trait was last announced. */
  readonly #announcedAt = new lru.LRUCache<string, number>({ max: MAX_TRAITS });
  /** Traits that requests of any content may have. */
  readonly #broad = new lru.LRUCache<string, true>({ max: MAX_TRAITS });
  readonly #listeners: ((trait: string) => void)[] = [];
  #verdicts: readonly crashCauses.Verdict[] = [];

  constructor(kernel: kernels.Kernel) {
    this.#clock = kernel.use("clock");
    this.#log = kernel.use("log");
    this.#membership = kernel.use("membership");
    this.#membership.onGossip("crashes", {
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

  recordCrash(
    upstream: string,
    fingerprints: readonly string[],
    at: number = this.#clock.now(),
  ): void {
    // A trait that was answered since the crash did not cause it.
    const traits = [...new Set(fingerprints)].filter((trait) => !this.#isClearedSince(trait, at));
    this.#recordCrashTime(upstream, at);
    if (traits.length === 0) return;
    this.#log.write(events.LOG_EVENTS.crashRecorded, {
      upstream,
      fingerprints: traits.slice(0, MAX_LOGGED_TRAITS),
      implicated: traits.length,
    });
    const weight = 1 / traits.length;
    for (const trait of traits) {
      this.#addEvidence(trait, upstream, { weight, at });
      this.#notifyListeners(trait);
    }
    this.#updateVerdicts();
  }

  hasCrashed(fingerprint: string, upstream: string): boolean {
    return this.#findEntry(fingerprint)?.starts.has(upstream) ?? false;
  }

  hasSucceededLately(fingerprint: string): boolean {
    return this.#hasBeenAnswered(fingerprint) && this.#countCrashes(fingerprint) < MAJORITY_CRASHES;
  }

  isSuspect(fingerprint: string): boolean {
    const entry = this.#findEntry(fingerprint);
    if (entry === undefined || this.hasSucceededLately(fingerprint)) return false;
    const isExplained = (start: string): boolean =>
      this.#verdicts.some(
        ({ starts, traits }) => starts.has(start) && !traits.includes(fingerprint),
      );
    return ![...entry.starts.keys()].every(isExplained);
  }

  markBroad(fingerprint: string): void {
    this.#broad.set(fingerprint, true);
  }

  recordProgress(): void {
    // A run that answers for long enough is reported as a success.
  }

  recordSuccess(fingerprint: string, isHeld = false): void {
    const now = this.#clock.now();
    this.#clearedAt.set(fingerprint, now);
    const announcedAt = this.#announcedAt.get(fingerprint) ?? -Infinity;
    if (isHeld && now - announcedAt >= ANNOUNCE_INTERVAL_MS) {
      this.#announcedAt.set(fingerprint, now);
      this.#notifyListeners(fingerprint);
    }
    if (!this.#entries.delete(fingerprint)) return;
    this.#log.write(events.LOG_EVENTS.crashRecordCleared, { fingerprint });
    this.#notifyListeners(fingerprint);
    this.#updateVerdicts();
  }

  isQuarantined(fingerprint: string): boolean {
    return this.findRefusal([fingerprint]) !== undefined;
  }

  findRefusal(fingerprints: readonly string[]): number | undefined {
    const own = new Set(fingerprints);
    for (const verdict of this.#verdicts) {
      if (!verdict.traits.every((trait) => own.has(trait))) continue;
      if (canTellApart(verdict, own)) continue;
      const retryAfterMs = this.#computeRetryTime(verdict);
      if (retryAfterMs > 0) return retryAfterMs;
    }
    return undefined;
  }

  listQuarantined(): readonly string[] {
    return this.#verdicts.flatMap(({ traits }) => traits);
  }

  get digest(): number {
    return this.listQuarantined().reduce(
      (sum, trait) => (sum + hasher.h32(trait)) % DIGEST_RANGE,
      0,
    );
  }

  findRecord(fingerprint: string): format.SentRecord | undefined {
    const entry = this.#findEntry(fingerprint);
    return entry === undefined ? undefined : this.#formatRecord(fingerprint, entry);
  }

  listRecords(limit: number): readonly format.SentRecord[] {
    return this.#listByUrgency()
      .slice(0, limit)
      .map(([trait, entry]) => this.#formatRecord(trait, entry));
  }

  merge(records: readonly format.SentRecord[]): void {
    const now = this.#clock.now();
    for (const [trait, , starts] of records) {
      for (const [start, weight, ageMs] of starts) {
        const at = now - ageMs;
        if (ageMs >= RECORD_LIFETIME_MS) continue;
        this.#recordCrashTime(start, at);
        // The sender does not know yet that the trait was cleared since.
        if (this.#isClearedSince(trait, at)) this.#notifyListeners(trait);
        else if (this.#addEvidence(trait, start, { weight, at }))
          this.#log.write(events.LOG_EVENTS.crashRecordReceived, {
            fingerprint: trait,
            upstream: start,
            weight,
          });
      }
    }
    this.#updateVerdicts();
  }

  findSuccess(fingerprint: string): format.SentSuccess | undefined {
    const clearedAt = this.#clearedAt.get(fingerprint);
    return clearedAt === undefined ? undefined : [fingerprint, this.#clock.now() - clearedAt];
  }

  mergeSuccesses(successes: readonly format.SentSuccess[]): void {
    for (const [trait, ageMs] of successes) {
      const clearedAt = this.#clock.now() - ageMs;
      if (clearedAt <= (this.#clearedAt.get(trait) ?? -Infinity)) continue;
      this.#clearedAt.set(trait, clearedAt);
      this.#removeEvidenceBefore(trait, clearedAt);
    }
    this.#updateVerdicts();
  }

  onChange(listener: (fingerprint: string) => void): void {
    this.#listeners.push(listener);
  }

  #hasBeenAnswered(trait: string): boolean {
    const clearedAt = this.#clearedAt.get(trait) ?? -Infinity;
    return this.#clock.now() - clearedAt < CLEARED_LIFETIME_MS;
  }

  #isClearedSince(trait: string, at: number): boolean {
    return at < (this.#clearedAt.get(trait) ?? -Infinity);
  }

  #removeEvidenceBefore(trait: string, clearedAt: number): void {
    const entry = this.#entries.get(trait);
    if (entry === undefined) return;
    for (const [start, { at }] of entry.starts) if (at <= clearedAt) entry.starts.delete(start);
    if (entry.starts.size > 0) return;
    this.#entries.delete(trait);
    this.#log.write(events.LOG_EVENTS.crashRecordCleared, { fingerprint: trait });
  }

  /** Adds the crash of a start, once. Returns whether it was new. */
  #addEvidence(trait: string, start: string, evidence: CrashEvidence): boolean {
    const now = this.#clock.now();
    const entry = this.#findEntry(trait) ?? {
      starts: new Map<string, CrashEvidence>(),
      changedAt: now,
      gossipRoundsLeft: 0,
    };
    if (entry.starts.has(start) || entry.starts.size >= format.MAX_UPSTREAMS_PER_RECORD)
      return false;
    entry.starts.set(start, evidence);
    entry.changedAt = Math.max(entry.changedAt, evidence.at);
    entry.gossipRoundsLeft = GOSSIP_ROUNDS_PER_CHANGE;
    this.#entries.set(trait, entry);
    return true;
  }

  #recordCrashTime(start: string, at: number): void {
    if (!this.#crashedAt.has(start)) this.#crashedAt.set(start, at);
  }

  #updateVerdicts(): void {
    const sets = new Map<string, ReadonlySet<string>>();
    for (const trait of [...this.#entries.keys()]) {
      const starts = this.#findEntry(trait)?.starts;
      if (starts !== undefined && starts.size >= MAJORITY_CRASHES)
        sets.set(trait, new Set(starts.keys()));
    }
    const before = this.#verdicts;
    this.#verdicts = crashCauses.findCauses(sets, {
      isEnough: (starts, traits) => this.#isEnough(starts, traits),
      wasAnswered: (trait) => this.#hasBeenAnswered(trait),
    });
    this.#writeVerdicts(events.LOG_EVENTS.quarantineLifted, before, this.#verdicts);
    this.#writeVerdicts(events.LOG_EVENTS.fingerprintQuarantined, this.#verdicts, before);
  }

  /** Writes an entry for each verdict whose traits are those of none of the others. */
  #writeVerdicts(
    event: events.LogEvent,
    verdicts: readonly crashCauses.Verdict[],
    others: readonly crashCauses.Verdict[],
  ): void {
    const known = new Set(others.map(({ traits }) => traits.join()));
    for (const { traits, starts } of verdicts) {
      if (known.has(traits.join())) continue;
      const [fingerprint, ...together] = traits;
      this.#log.write(event, { fingerprint, together, upstreams: [...starts] });
    }
  }

  #isEnough(starts: ReadonlySet<string>, traits: readonly string[]): boolean {
    const isSpecific = traits.some(
      (trait) => !this.#hasBeenAnswered(trait) && !this.#broad.has(trait),
    );
    if (starts.size !== MAJORITY_CRASHES || !isSpecific) return starts.size >= SUFFICIENT_CRASHES;
    // Later crashes do not count: they say nothing of the cause of the earlier ones.
    const lastAt = this.#findLastCrash(starts);
    const nearby = [...this.#crashedAt.values()].filter(
      (at) => at <= lastAt && lastAt - at <= CRASH_WINDOW_MS,
    );
    return 2 * starts.size >= nearby.length;
  }

  #findLastCrash(starts: ReadonlySet<string>): number {
    return Math.max(...[...starts].map((start) => this.#crashedAt.get(start) ?? -Infinity));
  }

  /**
   * Returns the time until a request with all traits of the verdict may run, 0 if it may run now. One node, chosen from those
   * that are alive, tries the traits again, ever more rarely: a wrong verdict ends with a trial that is answered.
   */
  #computeRetryTime({ traits, starts }: crashCauses.Verdict): number {
    const now = this.#clock.now();
    const lastAt = this.#findLastCrash(starts);
    const expiresInMs = Math.max(1, lastAt + RECORD_LIFETIME_MS - now);
    if (starts.size > MAX_TRIAL_CRASHES) return expiresInMs;
    const delayMs = TRIAL_DELAY_MS * 2 ** (starts.size - MAJORITY_CRASHES);
    const trialInMs = lastAt + delayMs - now;
    if (trialInMs > 0) return trialInMs;
    return this.#isTrialNode(traits[0] ?? "") ? 0 : TRIAL_DELAY_MS;
  }

  #isTrialNode(trait: string): boolean {
    const alive = this.#membership.listAlive().map(({ vm }) => vm);
    return rendezvous.chooseByRendezvous(trait, alive, 1)[0] === this.#membership.self.vm;
  }

  #countCrashes(trait: string): number {
    return this.#findEntry(trait)?.starts.size ?? 0;
  }

  #findEntry(trait: string): Entry | undefined {
    const entry = this.#entries.get(trait);
    if (!entry || this.#clock.now() - entry.changedAt < RECORD_LIFETIME_MS) return entry;
    this.#entries.delete(trait);
    return undefined;
  }

  /** Lists the records, those with verdicts first, then those with most crashes. */
  #listByUrgency(): readonly (readonly [string, Entry])[] {
    const refused = new Set(this.listQuarantined());
    const getRank = ([trait, { starts }]: readonly [string, Entry]): number =>
      starts.size + (refused.has(trait) ? format.MAX_UPSTREAMS_PER_RECORD : 0);
    return [...this.#entries.entries()].sort((first, second) => getRank(second) - getRank(first));
  }

  #createPayload(): format.SentRecord[] | undefined {
    const changed = this.#listByUrgency()
      .filter(([, { gossipRoundsLeft }]) => gossipRoundsLeft > 0)
      .slice(0, MAX_TRAITS_PER_GOSSIP);
    for (const [, entry] of changed) entry.gossipRoundsLeft -= 1;
    if (changed.length === 0) return undefined;
    return changed.map(([trait, entry]) => this.#formatRecord(trait, entry));
  }

  #formatRecord(trait: string, entry: Entry): format.SentRecord {
    const now = this.#clock.now();
    const starts = [...entry.starts].map(([start, { weight, at }]): [string, number, number] => [
      start,
      weight,
      Math.max(0, now - at),
    ]);
    return [trait, this.listQuarantined().includes(trait), starts];
  }

  #notifyListeners(trait: string): void {
    for (const listener of this.#listeners) listener(trait);
  }
}

/**
 * Whether a request may run although it has all traits of the verdict, since it lacks one that all but one of the crashes have: its
 * outcome shows which of them is the cause. It runs alone, as its traits are suspected.
 */
function canTellApart({ starts, rivals }: crashCauses.Verdict, own: ReadonlySet<string>): boolean {
  return starts.size === DISTINGUISHED_CRASHES && rivals.some((rival) => !own.has(rival));
}

/**
 * Creates the crash records of a gateway and registers their gossip topic.
 *
 * @example kernel.register("crashes", createTraitRecords);
 */
export function createTraitRecords(kernel: kernels.Kernel): TraitRecords {
  return new TraitRecords(kernel);
}
