/** What the logs of the gateways tell of the changes of a configuration: when each was in force, and where the time went. */
import * as fs from "node:fs";

/** Log events that are counted. */
const COUNTED_EVENTS: Readonly<Record<number, string>> = {
  3004: "platform unavailable",
  3005: "pull failed",
  3008: "pulled",
  3012: "reads alone",
  4013: "crash pull failed",
};
const APPLIED_EVENT = 3001;

type LogLine = Readonly<Record<string, unknown>>;

/** A version of the configuration in force at a gateway. */
export interface Application {
  readonly gateway: string;
  readonly version: number;
  /** Wall time in ms. */
  readonly at: number;
  readonly line: LogLine;
}

/** What the log of one gateway shows. */
export interface GatewayTimeline {
  readonly applications: readonly Application[];
  /** Wall times of the counted events, by name. */
  readonly events: readonly { readonly name: string; readonly at: number }[];
  readonly loads: readonly {
    readonly at: number;
    readonly delayMs: number;
    readonly cpuMs: number;
  }[];
}

/** Reads the log of a gateway; lines that are no JSON are skipped. */
export function readTimeline(gateway: string, logPath: string): GatewayTimeline {
  const lines = fs.readFileSync(logPath, "utf8").split("\n").flatMap(parseLine);
  const applications = lines
    .filter((line) => line.event === APPLIED_EVENT)
    .map((line) => ({ gateway, version: Number(line.version), at: readTime(line), line }));
  const events = lines.flatMap((line) => {
    const name = COUNTED_EVENTS[Number(line.event)];
    return name === undefined ? [] : [{ name, at: readTime(line) }];
  });
  const loads = lines.flatMap((line) =>
    line.load === undefined ? [] : [line.load as GatewayTimeline["loads"][number]],
  );
  return { applications, events, loads };
}

/** Returns the value below which a share of the values lies; 0 for none. */
export function computeQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function parseLine(text: string): LogLine[] {
  try {
    return text.startsWith("{") ? [JSON.parse(text) as LogLine] : [];
  } catch {
    return [];
  }
}

function readTime(line: LogLine): number {
  return Date.parse(String(line.timestamp));
}
