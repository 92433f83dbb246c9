/** Keeps a registry view up to date by long-polling the platform, while this VM has to read it. */
import * as clocks from "../kernel/clock.js";
import * as signals from "../kernel/signals.js";
import type * as random from "../kernel/random.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as platformOutages from "./platform-outages.js";
import type * as registryRelay from "./registry-relay.js";
import * as registryView from "./registry-view.js";
import * as rewindDetector from "./rewind-detector.js";
import type * as types from "./types.js";
import * as unnamedAnswers from "./unnamed-answers.js";

/** Duration of one long poll without a schedule. */
const LONG_POLL_MS = 5_000;
/**
 * Time allowed for a response after the end of a long poll; a slow platform takes 0.25 s. A silent connection is noticed only
 * then.
 */
const RESPONSE_MARGIN_MS = 750;
/** Differences of VMs' clocks up to which a watch keeps its end. */
const SCHEDULE_TOLERANCE_MS = 250;
const READ_TIMEOUT_MS = 1_500;
/** Time after which a full read without an answer counts as an outage; a slow platform takes 0.25 s. */
const OUTAGE_MS = 300;
/**
 * Maximum wait after the first failure; doubles with each consecutive failure, up to
 * `MAX_BACKOFF_MS`. The actual wait is a random 50 to 100 % of it.
 */
const INITIAL_BACKOFF_MS = 100;
/** Must stay below the 2 s within which a published change must take effect. */
const MAX_BACKOFF_MS = 800;

/** Decides whether this VM reads the platform or relies on other VMs. */
export type ReaderRole = Pick<
  registryRelay.RegistryRelay,
  "isReading" | "readsAlone" | "waitUntilNeeded"
>;

/** Dependencies and settings of a `RegistryReader`. */
export interface RegistryReaderOptions<Value> {
  /** Name of the registry, for logs and metrics. */
  readonly name: string;
  readonly source: types.RegistrySource<Value>;
  readonly view: registryView.RegistryView<Value>;
  /** Without it, this VM always reads. */
  readonly role?: ReaderRole;
  /** Returns the duration of a long poll that begins now. */
  readonly computePollMs?: () => number;
  /**
   * Called when a watch got no answer until its time limit, and the platform then soon answered on a new connection; receives
   * the monotonic time of that limit.
   */
  readonly onDeadWatch?: (givenUpAt: number) => void;
  /** Outages that any reader of this VM found; by default, those that this one found. */
  readonly outages?: platformOutages.PlatformOutages;
  /** Answers without an epoch to any reader of this VM; by default, those to this one. */
  readonly unnamed?: unnamedAnswers.UnnamedAnswers;
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
}

/** Reads all items, then watches for changes; reads all again after a failure or a history gap. */
export class RegistryReader<Value> {
  readonly #options: RegistryReaderOptions<Value>;
  readonly #outages: platformOutages.PlatformOutages;
  readonly #rewinds: rewindDetector.RewindDetector<Value>;
  #failures = 0;
  #needsFullRead = true;
  /** Whether the next full read may follow an outage that other VMs met. */
  #needsGracePeriod = false;
  #answeredAt: number | undefined;
  /** Monotonic time at which a watch was given up without an answer, if none arrived since. */
  #givenUpAt: number | undefined;
  /** Ends the watch that waits, so that another one begins on a new connection. */
  #restart: AbortController | undefined;
  /** Monotonic time at which the connection last gave an answer or was opened. */
  #soundAt = -Infinity;
  #watchBeganAt = -Infinity;
  /** Time without an answer before the call began that answered last, in which changes may have been made. */
  #unheardMs = 0;
  /** Monotonic time at which the long poll that waits ends. */
  #pollEndsAt = 0;

  constructor(options: RegistryReaderOptions<Value>) {
    this.#options = options;
    this.#outages = options.outages ?? new platformOutages.PlatformOutages(options.clock);
    const unnamed = options.unnamed ?? new unnamedAnswers.UnnamedAnswers(options.clock);
    this.#rewinds = new rewindDetector.RewindDetector({ ...options, unnamed });
    options.view.onEpoch((path) => {
      this.#handleEpoch(path);
    });
  }

  /** Monotonic time of the platform's last answer; `undefined` while reads fail. */
  get answeredAt(): number | undefined {
    return this.#failures > 0 ? undefined : this.#answeredAt;
  }

