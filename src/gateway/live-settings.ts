/** Reloads a running gateway's settings on SIGHUP and periodically. */
import * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as types from "./types.js";

/** Interval at which the settings are read again, in addition to reloads on SIGHUP. */
const RELOAD_PERIOD_MS = 2_000;

/**
 * Settings that take effect only at process start: the VM's identity, its listen addresses and the
 * address of the platform.
 */
const STARTUP_SETTINGS: ReadonlySet<string> = new Set<keyof types.GatewaySettings>([
  "vm",
  "host",
  "zone",
  "region",
  "callerAddress",
  "readyAddress",
  "peerAddress",
  "lookupAddress",
  "platformAddress",
]);

/** Dependencies and settings of `LiveSettings`. */
export interface LiveSettingsOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  /** The settings that the process started with. */
  readonly initial: types.GatewaySettings;
  /** @throws when the settings cannot be read or are invalid. */
  readonly read: () => types.GatewaySettings;
}

/** Provides the settings in effect. */
export class LiveSettings implements AsyncDisposable {
  readonly #options: LiveSettingsOptions;
  readonly #controller = new AbortController();
  #current: types.GatewaySettings;
  #lastError: string | undefined;

  constructor(options: LiveSettingsOptions) {
    this.#options = options;
    this.#current = options.initial;
  }

  /** Latest valid settings, in which settings of `STARTUP_SETTINGS` keep their initial values. */
  get current(): types.GatewaySettings {
    return this.#current;
  }

  /**
   * Reads the settings again and applies changes; if they cannot be read or are invalid, the
   * previous ones stay in effect. Periodic reads that apply no change are not logged, and an error
   * that repeats the previous one is not logged again.
   */
  update(cause: "signal" | "period"): void {
    const next = this.#read(cause);
    if (next === undefined) return;
    const changed = listChanges(this.#current, next);
    const applied = changed.filter((key) => !STARTUP_SETTINGS.has(key));
    const needsRestart = changed.filter((key) => STARTUP_SETTINGS.has(key));
    if (applied.length > 0) this.#current = mergeSettings(this.#current, next);
    const isPeriodicWithoutChange = cause === "period" && applied.length === 0;
    if (isPeriodicWithoutChange) return;
    this.#options.log.write(logEvents.LOG_EVENTS.settingsReloaded, {
      cause,
      applied,
      needsRestart,
    });
  }

  /** Updates the settings periodically until disposal. */
  async run(): Promise<void> {
    const { signal } = this.#controller;
    for (;;) {
      try {
        await clocks.sleep(this.#options.clock, RELOAD_PERIOD_MS, signal);
      } catch {
        // Aborted by disposal.
        return;
      }
      this.update("period");
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    return Promise.resolve();
  }

  #read(cause: string): types.GatewaySettings | undefined {
    try {
      const settings = this.#options.read();
      this.#lastError = undefined;
      return settings;
    } catch (error) {
      const text = String(error);
      // Logs a persistent error once, not on every read.
      if (text !== this.#lastError) {
        this.#options.log.write(logEvents.LOG_EVENTS.settingsRefused, { cause, error: text });
      }
      this.#lastError = text;
      return undefined;
    }
  }
}

function listChanges(before: types.GatewaySettings, after: types.GatewaySettings): string[] {
  const keys = Object.keys(after) as (keyof types.GatewaySettings)[];
  return keys.filter((key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]));
}

function mergeSettings(
  before: types.GatewaySettings,
  after: types.GatewaySettings,
): types.GatewaySettings {
  const fixed = Object.entries(before).filter(([key]) => STARTUP_SETTINGS.has(key));
  return { ...after, ...Object.fromEntries(fixed) };
}
