/** The listed runners with their recent health and load. */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as leavingNotices from "./leaving-notices.js";
import * as runnerRecord from "./runner-record.js";
import * as types from "./types.js";

/**
 * Age below which a registry entry takes precedence over the stage that the runner reports, as
 * reports are a few hundred milliseconds old.
 */
const REGISTRY_ENTRY_PRECEDENCE_MS = 1_500;

/** Time for a notice to arrive, and for a request to be prefilled and sent. */
const DRAIN_MARGIN_MS = 1_000;
/** Time for a notice to arrive, and for a request to be sent. */
const SEND_MARGIN_MS = 200;
/** Limit on the removed starts that are remembered. */
const MAX_REMOVED = 2_000;

/** Called with a runner that was added or changed, or with `undefined` when it was removed. */
export type RunnerListener = (id: string, runner: types.Runner | undefined) => void;

/** Table of the listed runners of all services. */
export class RunnerTable {
  readonly #clock: clocks.Clock;
  readonly #log: telemetry.EventLog;
  readonly #drainLimitMs: number;
  readonly #records = new Map<string, runnerRecord.RunnerRecord>();
  readonly #listeners: RunnerListener[] = [];
  /** Monotonic times since which starts leave that are no longer listed. */
  readonly #removedSince = new lru.LRUCache<string, number>({ max: MAX_REMOVED });
  readonly #notices = new leavingNotices.LeavingNotices();
  /** Ids of runners whose address is listed for a newer process. */
  #superseded: ReadonlySet<string> = new Set();

  /** @param drainLimitMs - time from the notice of a runner that leaves for which it may be sent requests. */
  constructor(clock: clocks.Clock, log: telemetry.EventLog, drainLimitMs = 0) {
    this.#clock = clock;
    this.#log = log;
    this.#drainLimitMs = drainLimitMs;
  }

  get size(): number {
    return this.#records.size;
  }