  /** Monotonic time of the platform's last answer, also while reads fail; `undefined` before the first one. */
  get lastAnsweredAt(): number | undefined {
    return this.#answeredAt;
  }

  /**
   * Restarts the watch on a new connection if its connection may have been silent at a time, as it has shown no sign of life
   * since; returns whether it did.
   */
  verifyWatch(silentAt: number): boolean {
    if (this.#restart === undefined || this.#soundAt > silentAt) return false;
    this.replaceWatch();
    return true;
  }

  /** Time without an answer before the call began that answered last, in ms. */
  get unheardMs(): number {
    return this.#unheardMs;
  }

  /** Records the newest change that a peer knows. */
  recordTold(position: types.RegistryPosition): void {
    this.#rewinds.recordTold(position);
  }

  /** Whether a long poll that began now would end sooner than the one that waits, as when other readers have left. */
  isPollLate(): boolean {
    if (this.#restart === undefined) return false;
    const endsAt = this.#options.clock.now() + this.#computePollMs();
    return endsAt < this.#pollEndsAt - SCHEDULE_TOLERANCE_MS;
  }

  /** Restarts the watch, if it waits, on a new connection. */
  replaceWatch(): void {
    this.#restart?.abort(new Error("watch restarts on a new connection"));
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#waitForRole(signal);
        await this.#readOrWatch(signal);
      } catch (error) {
        await this.#handleFailure(error, signal);
      }
    }
  }

