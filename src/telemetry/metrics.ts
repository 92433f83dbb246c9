/** Counters and gauges by prom-client, latencies by hdr-histogram-js, in the Prometheus format. */
import * as hdr from "hdr-histogram-js";
import * as prom from "prom-client";
import type * as types from "./types.js";

const PREFIX = "ebonyhook_";
const QUANTILES = [50, 95, 99, 99.9];
/** Durations are recorded in microseconds up to one hour, with two significant digits. */
const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MICROSECONDS = 3_600_000_000;
/** Different names above this number are not recorded, so that memory stays bounded. */
const MAX_NAMES = 200;

type Labels = Readonly<Record<string, string>>;

class NodeMetrics implements types.Metrics {
  readonly #registry = new prom.Registry();
  readonly #counters = new Map<string, prom.Counter>();
  readonly #gauges = new Map<string, prom.Gauge>();
  readonly #durations = new Map<string, hdr.Histogram>();

  count(name: string, labels: Labels = {}, amount = 1): void {
    useEntry(this.#counters, name, () => this.#createCounter(name, labels))?.inc(labels, amount);
  }

  set(name: string, value: number, labels: Labels = {}): void {
    useEntry(this.#gauges, name, () => this.#createGauge(name, labels))?.set(labels, value);
  }

  recordDuration(name: string, durationMs: number): void {
    const value = Math.round(durationMs * MICROSECONDS_PER_MS);
    const bounded = Math.min(HIGHEST_MICROSECONDS, Math.max(1, value));
    useEntry(this.#durations, name, createHistogram)?.recordValue(bounded);
  }

  async format(): Promise<string> {
    const counters = await this.#registry.metrics();
    const durations = [...this.#durations].map(([name, histogram]) =>
      formatHistogram(name, histogram),
    );
    return [counters, ...durations].join("\n");
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

function useEntry<Entry>(
  entries: Map<string, Entry>,
  name: string,
  create: () => Entry,
): Entry | undefined {
  const known = entries.get(name);
  if (known !== undefined || entries.size >= MAX_NAMES) return known;
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

function createHistogram(): hdr.Histogram {
  return hdr.build({
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });
}

function formatHistogram(name: string, histogram: hdr.Histogram): string {
  const metric = `${PREFIX}${name}_ms`;
  const lines = QUANTILES.map((quantile) => {
    const value = histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS;
    return `${metric}{quantile="${quantile / 100}"} ${value}`;
  });
  return [`# TYPE ${metric} summary`, ...lines, `${metric}_count ${histogram.totalCount}`].join(
    "\n",
  );
}
