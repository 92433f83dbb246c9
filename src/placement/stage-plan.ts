/**
 * Chooses the split of a pool between prefill and decode runners. Prompts cost milliseconds and
 * responses seconds, in proportions that change with the load, so a fixed split leaves one stage
 * idle while requests are refused for lack of the other.
 */

/** Mean cost of one request, as time of one runner. */
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

/**
 * Minimum ratio of the throughput after a switch to that before it, which makes up for the runner's
 * downtime during the switch.
 */
const MIN_GAIN_FACTOR = 1.2;
/**
 * Factor on the prefill cost: prompts arrive in bursts, and one that has to queue is late at once.
 */
const PREFILL_HEADROOM_FACTOR = 1.1;
/**
 * Factor on the decode cost: memory is never fully used; with this headroom the pool replay serves
 * 98% on time.
 */
const DECODE_HEADROOM_FACTOR = 1.25;

/** Returns the throughput of a split in requests per millisecond. */
export function computeThroughput(split: PoolSplit, costs: RequestCosts): number {
  const prefill = split.prefill / (costs.prefillMs * PREFILL_HEADROOM_FACTOR);
  const decode = split.decode / (costs.decodeMs * DECODE_HEADROOM_FACTOR);
  return Math.min(prefill, decode);
}

/** Direction of a stage switch of one runner; `undefined` for no switch. */
export type StageChange = "toDecode" | "toPrefill" | undefined;

/**
 * Returns the stage switch of one runner that raises the pool's throughput by more than
 * `MIN_GAIN_FACTOR`, `undefined` if there is none.
 */
export function chooseStageChange(split: PoolSplit, costs: RequestCosts): StageChange {
  const current = computeThroughput(split, costs);
  const moreDecode = { prefill: split.prefill - 1, decode: split.decode + 1 };
  const morePrefill = { prefill: split.prefill + 1, decode: split.decode - 1 };
  const required = current * MIN_GAIN_FACTOR;
  const decodeGain = split.prefill > 0 ? computeThroughput(moreDecode, costs) : 0;
  const prefillGain = split.decode > 0 ? computeThroughput(morePrefill, costs) : 0;
  if (decodeGain > required && decodeGain >= prefillGain) return "toDecode";
  return prefillGain > required ? "toPrefill" : undefined;
}
