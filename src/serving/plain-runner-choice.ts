/**
 * Chooses a runner for a plain call. Services have a few runners with few slots, and their calls
 * differ greatly in duration. A runner that fails or hangs looks idle and healthy by its load
 * alone, so the choice also counts its failure rate.
 */
import type * as random from "../kernel/random.js";
import type * as runnerRecord from "../runners/runner-record.js";
import type * as runners from "../runners/types.js";

/** Cost of a failure rate of 1; a runner with all slots in use costs 1 for its load. */
const FAILURE_PENALTY = 4;
/**
 * Cost added to a runner in another zone, as a fraction of its slots; small, since calls to another
 * zone take little extra time.
 */
const OTHER_ZONE_PENALTY = 0.1;

/**
 * Returns the runner with the lowest cost among those that are neither excluded nor refused nor paused; considers runners that
 * are in backoff or not reached only if there are no others.
 */
export function chooseRunner(
  records: readonly runnerRecord.RunnerRecord[],
  excluded: ReadonlySet<string>,
  zone: string,
  source: random.RandomSource,
  isReachable: (runnerId: string) => boolean = () => true,
  isPaused: (runner: runners.Runner) => boolean = () => false,
): runnerRecord.RunnerRecord | undefined {
  const untried = records.filter(
    ({ runner, isRefused }) => !excluded.has(runner.id) && !isRefused && !isPaused(runner),
  );
  const healthy = untried.filter((record) => !record.inBackoff && isReachable(record.runner.id));
  let best: { readonly record: runnerRecord.RunnerRecord; readonly cost: number } | undefined;
  for (const record of healthy.length > 0 ? healthy : untried) {
    const cost = computeCost(record, zone, source.nextFloat());
    if (best === undefined || cost < best.cost) best = { record, cost };
  }
  return best?.record;
}

/**
 * Maximum random addition to a cost, so that VMs that see the same load choose different runners
 * among those of about equal cost.
 */
const MAX_RANDOM_COST = 0.05;

function computeCost(
  record: runnerRecord.RunnerRecord,
  zone: string,
  randomFraction: number,
): number {
  const { runner, failureRate } = record;
  const usedFraction = record.computeLoad() / Math.max(1, runner.slots);
  const zonePenalty = runner.zone === zone ? 0 : OTHER_ZONE_PENALTY;
  return (
    usedFraction + FAILURE_PENALTY * failureRate + zonePenalty + MAX_RANDOM_COST * randomFraction
  );
}