  onChange(listener: RunnerListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Applies a runner's registry entry; `undefined` removes the runner.
   *
   * @param ageMs - time that the change took to arrive.
   */
  setRunner(id: string, listed: types.Runner | undefined, ageMs = 0): void {
    const changedAt = this.#clock.now() - ageMs;
    const known = this.#records.get(id);
    const runner = listed && this.#applyNotice(listed);
    if (runner === undefined) this.#removeRunner(known, changedAt);
    else if (known?.runner.bornAt === runner.bornAt) this.#updateRunner(known, runner, changedAt);
    else this.#addRunner(runner, known, changedAt);
    this.#superseded = listSuperseded([...this.#records.values()].map((record) => record.runner));
    for (const listener of this.#listeners) listener(id, runner);
  }

  /**
   * Records that a start of a runner said that it leaves. What its registry entry says changes nothing of that.
   *
   * @param givenAt - monotonic time at which it said so.
   * @returns whether this is new.
   */
  recordLeaving(
    start: leavingNotices.RunnerStart,
    givenAt: number,
    path: types.LeavingPath,
  ): boolean {
    const now = this.#clock.now();
    const isNew = this.#notices.find(start, now) === undefined;
    const notice = this.#notices.record(start, givenAt, now);
    const known = this.#records.get(start.id);
    if (known?.runner.bornAt !== start.bornAt) return isNew;
    if (known.runner.leaving) {
      known.recordLeavingSince(notice.since);
      return isNew;
    }
    known.setRunner({ ...known.runner, leaving: true }, notice.since);
    this.#recordLeaving(known, path);
    for (const listener of this.#listeners) listener(start.id, known.runner);
    return isNew;
  }

  /** Returns the last notices of `recordLeaving`. */
  listLeavingNotices(maxCount: number): readonly leavingNotices.LeavingNotice[] {
    return this.#notices.list(maxCount, this.#clock.now());
  }

  /** Applies the stage that a runner reports, unless its registry entry was updated recently. */
  recordReportedStage(id: string, stage: types.Stage): void {
    const known = this.#records.get(id);
    if (known === undefined || known.runner.stage === stage) return;
    if (known.msSinceUpdate < REGISTRY_ENTRY_PRECEDENCE_MS) return;
    const fields = { runner: id, listed: known.runner.stage, stage, listedMs: known.msSinceUpdate };
    this.#log.write(logEvents.LOG_EVENTS.runnerStageReported, fields);
    known.setRunner({ ...known.runner, stage });
    for (const listener of this.#listeners) listener(id, known.runner);
  }

  find(id: string): runnerRecord.RunnerRecord | undefined {
    return this.#records.get(id);
  }

  /** Whether the runner's address is listed for a newer process. */
  isSuperseded(id: string): boolean {
    return this.#superseded.has(id);
  }

  /** Returns the runners of a service that accept new requests. */
  listUsable(service: string): readonly runnerRecord.RunnerRecord[] {
    return [...this.#records.values()].filter(
      ({ runner }) => runner.service === service && this.#isUsable(runner),
    );
  }

  /** Returns the runners of each service that accept new requests; services without any are absent. */
  listUsableByService(): ReadonlyMap<string, readonly types.Runner[]> {
    const services = new Map<string, types.Runner[]>();
    for (const { runner } of this.#records.values()) {
      if (!this.#isUsable(runner)) continue;
      const known = services.get(runner.service);
      if (known === undefined) services.set(runner.service, [runner]);
      else known.push(runner);
    }
    return services;
  }

  /**
   * Returns the runners of a service that leave and still accept requests for some time: those whose notice is younger than
   * the platform's limit, less the time that it may have taken to arrive and that a request takes to be sent.
   */
  listDraining(service: string): readonly runnerRecord.RunnerRecord[] {
    return [...this.#records.values()].filter(
      (record) =>
        record.runner.service === service &&
        record.runner.leaving &&
        !this.#superseded.has(record.runner.id) &&
        !this.#hasLeft(record, DRAIN_MARGIN_MS),
    );
  }

  /** Whether a runner leaves and the time in which it may be sent requests is over. */
  hasDrained(id: string): boolean {
    const record = this.#records.get(id);
    return record?.runner.leaving === true && this.#hasLeft(record, SEND_MARGIN_MS);
  }

  /** Whether a start may be sent requests now: it does not leave and is listed, or that has not been so for long. */
  canReceive(start: leavingNotices.RunnerStart): boolean {
    const record = this.#records.get(start.id);
    if (record?.runner.bornAt === start.bornAt) return !this.hasDrained(start.id);
    const leavingSince = this.#removedSince.get(leavingNotices.formatStart(start));
    return leavingSince === undefined || !this.#hasLeft({ leavingSince }, SEND_MARGIN_MS);
  }

  #isUsable({ id, leaving }: types.Runner): boolean {
    return !leaving && !this.#superseded.has(id);
  }

  #hasLeft(
    { leavingSince }: Pick<runnerRecord.RunnerRecord, "leavingSince">,
    marginMs: number,
  ): boolean {
    const leavesForMs = this.#clock.now() - (leavingSince ?? -Infinity);
    return leavesForMs >= this.#drainLimitMs - marginMs;
  }

  #applyNotice(runner: types.Runner): types.Runner {
    const isLeaving = this.#notices.find(runner, this.#clock.now()) !== undefined;
    return isLeaving && !runner.leaving ? { ...runner, leaving: true } : runner;
  }

  #addRunner(
    runner: types.Runner,
    replaced: runnerRecord.RunnerRecord | undefined,
    changedAt: number,
  ): void {
    if (replaced !== undefined) this.#recordRemoval(replaced, changedAt);
    this.#removedSince.delete(leavingNotices.formatStart(runner));
    const since = this.#notices.find(runner, this.#clock.now())?.since;
    const record = new runnerRecord.RunnerRecord(runner, this.#clock, since);
    this.#records.set(runner.id, record);
    const { id, service, stage, leaving, bornAt, softwareVersion } = runner;
    const fields = { runner: id, service, stage, leaving, bornAt, softwareVersion };
    this.#log.write(logEvents.LOG_EVENTS.runnerArrived, fields);
  }

  #updateRunner(known: runnerRecord.RunnerRecord, runner: types.Runner, changedAt: number): void {
    const isNew = runner.leaving && !known.runner.leaving;
    known.setRunner(runner, changedAt);
    if (isNew) this.#recordLeaving(known, types.LEAVING_PATH.registry);
  }

  #recordLeaving({ runner, leavingSince }: runnerRecord.RunnerRecord, path: string): void {
    const { id, service, bornAt } = runner;
    const ageMs = this.#clock.now() - (leavingSince ?? -Infinity);
    const fields = { runner: id, service, bornAt, path, ageMs };
    this.#log.write(logEvents.LOG_EVENTS.runnerLeaving, fields);
  }

  #recordRemoval({ runner, leavingSince }: runnerRecord.RunnerRecord, removedAt: number): void {
    const since = runner.leaving ? (leavingSince ?? -Infinity) : removedAt;
    this.#removedSince.set(leavingNotices.formatStart(runner), since);
  }

  #removeRunner(known: runnerRecord.RunnerRecord | undefined, removedAt: number): void {
    if (known === undefined) return;
    this.#records.delete(known.runner.id);
    this.#recordRemoval(known, removedAt);
    this.#notices.removeRunner(known.runner);
    const fields = { runner: known.runner.id, service: known.runner.service };
    this.#log.write(logEvents.LOG_EVENTS.runnerGone, fields);
  }
}

/** Returns the ids of runners whose address belongs to a newer process; their entries will expire. */
function listSuperseded(runners: readonly types.Runner[]): ReadonlySet<string> {
  const newestStarts = new Map<string, number>();
  for (const runner of runners) {
    const address = formatAddress(runner);
    const known = newestStarts.get(address) ?? runner.bornAt;
    newestStarts.set(address, Math.max(known, runner.bornAt));
  }
  const superseded = runners.filter(
    (runner) => runner.bornAt < (newestStarts.get(formatAddress(runner)) ?? runner.bornAt),
  );
  return new Set(superseded.map((runner) => runner.id));
}

function formatAddress(runner: types.Runner): string {
  return `${runner.host}:${runner.port}`;
}
