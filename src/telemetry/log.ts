/** Structured logs: each entry is a numbered event with its fields. */
import * as winston from "winston";
import type * as kernels from "../kernel/container.js";
import type * as events from "./log-events.js";
import type * as types from "./types.js";

/** Fields whose values never reach a log. */
const SECRET_FIELDS = new Set([
  "authorization",
  "credential",
  "fleetKeys",
  "adminToken",
  "session",
]);
const REDACTED = "[redacted]";

const FORMATS: Record<"json" | "readable", winston.Logform.Format> = {
  json: winston.format.combine(winston.format.timestamp(), winston.format.json()),
  readable: winston.format.combine(
    winston.format.timestamp(),
    winston.format.printf((entry) => formatReadable(entry)),
  ),
};

class WinstonEventLog implements types.EventLog, AsyncDisposable {
  readonly #logger: winston.Logger;

  constructor(logger: winston.Logger) {
    this.#logger = logger;
  }

  write(event: events.LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    const { level, number, message } = event;
    this.#logger.log({ ...createRedacted(fields), level, event: number, message });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#logger.close();
    return Promise.resolve();
  }
}

/**
 * Creates the log of a node in the format and level of its settings; it writes to standard output.
 *
 * @example createEventLog(kernel).write(LOG_EVENTS.nodeStarted, { vm: "vm-1" });
 */
export function createEventLog(kernel: kernels.Kernel): types.EventLog {
  const { logFormat, logLevel, vm } = kernel.use("settings");
  const logger = winston.createLogger({
    level: logLevel,
    format: FORMATS[logFormat],
    defaultMeta: { node: vm },
    // winston's own types name the class of its transports through a namespace import.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new winston.transports.Console()],
  });
  return new WinstonEventLog(logger);
}

function createRedacted(fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
  const entries = Object.entries(fields).map(([name, value]) => [
    name,
    SECRET_FIELDS.has(name) ? REDACTED : value,
  ]);
  return Object.fromEntries(entries) as Record<string, unknown>;
}

function formatReadable(entry: winston.Logform.TransformableInfo): string {
  const { timestamp, level, event, node, message, ...fields } = entry;
  const details = Object.entries(fields)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ");
  return `${String(timestamp)} ${level} ${String(event)} ${String(node)} ${String(message)} ${details}`;
}
