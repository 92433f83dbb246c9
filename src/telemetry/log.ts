/** Structured logging: each entry is a numbered event with fields. */
import type * as stream from "node:stream";
import * as streams from "node:stream/promises";
import * as winston from "winston";
import type * as kernels from "../kernel/container.js";
import * as boundedOutput from "./bounded-output.js";
import * as events from "./log-events.js";
import type * as types from "./types.js";

const STDOUT_DESCRIPTOR = 1;

/** Fields whose values are redacted. */
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
  readonly #output: boundedOutput.BoundedOutput;

  constructor(logger: winston.Logger, output: boundedOutput.BoundedOutput) {
    this.#logger = logger;
    this.#output = output;
  }

  write(event: events.LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    const { level, number, message } = event;
    this.#logger.log({ ...createRedactedFields(fields), level, event: number, message });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#logger.close();
    this.#output.end();
    await streams.finished(this.#output).catch(() => undefined);
  }
}

/**
 * Creates the log of a node with the configured format and level, which writes to standard output
 * unless another target is given.
 *
 * @example createEventLog(kernel).write(LOG_EVENTS.nodeStarted, { vm: "vm-1" });
 */
export function createEventLog(
  kernel: kernels.Kernel,
  target: stream.Writable = boundedOutput.createFileOutput(STDOUT_DESCRIPTOR),
): types.EventLog {
  const { logFormat, logLevel, vm } = kernel.use("settings");
  const output = new boundedOutput.BoundedOutput(target, (count) => formatSuppressed(vm, count));
  const logger = winston.createLogger({
    level: logLevel,
    format: FORMATS[logFormat],
    defaultMeta: { node: vm },
    // False positive: winston's types declare `transports` through a namespace import, so that the
    // rule does not recognise the new object as an instance of the transport class.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: [new winston.transports.Stream({ stream: output })],
  });
  return new WinstonEventLog(logger, output);
}

/** Formats the entry that reports dropped lines. `BoundedOutput` writes it; the logger does not. */
function formatSuppressed(vm: string, count: number): string {
  const { level, number, message } = events.LOG_EVENTS.logSuppressed;
  return `${JSON.stringify({ level, event: number, message, node: vm, count })}\n`;
}

function createRedactedFields(fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
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
