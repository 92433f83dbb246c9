/** Example settings, configuration and entries in the formats of the users' platform. */

/** Ports of a machine; all machines use the same ports on different loopback addresses. */
export const PORTS = { front: 8144, ready: 8140, control: 8146, directory: 8143 } as const;

/** Start time of a runner's process, in Unix milliseconds. */
export const BORN = 1;

/** Values of a settings file that differ between machines. */
export interface SettingsChanges {
  readonly node?: string;
  readonly zone?: string;
  readonly seeds?: readonly string[];
  readonly platform?: string;
  readonly retryRatio?: number;
  /** Memory of the machine; by default the settings name no limits. */
  readonly memoryMb?: number;
  /** Descriptors of a process; stated only together with the memory. */
  readonly maxFds?: number;
}

/** Returns the text of a machine's settings file. */
export function createSettingsText(ip: string, changes: SettingsChanges = {}): string {
  const { node = "front-1", zone = "a", seeds = [], platform = "127.0.0.1:1" } = changes;
  const { retryRatio = 0.2, memoryMb, maxFds = 4_100 } = changes;
  const limits =
    memoryMb === undefined
      ? ""
      : `limits: { cpu_share: 1, cores: 1, memory_mb: ${memoryMb}, max_fds: ${maxFds}, link_mbps: 1000 }\n`;
  return `node: "${node}"
role: "gateway"
ip: "${ip}"
zone: "${zone}"
region: "r"
zones: { a: "r", b: "r" }
listen:
  front: "${ip}:${PORTS.front}"
  ready: "${ip}:${PORTS.ready}"
  control: "${ip}:${PORTS.control}"
  directory: "${ip}:${PORTS.directory}"
seeds: ${JSON.stringify(seeds)}
bounds:
  drain_ms: 2000
  grace_s: 8
  retry_budget_ratio: ${retryRatio}
  budget_slack: 54
  budget_window_s: 10
  ttl_max_s: 5
platform: { address: "${platform}", form: "read" }
${limits}`;
}

/** Returns an operator's configuration with a model route and a safe and an unsafe plain route. */
export function createConfiguration(version: number): Record<string, unknown> {
  const route = { host: "api.example", timeout_ms: 3000, target_latency_ms: 900, priority: 1 };
  return {
    version,
    routes: [
      {
        ...route,
        name: "notes",
        path_prefix: "/notes/",
        kind: "streaming",
        service: "model",
        max_attempts: 2,
        sticky: true,
        resumable: true,
        gap_aim_ms: 300,
      },
      {
        ...route,
        name: "status",
        path_prefix: "/status/",
        kind: "safe",
        service: "plain",
        max_attempts: 2,
      },
      {
        ...route,
        name: "book",
        path_prefix: "/book/",
        kind: "unsafe",
        service: "plain",
        max_attempts: 1,
      },
    ],
    services: [
      {
        name: "model",
        health_path: "/health",
        max_connections: 100,
        engine: { slots: 16, kv_capacity: 72680, stride: 61, handle_ttl_s: 0.5, switch_s: 6 },
      },
      { name: "plain", health_path: "/health", max_connections: 100 },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 1000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/** Returns a runner's registry entry; `changes` replace or add fields. */
export function createRunnerEntry(
  address: string,
  changes: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> {
  return {
    service: "plain",
    address,
    zone: "a",
    version: "v1",
    slots: 6,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 4,
    born: BORN,
    ...changes,
  };
}
