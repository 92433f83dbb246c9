/**
 * Metrics in the Prometheus text format: counters and gauges of prom-client, durations of
 * hdr-histogram-js.
 */
import * as hdr from "hdr-histogram-js";
import * as prom from "prom-client";
import type * as types from "./types.js";

const PREFIX = "ebonyhook_";
const PERCENTILES = [50, 95, 99, 99.9];
const MICROSECONDS_PER_MS = 1_000;
/** Longest recorded duration, one hour; longer ones are recorded as this one. */
const MAX_DURATION_MICROSECONDS = 3_600_000_000;
/** Limit on the number of metrics of each type, which bounds memory; further names are ignored. */
const MAX_METRICS_PER_TYPE = 200;

type Labels = Readonly<Record<string, string>>;

class NodeMetrics implements types.Metrics {
  readonly #registry = new prom.Registry();
  readonly #counters = new Map<string, prom.Counter>();
  readonly #gauges = new Map<string, prom.Gauge>();
  readonly #durations = new Map<string, hdr.Histogram>();

  count(name: string, labels: Labels = {}, amount = 1): void {
    getOrCreateEntry(this.#counters, name, () => this.#createCounter(name, labels))?.inc(
      labels,
      amount,
    );
  }

  set(name: string, value: number, labels: Labels = {}): void {
    getOrCreateEntry(this.#gauges, name, () => this.#createGauge(name, labels))?.set(labels, value);
  }

  recordDuration(name: string, durationMs: number): void {
    const value = Math.round(durationMs * MICROSECONDS_PER_MS);
    const bounded = Math.min(MAX_DURATION_MICROSECONDS, Math.max(1, value));
    getOrCreateEntry(this.#durations, name, createHistogram)?.recordValue(bounded);
  }

  async format(): Promise<string> {
    const countersAndGauges = await this.#registry.metrics();
    const durations = [...this.#durations].map(([name, histogram]) =>
      formatHistogram(name, histogram),
    );
    return [countersAndGauges, ...durations].join("\n");
  }

  #createCounter(name: string, labels: Labels): prom.Counter {
    return new prom.Counter({ ...createOptions(name, labels), registers: [this.#registry] });
  }

  #createGauge(name: string, labels: Labels): prom.Gauge {
    return new prom.Gauge({ ...createOptions(name, labels), registers: [this.#registry] });
  }
}

/**
 * Creates the metrics of a node.
 *
 * @example const metrics = createMetrics(); metrics.recordDuration("first_token", 212);
 */
export function createMetrics(): types.Metrics {
  return new NodeMetrics();
}

function getOrCreateEntry<Entry>(
  entries: Map<string, Entry>,
  name: string,
  create: () => Entry,
): Entry | undefined {
  const known = entries.get(name);
  if (known !== undefined || entries.size >= MAX_METRICS_PER_TYPE) return known;
  const entry = create();
  entries.set(name, entry);
  return entry;
}

function createOptions(
  name: string,
  labels: Labels,
): { name: string; help: string; labelNames: string[] } {
  return { name: PREFIX + name, help: name.replaceAll("_", " "), labelNames: Object.keys(labels) };
}

/** Creates a histogram of microseconds with two significant digits. */
function createHistogram(): hdr.Histogram {
  return hdr.build({
    highestTrackableValue: MAX_DURATION_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });
}

function formatHistogram(name: string, histogram: hdr.Histogram): string {
  const metric = `${PREFIX}${name}_ms`;
  const lines = PERCENTILES.map((percentile) => {
    const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return `${metric}{quantile="${percentile / 100}"} ${value}`;
  });
  return [`# TYPE ${metric} summary`, ...lines, `${metric}_count ${histogram.totalCount}`].join(
    "\n",
  );
}
