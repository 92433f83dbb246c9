/** Interfaces of the telemetry services. */
import type * as otel from "@opentelemetry/api";
import type * as events from "./log-events.js";

/** Log of numbered events. */
export interface EventLog {
  /** Writes an event with its fields, which must not contain secrets or payloads. */
  write(event: events.LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}

/** Counters, gauges and duration histograms. */
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

/** Creates trace spans. */
export type Tracer = otel.Tracer;