  /** Waits while this VM relies on others; it reads once at its start, since the fleet may not be known yet. */
  async #waitForRole(signal: AbortSignal): Promise<void> {
    const { role, view } = this.#options;
    if (role === undefined || role.isReading() || view.revision === 0) return;
    await role.waitUntilNeeded(signal);
    signal.throwIfAborted();
    this.#needsFullRead = true;
    // The readers that this VM relied on got no answers for long, or are not reached.
    this.#needsGracePeriod = role.readsAlone;
  }

  async #readOrWatch(signal: AbortSignal): Promise<void> {
    const { metrics, name } = this.#options;
    metrics.count("platform_calls", { kind: name });
    await (this.#needsFullRead ? this.#readAll(signal) : this.#watch(signal));
  }

  async #readAll(signal: AbortSignal): Promise<void> {
    const { view, clock, onDeadWatch } = this.#options;
    const beganAt = clock.now();
    const known = this.#rewinds.createKnown();
    const unheardMs = beganAt - (this.#answeredAt ?? beganAt);
    const answer = await this.#callReadAll(signal);
    const tookMs = clock.now() - beganAt;
    const readAgain = () => this.#callReadAll(signal, true);
    const snapshot = await this.#rewinds.verifySnapshot(known, answer, readAgain);
    if (snapshot === undefined) return;
    // A platform that is as slow on a new connection tells nothing of the old one.
    const givenUpAt = this.#givenUpAt;
    const isConnectionDead = givenUpAt !== undefined && tookMs < RESPONSE_MARGIN_MS;
    this.#handleSuccess(!isConnectionDead || this.#outages.hasFailedSince(this.#watchBeganAt));
    this.#unheardMs = unheardMs;
    if (this.#needsGracePeriod) view.startGracePeriod();
    this.#needsGracePeriod = false;
    this.#reportInvalidItems(snapshot.items);
    view.applySnapshot(snapshot);
    view.startContinuity();
    this.#needsFullRead = false;
    this.#givenUpAt = undefined;
    if (isConnectionDead) onDeadWatch?.(givenUpAt);
  }

  async #callReadAll(
    signal: AbortSignal,
    isOnNewConnection = false,
  ): Promise<types.RegistrySnapshot<Value>> {
    const { source, clock } = this.#options;
    using limit = clocks.createTimeLimit(clock, READ_TIMEOUT_MS, signal);
    const cancel = clock.schedule(OUTAGE_MS, () => {
      this.#outages.recordFailure();
    });
    try {
      return await source.readAll(limit.signal, isOnNewConnection);
    } finally {
      cancel();
    }
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    const pollMs = this.#computePollMs();
    const known = this.#rewinds.createKnownPosition();
    this.#watchBeganAt = clock.now();
    const unheardMs = this.#watchBeganAt - (this.#answeredAt ?? this.#watchBeganAt);
    this.#pollEndsAt = this.#watchBeganAt + pollMs;
    const restart = new AbortController();
    this.#restart = restart;
    try {
      const changes = await this.#callWatch(pollMs, restart.signal, signal);
      this.#unheardMs = unheardMs;
      // Changes after a revision of another epoch show nothing of those before.
      this.#applyChanges(this.#rewinds.verifyChanges(known, changes));
    } catch (error) {
      // The same changes are asked for again on a new connection, so none is missed.
      if (restart.signal.aborted && !signal.aborted) this.#soundAt = clock.now();
      else {
        if (clock.now() >= this.#pollEndsAt) this.#givenUpAt ??= clock.now();
        else this.#outages.recordFailure();
        throw error;
      }
    } finally {
      this.#restart = undefined;
    }
  }

  #computePollMs(): number {
    return Math.round(this.#options.computePollMs?.() ?? LONG_POLL_MS);
  }

  async #callWatch(
    pollMs: number,
    restart: AbortSignal,
    signal: AbortSignal,
  ): Promise<types.RegistryChanges<Value> | undefined> {
    const { source, view, clock } = this.#options;
    using joined = signals.createJoinedSignal([signal, restart]);
    using limit = clocks.createTimeLimit(clock, pollMs + RESPONSE_MARGIN_MS, joined.signal);
    return await source.watch(view.revision, pollMs, limit.signal);
  }

  #applyChanges(changes: types.RegistryChanges<Value> | undefined): void {
    const { view, clock } = this.#options;
    this.#handleSuccess(false);
    // The watch may have waited all through an outage that another reader found.
    if (this.#outages.hasFailedSince(clock.now() - registryView.EXPIRY_GRACE_MS))
      view.startGracePeriod();
    if (changes === undefined) {
      this.#handleGap();
      return;
    }
    this.#reportInvalidItems(
      changes.changes.flatMap((change) => (change.removed ? [] : [change.item])),
    );
    view.applyChanges(changes);
  }

  /** Logs items that cannot be read, or only in part, once per revision. */
  #reportInvalidItems(items: readonly types.RegistryItem<Value>[]): void {
    const { view, log, name } = this.#options;
    for (const { key, revision, value, faults } of items) {
      if ((value !== undefined && faults === undefined) || !view.isNewer(key, revision)) continue;
      const { registryItemUnreadable, registryItemIncomplete } = logEvents.LOG_EVENTS;
      const event = value === undefined ? registryItemUnreadable : registryItemIncomplete;
      const fields = { what: name, key, revision };
      log.write(event, faults === undefined ? fields : { ...fields, faults });
    }
  }

  /** @param isAfterOutage - whether the platform may have been down, so that entries of live runners may have expired. */
  #handleSuccess(isAfterOutage: boolean): void {
    const { view, log, name, clock } = this.#options;
    this.#answeredAt = clock.now();
    this.#soundAt = this.#answeredAt;
    if (this.#failures > 0) {
      log.write(logEvents.LOG_EVENTS.platformRegained, { what: name, failures: this.#failures });
      if (isAfterOutage) view.startGracePeriod();
    }
    this.#failures = 0;
  }

  /** A watch that began in an older epoch waits for revisions that may never come. */
  #handleEpoch(path: types.ChangePath): void {
    const { log, name, view } = this.#options;
    const { epoch, rewinds } = view;
    const fields = { what: name, epoch, rewinds, path, items: view.list().length };
    log.write(logEvents.LOG_EVENTS.registryEpochStarted, fields);
    this.#needsFullRead = true;
    this.replaceWatch();
  }

  #handleGap(): void {
    const { log, name, view } = this.#options;
    log.write(logEvents.LOG_EVENTS.registryGap, { what: name, revision: view.revision });
    this.#needsFullRead = true;
    view.markGap();
  }

  async #handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
    const { clock, random: randomSource, log, name, view } = this.#options;
    if (signal.aborted) return;
    if (this.#needsFullRead) this.#outages.recordFailure();
    this.#failures += 1;
    view.markGap();
    // After a long outage the history may no longer hold all missed changes, and a full read costs no
    // more than a watch.
    this.#needsFullRead = true;
    if (this.#failures === 1) {
      const answeredMs =
        this.#answeredAt === undefined ? undefined : Math.round(clock.now() - this.#answeredAt);
      const fields = { what: name, revision: view.revision, answeredMs, error: String(error) };
      log.write(logEvents.LOG_EVENTS.platformUnavailable, fields);
    }
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.#failures - 1));
    const waitMs = backoffMs * (0.5 + 0.5 * randomSource.nextFloat());
    await clocks.sleep(clock, waitMs, signal).catch(() => undefined);
  }
}
