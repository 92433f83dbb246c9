/** Settings of the commands other than `node` and `gateway`, and their validation. */
import * as zod from "zod";
import type * as addressCache from "../client/address-cache.js";
import * as catalogue from "../settings/node-settings-catalogue.js";

/** Settings by key; several commands share some of them. */
export const COMMAND_SETTINGS = {
  nodes: {
    flag: "nodes",
    description: "nodes to query, as host:port, comma-separated",
  },
  credential: { flag: "credential", description: "credential of the caller" },
  adminToken: {
    flag: "admin-token",
    description: "token of the administration API",
  },
  platformUrl: {
    flag: "platform-url",
    description: "base URL of the platform, to read the published document",
    optional: true,
  },
  deadlineMs: {
    flag: "deadline-ms",
    description: "deadline for the request including all attempts, in milliseconds",
    defaultText: "60000",
  },
  maxTokens: {
    flag: "max-tokens",
    description: "maximum output length, in tokens",
    defaultText: "256",
  },
  consoleHost: {
    flag: "console-host",
    description: "IP address that the console binds to",
    defaultText: "127.0.0.1",
  },
  consolePort: {
    flag: "console-port",
    description: "port of the console; 0 lets the operating system choose",
    defaultText: "8090",
  },
  consoleToken: {
    flag: "console-token",
    description: "access token of the console; required unless bound to loopback",
    optional: true,
  },
} as const satisfies Record<string, catalogue.SettingDefinition>;

/** Invalid flag, environment variable or file; the command exits with `EXIT_CODE.usage`. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

const MAX_PORT = 65_535;
const MAX_NODES = 1000;

const nodeSchema = zod
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]|localhost):\d{1,5}$/i)
  .transform(parseNode)
  .refine((node) => node.port >= 1 && node.port <= MAX_PORT);

/**
 * Parses `host:port,host:port`, where each host is an IP address or `localhost`.
 *
 * @throws UsageError if there is no node, or if a node is not valid.
 */
export function parseNodes(text: string | undefined): readonly addressCache.NodeAddress[] {
  const list = (text ?? "").split(",").filter((part) => part.trim() !== "");
  const parsed = zod
    .array(nodeSchema)
    .min(1)
    .max(MAX_NODES)
    .safeParse(list.map((part) => part.trim()));
  if (parsed.success) return parsed.data;
  throw createUsageError(COMMAND_SETTINGS.nodes, "must be IP:port, comma-separated");
}

/** Parses an integer from `min` to `max`. @throws UsageError if the text is anything else */
export function parseInteger(
  definition: catalogue.SettingDefinition,
  text: string | undefined,
  min: number,
  max: number,
): number {
  const value = /^\d{1,12}$/.test(text ?? "") ? Number(text) : NaN;
  if (value >= min && value <= max) return value;
  throw createUsageError(definition, `must be a whole number from ${min} to ${max}`);
}

/** Returns the value of a required setting. @throws UsageError if it is absent or empty */
export function getRequiredSetting(
  definition: catalogue.SettingDefinition,
  text: string | undefined,
): string {
  if (text !== undefined && text !== "") return text;
  throw createUsageError(definition, "is required");
}

/**
 * Creates the error for a setting. It names the flag and the variable but not the value, which may
 * be secret.
 */
export function createUsageError(
  definition: catalogue.SettingDefinition,
  reason: string,
): UsageError {
  const variable = catalogue.getEnvironmentName(definition.flag);
  return new UsageError(`--${definition.flag} (${variable}): ${reason}`);
}

function parseNode(text: string): addressCache.NodeAddress {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(text.slice(colon + 1)) };
}
