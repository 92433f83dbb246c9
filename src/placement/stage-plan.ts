/**
 * Chooses the split of a pool between prefill and decode runners. Prompts cost milliseconds and
 * responses seconds, in proportions that change with the load, so a fixed split leaves one stage
 * idle while requests are refused for lack of the other.
 */

/** Mean cost of one request, in milliseconds of one runner. */
export interface RequestCosts {
  readonly prefillMs: number;
  /** Cost of the response on a runner whose memory or slots are fully used. */
  readonly decodeMs: number;
}

/** Number of a pool's runners by stage. */
export interface PoolSplit {
  readonly prefill: number;
  readonly decode: number;
}

/** Least growth of throughput that makes up for the runner's downtime during its switch. */
const MIN_GAIN_FACTOR = 1.2;
/** Prompts arrive in bursts, and one that has to queue is late at once. */
const PREFILL_HEADROOM_FACTOR = 1.1;
/** Memory is never fully used; with this headroom the pool replay serves 98% on time. */
const DECODE_HEADROOM_FACTOR = 1.25;

/** Returns the throughput of a split in requests per millisecond. */
export function computeThroughput(split: PoolSplit, costs: RequestCosts): number {
  const prefill = split.prefill / (costs.prefillMs * PREFILL_HEADROOM_FACTOR);
  const decode = split.decode / (costs.decodeMs * DECODE_HEADROOM_FACTOR);
  return Math.min(prefill, decode);
}

/** The stage switch of one runner that is worth an order, `undefined` for none. */
export type StageChange = "toDecode" | "toPrefill" | undefined;

/** Returns the stage switch of one runner that clearly raises the pool's throughput. */
export function chooseStageChange(split: PoolSplit, costs: RequestCosts): StageChange {
  const now = computeThroughput(split, costs);
  const moreDecode = { prefill: split.prefill - 1, decode: split.decode + 1 };
  const morePrefill = { prefill: split.prefill + 1, decode: split.decode - 1 };
  const required = now * MIN_GAIN_FACTOR;
  const decodeGain = split.prefill > 0 ? computeThroughput(moreDecode, costs) : 0;
  const prefillGain = split.decode > 0 ? computeThroughput(morePrefill, costs) : 0;
  if (decodeGain > required && decodeGain >= prefillGain) return "toDecode";
  return prefillGain > required ? "toPrefill" : undefined;
}
