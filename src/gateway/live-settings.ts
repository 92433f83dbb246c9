/** Reloads the settings of a running gateway on request and periodically. */
import * as clocks from "../kernel/clock.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as types from "./types.js";

/** Picks up file changes that come without a signal; no setting needs a shorter delay. */
const RELOAD_PERIOD_MS = 2_000;

/** Identity and listen addresses, which cannot change while the process runs. */
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

/** Provides the latest valid settings. */
export class LiveSettings implements AsyncDisposable {
  readonly #options: LiveSettingsOptions;
  readonly #controller = new AbortController();
  #current: types.GatewaySettings;
  #lastError: string | undefined;

  constructor(options: LiveSettingsOptions) {
    this.#options = options;
    this.#current = options.initial;
  }

  /** Settings in effect. Those that cannot change at run time keep their initial values. */
  get current(): types.GatewaySettings {
    return this.#current;
  }

  /** Reloads the settings; if they are invalid, the last valid ones stay in effect. */
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

  /** Reloads the settings periodically until disposal. */
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
      const fault = String(error);
      // Logs a persistent fault once, not on every reload.
      if (fault !== this.#lastError) {
        this.#options.log.write(logEvents.LOG_EVENTS.settingsRefused, { cause, error: fault });
      }
      this.#lastError = fault;
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
