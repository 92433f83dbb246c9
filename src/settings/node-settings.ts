/** Settings of `ebonyhook node`; each can be set by flag or environment variable. */

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
}
