/**
 * Names, defaults and validation of the node's settings, used by the command line, its help and the
 * documentation.
 */
import * as zod from "zod";
import type * as settings from "./node-settings.js";

/** A setting, given as flag `--<flag>` or environment variable `EBONYHOOK_<FLAG>`. */
export interface SettingDefinition {
  /** Name of the flag without the leading dashes. */
  readonly flag: string;
  readonly description: string;
  /** Default value. A setting without one is required unless it is optional. */
  readonly defaultText?: string;
  readonly optional?: boolean;
}

const MAX_PORT = 65_535;
const MIN_KEY_LENGTH = 16;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const nameSchema = zod
  .string("is required")
  .regex(NAME_PATTERN, "must be lower-case letters, digits, '.', '_' and '-'");
/** Schema of a port number given as text. */
export const portSchema = zod
  .string("is required")
  .regex(/^\d{1,5}$/, `must be a whole number from 0 to ${MAX_PORT}`)
  .transform(Number)
  .refine((value) => value <= MAX_PORT, `must be a whole number from 0 to ${MAX_PORT}`);
/** Schema of the base URL of a service. */
export const urlSchema = zod.url({ protocol: /^https?$/, error: "must be an http or https URL" });
const tokenSchema = zod
  .string()
  .min(MIN_KEY_LENGTH, `must have at least ${MIN_KEY_LENGTH} characters`);

/** Definitions of the settings of `ebonyhook node`, by key of `NodeSettings`. */
export const NODE_SETTINGS = {
  vm: { flag: "vm", description: "id of this VM, as the platform lists it" },
  region: { flag: "region", description: "region of this VM" },
  zone: { flag: "zone", description: "availability zone of this VM" },
  host: { flag: "host", description: "IP address at which callers and peers reach this VM" },
  callerPort: {
    flag: "caller-port",
    description: "port for callers and administration; 0 lets the operating system choose",
  },
  peerPort: {
    flag: "peer-port",
    description: "port for other nodes; 0 lets the operating system choose",
  },
  platformUrl: { flag: "platform-url", description: "base URL of the platform" },
  fleetKeys: {
    flag: "fleet-keys",
    description: "fleet keys, comma-separated: the first signs, all verify",
  },
  adminToken: {
    flag: "admin-token",
    description: "token of the administration API; without one the API is disabled",
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
    description: "OTLP/HTTP endpoint of traces; without one tracing is disabled",
    optional: true,
  },
  drainLimitMs: {
    flag: "drain-limit-ms",
    description: "maximum wait for running requests on shutdown, in milliseconds",
    defaultText: "60000",
  },
} as const satisfies Record<settings.NodeSettingName, SettingDefinition>;

/** Schema of the comma-separated fleet keys. */
export const fleetKeysSchema = zod
  .string("is required")
  .transform((text) => text.split(",").map((key) => key.trim()))
  .pipe(zod.array(tokenSchema).min(1).max(2, "at most two keys"));

/** Schema of the log level. */
export const logLevelSchema = zod.enum(
  ["error", "warn", "info", "debug"],
  "must be error, warn, info or debug",
);

const nodeSettingsSchema = zod.object({
  vm: nameSchema,
  region: nameSchema,
  zone: nameSchema,
  host: zod.union([zod.ipv4(), zod.ipv6()], "must be an IP address"),
  callerPort: portSchema,
  peerPort: portSchema,
  platformUrl: urlSchema,
  fleetKeys: fleetKeysSchema,
  adminToken: tokenSchema.optional(),
  logFormat: zod.enum(["json", "readable"], "must be json or readable"),
  logLevel: logLevelSchema,
  otlpUrl: urlSchema.optional(),
  drainLimitMs: zod
    .string()
    .regex(/^\d{1,8}$/, "must be a whole number of milliseconds")
    .transform(Number),
});

/** Settings as text, before validation. */
export type RawNodeSettings = Readonly<Partial<Record<settings.NodeSettingName, string>>>;

/** Result of validating settings. */
export type NodeSettingsCheck =
  | { readonly ok: true; readonly settings: settings.NodeSettings }
  | { readonly ok: false; readonly faults: readonly string[] };

/** Returns the name of the environment variable of a flag. */
export function getEnvironmentName(flag: string): string {
  return `EBONYHOOK_${flag.replaceAll("-", "_").toUpperCase()}`;
}

/**
 * Validates settings given as text. Faults name the flag and the variable but not the value, which
 * may be secret.
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
    const key = issue.path[0] as settings.NodeSettingName;
    return formatFault(NODE_SETTINGS[key], withDefaults[key], issue);
  });
  return { ok: false, faults };
}

/** Formats the fault of a setting, without its value, which may be secret. */
export function formatFault(
  definition: SettingDefinition,
  value: string | undefined,
  issue: zod.core.$ZodIssue,
): string {
  const { flag } = definition;
  return `--${flag} (${getEnvironmentName(flag)}): ${formatReason(value, issue)}`;
}

function listDefinitions(): [settings.NodeSettingName, SettingDefinition][] {
  return Object.entries(NODE_SETTINGS) as [settings.NodeSettingName, SettingDefinition][];
}

function formatReason(value: string | undefined, issue: zod.core.$ZodIssue): string {
  return value === undefined ? "is required" : issue.message;
}
