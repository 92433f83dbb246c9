/** Settings of `ebonyhook node`; each is a flag and an environment variable. */

/** Checked settings of a node. */
export interface NodeSettings {
  readonly vm: string;
  readonly region: string;
  readonly zone: string;
  /** Address on which callers and peers reach this node. */
  readonly host: string;
  readonly callerPort: number;
  readonly peerPort: number;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  /** Keys of the fleet: the first seals and signs, all verify. */
  readonly fleetKeys: readonly string[];
  /** Token of the administration API; without one it is off. */
  readonly adminToken: string | undefined;
  readonly logFormat: "json" | "readable";
  readonly logLevel: "error" | "warn" | "info" | "debug";
  /** OTLP/HTTP endpoint of traces; without one tracing is off. */
  readonly otlpUrl: string | undefined;
  /** Longest wait for running requests when draining. */
  readonly drainLimitMs: number;
}
