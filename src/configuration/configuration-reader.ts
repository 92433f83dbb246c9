/** Watches the configuration service while this node is one of the readers of its zone. */
import * as clocks from "../kernel/clock.js";
import type * as random from "../kernel/random.js";
import * as rendezvous from "../membership/rendezvous.js";
import type * as membership from "../membership/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as configurationStore from "./configuration-store.js";
import type * as types from "./types.js";

/** Nodes per zone that watch the service, which bounds the load on it. */
export const READERS_PER_ZONE = 2;
/** Duration of one long poll at the service. */
const WATCH_DURATION_MS = 20_000;
/** Time limit of a full read, and of a long poll beyond its duration. */
const RESPONSE_TIMEOUT_MS = 2000;
/** Time between full reads, before jitter; they detect a document replaced without a new revision. */
const READ_PERIOD_MS = 30_000;
/** Time between two checks whether this node has become a reader. */
const READER_CHECK_PERIOD_MS = 1000;
/** Pause between two requests, before jitter; doubled with each failure. */
const BASE_PAUSE_MS = 500;
const MAX_BACKOFF_MS = 5000;

/** Services that the reader uses. */
export interface ConfigurationReaderOptions {
  readonly platform: types.PlatformClient;
  readonly membership: membership.Membership;
  readonly store: configurationStore.ConfigurationStore;
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly log: telemetry.EventLog;
}

/** Reads and watches the configuration service. */
export class ConfigurationReader {
  readonly #options: ConfigurationReaderOptions;
  /** Highest revision that the service has returned, also of a document that was refused. */
  #seenRevision = 0;
  #nextFullReadAt = 0;
  #failures = 0;

  constructor(options: ConfigurationReaderOptions) {
    this.#options = options;
  }

  /** Reads and watches while this node is a reader, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.#isReader() ? await this.#runOnce(signal) : READER_CHECK_PERIOD_MS;
      await clocks.sleep(this.#options.clock, waitMs, signal).catch(() => undefined);
    }
  }

  /** Reads the document once; returns whether the read succeeded. */
  async read(signal: AbortSignal): Promise<boolean> {
    return await this.#runWithTimeout(RESPONSE_TIMEOUT_MS, signal, async (limitSignal) => {
      this.#nextFullReadAt = this.#options.clock.now() + READ_PERIOD_MS * this.#computeJitter();
      this.#applyPublished(await this.#options.platform.readConfiguration(limitSignal));
    });
  }

  /** Runs one read or watch, whichever is due; returns how long to wait before the next one. */
  async #runOnce(signal: AbortSignal): Promise<number> {
    const isFullReadDue = this.#options.clock.now() >= this.#nextFullReadAt;
    const hasSucceeded = isFullReadDue ? await this.read(signal) : await this.#watch(signal);
    if (hasSucceeded) return BASE_PAUSE_MS * this.#computeJitter();
    const backoffMs = BASE_PAUSE_MS * 2 ** Math.min(this.#failures, 10);
    return Math.min(backoffMs, MAX_BACKOFF_MS) * this.#computeJitter();
  }

  async #watch(signal: AbortSignal): Promise<boolean> {
    const { platform, store } = this.#options;
    const limitMs = WATCH_DURATION_MS + RESPONSE_TIMEOUT_MS;
    return await this.#runWithTimeout(limitMs, signal, async (limitSignal) => {
      const after = Math.max(this.#seenRevision, store.current?.revision ?? 0);
      const published = await platform.watchConfiguration(after, WATCH_DURATION_MS, limitSignal);
      if (published !== undefined) this.#applyPublished(published);
    });
  }

  #applyPublished(published: types.PublishedDocument): void {
    this.#seenRevision = Math.max(this.#seenRevision, published.revision);
    this.#options.store.apply(published);
  }

  /** Runs a request with a time limit; returns whether it succeeded. */
  async #runWithTimeout(
    limitMs: number,
    signal: AbortSignal,
    run: (limitSignal: AbortSignal) => Promise<void>,
  ): Promise<boolean> {
    using limit = clocks.createTimeLimit(this.#options.clock, limitMs, signal);
    try {
      await run(limit.signal);
      this.#failures = 0;
      return true;
    } catch (error) {
      this.#failures += 1;
      this.#reportFailure(error, signal);
      return false;
    }
  }

  /** Logs a failure, unless it follows another one or `signal` has aborted. */
  #reportFailure(error: unknown, signal: AbortSignal): void {
    if (this.#failures > 1 || signal.aborted) return;
    const fields = { what: "configuration", error: String(error) };
    this.#options.log.write(logEvents.LOG_EVENTS.platformUnavailable, fields);
  }

  #isReader(): boolean {
    const { membership: members } = this.#options;
    const { self } = members;
    const candidates = members.listAlive().filter((member) => member.zone === self.zone);
    const vms = candidates.map((member) => member.vm);
    return rendezvous.chooseByRendezvous("configuration", vms, READERS_PER_ZONE).includes(self.vm);
  }

  #computeJitter(): number {
    return 0.5 + this.#options.random.nextFloat();
  }
}
