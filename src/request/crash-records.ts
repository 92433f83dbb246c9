/**
 * Counts crashes by content fingerprint, fleet-wide, and quarantines the request that crashes one
 * upstream after another. A crash with many requests in flight accuses each of them only a little;
 * of these the one that was present at most earlier crashes is accused most.
 */
import * as lru from "lru-cache";
import * as xxhash from "xxhash-wasm";
import * as zod from "zod";
import type * as sessions from "../caller/types.js";
import type * as clocks from "../kernel/clock.js";
import type * as container from "../kernel/container.js";
import * as events from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";

const ENTRY_LIFETIME_MS = 600_000;
/** At the limit the least recently used is forgotten, which costs crashes, never a wrong answer. */
const MAX_ENTRIES = 10_000;
const MAX_UPSTREAMS_PER_ENTRY = 8;
const TOLD_PER_PROBE = 6;
const TELLS_PER_ENTRY = 8;
/** Sum of weights, over two upstreams at least, that quarantines. */
const QUARANTINE_WEIGHT = 1.5;
/** What earlier crashes count once a request has generated tokens after them. */
const PROGRESS_FACTOR = 0.5;
/** Sum of earlier weights that makes the one suspect of a crash clearly accused. */
const CLEAR_WEIGHT = 0.5;

const hasher = await xxhash.default();

interface Accusation {
  readonly weight: number;
  /** Monotonic time of the crash. */
  readonly at: number;
}

interface Entry {
  readonly upstreams: Map<string, Accusation>;
  isQuarantined: boolean;
  /** Whether it generated tokens after a crash. */
  hasProgressed: boolean;
  changedAt: number;
  tells: number;
}

const payloadSchema = zod
  .array(
    zod.tuple([
      zod.string().length(16),
      zod.boolean(),
      zod
        .array(zod.tuple([zod.string().max(100), zod.number().min(0).max(1), zod.number().min(0)]))
        .max(MAX_UPSTREAMS_PER_ENTRY),
    ]),
  )
  .max(TOLD_PER_PROBE);

type Payload = zod.infer<typeof payloadSchema>;

class GossipedCrashRecords implements sessions.CrashRecords {
  readonly #clock: clocks.Clock;
  readonly #log: telemetry.EventLog;
  readonly #entries = new lru.LRUCache<string, Entry>({ max: MAX_ENTRIES });
  /** Monotonic time of the last success of a fingerprint that had been accused. */
  readonly #cleared = new lru.LRUCache<string, number>({ max: MAX_ENTRIES });

  constructor(kernel: container.Kernel) {
    this.#clock = kernel.use("clock");
    this.#log = kernel.use("log");
    kernel.use("membership").onGossip("crashes", {
      create: () => this.#createPayload(),
      onReceive: (payload) => {
        const parsed = payloadSchema.safeParse(payload);
        if (parsed.success) this.#mergePayload(parsed.data);
      },
    });
  }

  computeFingerprint(caller: string, service: string, body: string | Uint8Array): string {
    const hash = hasher.create64();
    hash.update(`${caller}\n${service}\n`).update(body);
    return hash.digest().toString(16).padStart(16, "0");
  }

  recordCrash(upstream: string, fingerprints: readonly string[]): void {
    const accused = [...new Set(fingerprints)];
    const earlier = accused.map((fingerprint) => this.#countOthers(fingerprint, upstream));
    const most = Math.max(0, ...earlier);
    const suspects = accused.filter((_, index) => earlier[index] === most);
    const isClear = this.#isClearlyAccused(accused, suspects, most);
    for (const fingerprint of accused) {
      const isSuspect = most > 0 && suspects.includes(fingerprint);
      const weight = 1 / (isSuspect ? suspects.length : accused.length);
      this.#addAccusation(fingerprint, upstream, { weight, at: this.#clock.now() });
      if (isSuspect && isClear) this.#markQuarantined(fingerprint);
    }
  }

  hasCrashRecord(fingerprint: string): boolean {
    return this.#findEntry(fingerprint) !== undefined;
  }

  recordProgress(fingerprint: string): void {
    const entry = this.#findEntry(fingerprint);
    if (entry !== undefined) entry.hasProgressed = true;
  }

  recordSuccess(fingerprint: string): void {
    if (!this.#entries.delete(fingerprint)) return;
    this.#cleared.set(fingerprint, this.#clock.now());
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#findEntry(fingerprint)?.isQuarantined ?? false;
  }

  listQuarantined(): readonly string[] {
    return [...this.#entries.keys()].filter((fingerprint) => this.isQuarantined(fingerprint));
  }

  /**
   * Whether the one suspect stands out. Allocators start one accused request at a time on a runner,
   * so a single one that was accused before and has not progressed since stands out.
   */
  #isClearlyAccused(
    accused: readonly string[],
    suspects: readonly string[],
    earlierCrashes: number,
  ): boolean {
    const [suspect] = suspects;
    if (earlierCrashes === 0 || suspects.length > 1 || suspect === undefined) return false;
    return (
      accused.length === 1 || earlierCrashes >= 1 || this.#computeWeight(suspect) >= CLEAR_WEIGHT
    );
  }

  /** Counts earlier crashes at other upstreams; progress since then counts against suspicion. */
  #countOthers(fingerprint: string, upstream: string): number {
    const entry = this.#findEntry(fingerprint);
    if (entry === undefined) return 0;
    const others = entry.upstreams.size - (entry.upstreams.has(upstream) ? 1 : 0);
    return others * (entry.hasProgressed ? PROGRESS_FACTOR : 1);
  }

  #computeWeight(fingerprint: string): number {
    let weight = 0;
    for (const accusation of this.#findEntry(fingerprint)?.upstreams.values() ?? []) {
      weight += accusation.weight;
    }
    return weight;
  }

