/** Names, defaults and checks of the settings; the command line, the help and the docs read them. */
import * as zod from "zod";
import type * as settings from "./node-settings.js";

/** One setting, as flag `--<flag>` and environment variable `EBONYHOOK_<FLAG>`. */
export interface SettingDefinition {
  /** Flag without its dashes. */
  readonly flag: string;
  readonly description: string;
  /** Value used when neither flag nor variable is given; without one the setting is required. */
  readonly defaultText?: string;
  readonly optional?: boolean;
}

/** Largest port number; 0 lets the operating system choose. */
const MAX_PORT = 65_535;
const MIN_KEY_LENGTH = 16;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const name = zod
  .string("is required")
  .regex(NAME_PATTERN, "must be lower-case letters, digits, '.', '_' and '-'");
/** Schema of a port given as text. */
export const portSchema = zod
  .string("is required")
  .regex(/^\d{1,5}$/, `must be a whole number from 0 to ${MAX_PORT}`)
  .transform(Number)
  .refine((value) => value <= MAX_PORT, `must be a whole number from 0 to ${MAX_PORT}`);
/** Schema of the base URL of a service. */
export const urlSchema = zod.url({ protocol: /^https?$/, error: "must be an http or https URL" });
const token = zod.string().min(MIN_KEY_LENGTH, `must have at least ${MIN_KEY_LENGTH} characters`);

/** The settings of `ebonyhook node` by their key in `NodeSettings`. */
export const NODE_SETTINGS = {
  vm: { flag: "vm", description: "id of this VM, as the platform lists it" },
  region: { flag: "region", description: "region of this VM" },
  zone: { flag: "zone", description: "availability zone of this VM" },
  host: { flag: "host", description: "IP address on which callers and peers reach this VM" },
  callerPort: {
    flag: "caller-port",
    description: "port for callers and administration; 0 lets the system choose",
  },
  peerPort: { flag: "peer-port", description: "port for other nodes; 0 lets the system choose" },
  platformUrl: { flag: "platform-url", description: "base URL of the platform" },
  fleetKeys: {
    flag: "fleet-keys",
    description: "keys of the fleet, comma-separated: the first signs, all verify",
  },
  adminToken: {
    flag: "admin-token",
    description: "token of the administration API; without one the API is off",
    optional: true,
  },
  logFormat: { flag: "log-format", description: "json or readable", defaultText: "json" },
  logLevel: {
    flag: "log-level",
    description: "error, warn, info or debug",
    defaultText: "info",
  },
  otlpUrl: {
    flag: "otlp-url",
    description: "OTLP/HTTP endpoint of traces; without one tracing is off",
    optional: true,
  },
  drainLimitMs: {
    flag: "drain-limit-ms",
    description: "longest wait for running requests on leaving, in milliseconds",
    defaultText: "60000",
  },
} as const satisfies Record<keyof settings.NodeSettings, SettingDefinition>;

/** Schema of the fleet's keys given as text. */
export const fleetKeysSchema = zod
  .string("is required")
  .transform((text) => text.split(",").map((key) => key.trim()))
  .pipe(zod.array(token).min(1).max(2, "at most two keys"));

/** Schema of the level of logs. */
export const logLevelSchema = zod.enum(
  ["error", "warn", "info", "debug"],
  "must be error, warn, info or debug",
);

const nodeSettingsSchema = zod.object({
  vm: name,
  region: name,
  zone: name,
  host: zod.union([zod.ipv4(), zod.ipv6()], "must be an IP address"),
  callerPort: portSchema,
  peerPort: portSchema,
  platformUrl: urlSchema,
  fleetKeys: fleetKeysSchema,
  adminToken: token.optional(),
  logFormat: zod.enum(["json", "readable"], "must be json or readable"),
  logLevel: logLevelSchema,
  otlpUrl: urlSchema.optional(),
  drainLimitMs: zod
    .string()
    .regex(/^\d{1,8}$/, "must be a whole number of milliseconds")
    .transform(Number),
});

/** Settings as text, before their check. */
export type RawNodeSettings = Readonly<Partial<Record<keyof settings.NodeSettings, string>>>;

/** Outcome of checking settings. */
export type NodeSettingsCheck =
  | { readonly ok: true; readonly settings: settings.NodeSettings }
  | { readonly ok: false; readonly faults: readonly string[] };

/** Returns the environment variable of a flag. */
export function getEnvironmentName(flag: string): string {
  return `EBONYHOOK_${flag.replaceAll("-", "_").toUpperCase()}`;
}

/**
 * Checks settings given as text; every fault names its flag and variable, never the value.
 *
 * @example const check = validateNodeSettings({ vm: "vm-1", callerPort: "8080" });
 */
export function validateNodeSettings(raw: RawNodeSettings): NodeSettingsCheck {
  const withDefaults: Record<string, string | undefined> = {};
  for (const [key, definition] of listDefinitions()) {
    withDefaults[key] = raw[key] ?? definition.defaultText;
  }
  const parsed = nodeSettingsSchema.safeParse(withDefaults);
  if (parsed.success) {
    const { adminToken, otlpUrl, ...required } = parsed.data;
    return { ok: true, settings: { ...required, adminToken, otlpUrl } };
  }
  const faults = parsed.error.issues.map((issue) => {
    const key = issue.path[0] as keyof settings.NodeSettings;
    return formatFault(NODE_SETTINGS[key], withDefaults[key], issue);
  });
  return { ok: false, faults };
}

/** Returns the line that tells a setting's fault; it names flag and variable, never the value. */
export function formatFault(
  definition: SettingDefinition,
  given: string | undefined,
  issue: zod.core.$ZodIssue,
): string {
  const { flag } = definition;
  return `--${flag} (${getEnvironmentName(flag)}): ${formatReason(given, issue)}`;
}

function listDefinitions(): [keyof settings.NodeSettings, SettingDefinition][] {
  return Object.entries(NODE_SETTINGS) as [keyof settings.NodeSettings, SettingDefinition][];
}

function formatReason(given: string | undefined, issue: zod.core.$ZodIssue): string {
  return given === undefined ? "is required" : issue.message;
}
