/**
 * Decides how many runners of a pool read prompts. Load pattern: prompts cost milliseconds and answers
 * seconds, so a fixed split leaves one side idle while callers are refused for want of the other.
 */

/** What one request costs on average, in milliseconds of one runner. */
export interface RequestCosts {
  readonly prefillMs: number;
  /** Cost of the answer if its runner's memory or slots were filled without a gap. */
  readonly decodeMs: number;
}

/** The runners of a pool by stage. */
export interface PoolSplit {
  readonly prefill: number;
  readonly decode: number;
}

/** An order is worth its pause only if the pool then carries this much more. */
const LEAST_GAIN = 1.2;
/** Prompts arrive in clumps, and one that waits is late at once: prefill needs this much room. */
const PREFILL_ROOM = 1.1;
/** Memory is never filled without a gap: the pool replay serves 98% on time with this much room. */
const DECODE_ROOM = 1.25;

/** Returns how many requests a millisecond a split carries. */
export function computeThroughput(split: PoolSplit, costs: RequestCosts): number {
  const prefill = split.prefill / (costs.prefillMs * PREFILL_ROOM);
  const decode = split.decode / (costs.decodeMs * DECODE_ROOM);
  return Math.min(prefill, decode);
}

/** The change of one runner that is worth an order, `undefined` for none. */
export type StageChange = "toDecode" | "toPrefill" | undefined;

/** Returns the change of one runner's stage that lets the pool carry clearly more. */
export function chooseStageChange(split: PoolSplit, costs: RequestCosts): StageChange {
  const now = computeThroughput(split, costs);
  const moreDecode = { prefill: split.prefill - 1, decode: split.decode + 1 };
  const morePrefill = { prefill: split.prefill + 1, decode: split.decode - 1 };
  const needed = now * LEAST_GAIN;
  const decodeGain = split.prefill > 0 ? computeThroughput(moreDecode, costs) : 0;
  const prefillGain = split.decode > 0 ? computeThroughput(morePrefill, costs) : 0;
  if (decodeGain > needed && decodeGain >= prefillGain) return "toDecode";
  return prefillGain > needed ? "toPrefill" : undefined;
}