  /** Keeps the heaviest accusation of each upstream; returns whether anything is new. */
  #addAccusation(fingerprint: string, upstream: string, accusation: Accusation): boolean {
    const entry = this.#useEntry(fingerprint);
    const known = entry.upstreams.get(upstream);
    const isNew = known === undefined || known.weight < accusation.weight;
    const hasRoom = known !== undefined || entry.upstreams.size < MAX_UPSTREAMS_PER_ENTRY;
    if (!isNew || !hasRoom) return false;
    entry.upstreams.set(upstream, accusation);
    entry.changedAt = this.#clock.now();
    entry.tells = TELLS_PER_ENTRY;
    const isHeavy = this.#computeWeight(fingerprint) >= QUARANTINE_WEIGHT;
    if (entry.upstreams.size > 1 && isHeavy) this.#markQuarantined(fingerprint);
    return true;
  }

  #markQuarantined(fingerprint: string): void {
    const entry = this.#useEntry(fingerprint);
    if (entry.isQuarantined) return;
    entry.isQuarantined = true;
    entry.tells = TELLS_PER_ENTRY;
    const upstreams = [...entry.upstreams.keys()];
    this.#log.write(events.LOG_EVENTS.fingerprintQuarantined, { fingerprint, upstreams });
  }

  #findEntry(fingerprint: string): Entry | undefined {
    const entry = this.#entries.get(fingerprint);
    if (!entry || this.#clock.now() - entry.changedAt < ENTRY_LIFETIME_MS) return entry;
    this.#entries.delete(fingerprint);
    return undefined;
  }

  #useEntry(fingerprint: string): Entry {
    const existing = this.#findEntry(fingerprint);
    if (existing) return existing;
    const entry: Entry = {
      upstreams: new Map(),
      isQuarantined: false,
      hasProgressed: false,
      changedAt: this.#clock.now(),
      tells: TELLS_PER_ENTRY,
    };
    this.#entries.set(fingerprint, entry);
    return entry;
  }

  /** Tells the newest entries, each a limited number of times after its last change. */
  #createPayload(): Payload | undefined {
    const now = this.#clock.now();
    const payload: Payload = [];
    for (const [fingerprint, entry] of this.#entries.entries()) {
      if (payload.length === TOLD_PER_PROBE) break;
      if (entry.tells === 0) continue;
      entry.tells -= 1;
      const upstreams = [...entry.upstreams].map(
        ([upstream, { weight, at }]): [string, number, number] => [upstream, weight, now - at],
      );
      payload.push([fingerprint, entry.isQuarantined, upstreams]);
    }
    return payload.length > 0 ? payload : undefined;
  }

  #mergePayload(payload: Payload): void {
    const now = this.#clock.now();
    for (const [fingerprint, isQuarantined, upstreams] of payload) {
      const clearedAt = this.#cleared.get(fingerprint) ?? -Infinity;
      const fresh = upstreams.filter(
        ([, , ageMs]) => now - ageMs > clearedAt && ageMs < ENTRY_LIFETIME_MS,
      );
      for (const [upstream, weight, ageMs] of fresh) {
        this.#addAccusation(fingerprint, upstream, { weight, at: now - ageMs });
      }
      if (isQuarantined && fresh.length > 0) this.#markQuarantined(fingerprint);
    }
  }
}

/**
 * Creates the crash records and their topic in the probes.
 *
 * @example kernel.register("crashes", createCrashRecords);
 */
export function createCrashRecords(kernel: container.Kernel): sessions.CrashRecords {
  return new GossipedCrashRecords(kernel);
}
