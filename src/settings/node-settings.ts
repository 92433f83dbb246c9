/** Settings of `ebonyhook node`; each can be set by flag or environment variable. */

import type * as membership from "../membership/types.js";

/** Validated settings of a node. */
export interface NodeSettings {
  readonly vm: string;
  readonly region: string;
  readonly zone: string;
  /** IP address at which callers and peers reach this node. */
  readonly host: string;
  readonly callerPort: number;
  readonly peerPort: number;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Fleet keys: the first seals and signs, all of them verify. */
  readonly fleetKeys: readonly string[];
  /** Token of the administration API; `undefined` disables the API. */
  readonly adminToken: string | undefined;
  readonly logFormat: "json" | "readable";
  readonly logLevel: "error" | "warn" | "info" | "debug";
  /** OTLP/HTTP endpoint of traces; `undefined` disables tracing. */
  readonly otlpUrl: string | undefined;
  /** Maximum wait for running requests while draining. */
  readonly drainLimitMs: number;
  /** What this VM may use, which no flag sets; `undefined` when the platform does not state it. */
  readonly capacity?: membership.VmCapacity | undefined;
}

/** Name of a setting that a flag or an environment variable sets. */
export type NodeSettingName = Exclude<keyof NodeSettings, "capacity">;
