/**
 * Chooses a runner for a plain call. Load pattern: a few runners with few slots, calls of very different
 * length, and a runner that fails or hangs while it looks idle and healthy.
 */
import type * as random from "../kernel/random.js";
import type * as runnerRecord from "../runners/runner-record.js";

/** Added load, in slots of the runner, for a runner that fails every call. */
const FAILURE_PENALTY = 4;
/** Load difference, in parts of the slots, up to which a near runner is taken: distance costs little time. */
const FAR_PENALTY = 0.1;

/** Returns the runner with the least expected load, leaving out those that this call tried. */
export function chooseRunner(
  records: readonly runnerRecord.RunnerRecord[],
  excluded: ReadonlySet<string>,
  zone: string,
  source: random.RandomSource,
): runnerRecord.RunnerRecord | undefined {
  const untried = records.filter((record) => !excluded.has(record.runner.id));
  const sound = untried.filter((record) => !record.paused);
  let best: { readonly record: runnerRecord.RunnerRecord; readonly cost: number } | undefined;
  for (const record of sound.length > 0 ? sound : untried) {
    const cost = computeCost(record, zone, source.nextFloat());
    if (best === undefined || cost < best.cost) best = { record, cost };
  }
  return best?.record;
}

/** Breaks ties at random, so that VMs that know the same do not all choose the same. */
const TIE_WEIGHT = 0.05;

function computeCost(record: runnerRecord.RunnerRecord, zone: string, tie: number): number {
  const { runner, failureRate } = record;
  const used = record.computeLoad() / Math.max(1, runner.slots);
  const distance = runner.zone === zone ? 0 : FAR_PENALTY;
  return used + FAILURE_PENALTY * failureRate + distance + TIE_WEIGHT * tie;
}
