/** The routing configuration that this VM applies; its version only increases. */
import * as util from "node:util";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as routeTable from "./route-table.js";
import type * as types from "./types.js";

/** Where a configuration comes from, for the log. */
export interface ConfigurationOrigin {
  /** Revision of the platform at which it was written. */
  readonly revision: number;
  /** Epoch of the platform's revisions. */
  readonly epoch: number;
  /** Part of the epoch. */
  readonly rewinds?: number;
  /** How it reached this VM. */
  readonly path: string;
  /** Time since the platform last answered this VM; `undefined` if it never did or its calls fail. */
  readonly answeredMs: number | undefined;
  /** Parts of the time that it took to reach this VM, in ms. */
  readonly times?: Readonly<Partial<Record<string, number>>>;
}

/** Holds the newest configuration that this process has received. */
export class RoutingState {
  readonly #log: telemetry.EventLog;
  readonly #listeners: ((table: types.RoutingTable) => void)[] = [];
  #current: routeTable.RouteTable | undefined;
  #origin: ConfigurationOrigin | undefined;

  constructor(log: telemetry.EventLog) {
    this.#log = log;
  }

  /** The current route table, `undefined` before the first configuration. */
  get current(): routeTable.RouteTable | undefined {
    return this.#current;
  }

  /** Where the current configuration came from; `undefined` before the first one. */
  get origin(): ConfigurationOrigin | undefined {
    return this.#origin;
  }

  onChange(listener: (table: types.RoutingTable) => void): void {
    this.#listeners.push(listener);
  }

  /** Applies a configuration if its version is newer; returns whether it was applied. */
  apply(table: types.RoutingTable, origin?: ConfigurationOrigin): boolean {
    const before = this.#current?.configuration.version ?? 0;
    if (table.version > before) return this.#set(table, before, origin);
    if (table.version < before) {
      const { times: _times, ...place } = origin ?? {};
      const fields = { version: table.version, inForce: before, ...place };
      this.#log.write(logEvents.LOG_EVENTS.configurationOlder, fields);
    }
    return false;
  }

  /**
   * Applies a configuration as this VM read it, also in place of another reading of the same version: a VM of an earlier build
   * may have understood less of it. Returns whether it was applied.
   */
  applyOwnReading(table: types.RoutingTable, origin?: ConfigurationOrigin): boolean {
    const current = this.#current?.configuration;
    if (current?.version !== table.version) return this.apply(table, origin);
    return !util.isDeepStrictEqual(table, current) && this.#set(table, current.version, origin);
  }

  #set(table: types.RoutingTable, before: number, origin?: ConfigurationOrigin): true {
    this.#current = new routeTable.RouteTable(table);
    this.#origin = origin;
    const { times, ...place } = origin ?? {};
    const fields = { version: table.version, before, routes: table.routes.length };
    this.#log.write(logEvents.LOG_EVENTS.configurationApplied, { ...fields, ...place, ...times });
    for (const listener of this.#listeners) listener(table);
    return true;
  }
}
