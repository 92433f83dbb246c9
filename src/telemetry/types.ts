/** Logs, metrics and traces as services. */
import type * as otel from "@opentelemetry/api";
import type * as events from "./log-events.js";

/** Writes numbered events. */
export interface EventLog {
  /** Writes one event with its fields; never secrets or payloads. */
  write(event: events.LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** Counters and latency histograms. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, labels?: Readonly<Record<string, string>>, amount?: number): void;
  /** Sets a gauge. */
  set(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
  /** Records a duration in milliseconds. */
  recordDuration(name: string, durationMs: number): void;
  /** Returns all metrics in the Prometheus text format. */
  format(): Promise<string>;
}

/** Starts the spans of a hop. */
export type Tracer = otel.Tracer;
