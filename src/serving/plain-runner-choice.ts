/**
 * Chooses a runner for a plain call. Services have a few runners with few slots, and their calls
 * differ greatly in duration. A runner that fails or hangs looks idle and healthy by its load
 * alone, so the choice also counts its failure rate.
 */
import type * as random from "../kernel/random.js";
import type * as runnerRecord from "../runners/runner-record.js";

/** Cost of a failure rate of 1, in units of a fully used runner's load. */
const FAILURE_PENALTY = 4;
/**
 * Load difference up to which a runner of the own zone is preferred, as a fraction of its slots;
 * small, since the distance to another zone costs little time.
 */
const OTHER_ZONE_PENALTY = 0.1;

/**
 * Returns the runner with the lowest cost among those that are not excluded; considers runners in
 * backoff only if there are no others.
 */
export function chooseRunner(
  records: readonly runnerRecord.RunnerRecord[],
  excluded: ReadonlySet<string>,
  zone: string,
  source: random.RandomSource,
): runnerRecord.RunnerRecord | undefined {
  const untried = records.filter((record) => !excluded.has(record.runner.id));
  const healthy = untried.filter((record) => !record.inBackoff);
  let best: { readonly record: runnerRecord.RunnerRecord; readonly cost: number } | undefined;
  for (const record of healthy.length > 0 ? healthy : untried) {
    const cost = computeCost(record, zone, source.nextFloat());
    if (best === undefined || cost < best.cost) best = { record, cost };
  }
  return best?.record;
}

/**
 * Maximum random addition to a cost: breaks ties, so that VMs with the same knowledge don't all
 * choose the same runner.
 */
const TIE_BREAK_WEIGHT = 0.05;

function computeCost(record: runnerRecord.RunnerRecord, zone: string, tieBreak: number): number {
  const { runner, failureRate } = record;
  const usedFraction = record.computeLoad() / Math.max(1, runner.slots);
  const zonePenalty = runner.zone === zone ? 0 : OTHER_ZONE_PENALTY;
  return usedFraction + FAILURE_PENALTY * failureRate + zonePenalty + TIE_BREAK_WEIGHT * tieBreak;
}
