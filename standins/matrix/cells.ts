/** The cells of the matrix: every fault at every step on every victim, judged by every promise. */
import * as faults from "./faults.js";
import * as judges from "./judges.js";
import type * as observed from "./observed-network.js";
import * as scenarios from "./scenario.js";
import * as steps from "./steps.js";
import * as worlds from "./world.js";

/** What a cell showed. */
export const VERDICT = {
  proved: "proved",
  failed: "failed",
  notProved: "not proved",
  /** The fault cannot befall the victim at the step. */
  cannotOccur: "cannot occur",
} as const;

/** One of the values of `VERDICT`, and why. */
export interface Verdict {
  readonly verdict: (typeof VERDICT)[keyof typeof VERDICT];
  readonly reason: string;
}

/** A fault at a step on a victim, with the caller connected in one of two ways. */
export interface CellGroup extends scenarios.Injection {
  readonly path: scenarios.Path;
  readonly topology: scenarios.Topology;
}

/** One cell of the table. */
export interface Cell extends CellGroup {
  readonly promise: judges.Promised;
  readonly real: Verdict;
  readonly naive: Verdict;
}

const SEED = 20_261_203;
const REAL_ONLY_VICTIMS: ReadonlySet<faults.Victim> = new Set([
  faults.VICTIM.backup,
  faults.VICTIM.allocator,
  faults.VICTIM.platform,
]);

const STEPS: Readonly<Record<scenarios.Path, readonly steps.Step[]>> = {
  plain: steps.PLAIN_STEPS,
  model: steps.MODEL_STEPS,
};

/** Lists every fault, step and victim; a victim that stands for two is listed once. */
export function listCellGroups(path: scenarios.Path): readonly CellGroup[] {
  const topologies = Object.values(scenarios.TOPOLOGY);
  return topologies.flatMap((topology) =>
    faults.FAULTS[path].flatMap((fault) =>
      listVictims(fault, path, topology).flatMap((victim) =>
        STEPS[path].map((step) => ({ path, topology, fault, victim, step })),
      ),
    ),
  );
}

function listVictims(
  fault: faults.Fault,
  path: scenarios.Path,
  topology: scenarios.Topology,
): readonly faults.Victim[] {
  const isOwnerEntry = topology === scenarios.TOPOLOGY.atOwner;
  return fault.victims
    .filter((victim) => faults.PATH_VICTIMS[path].has(victim))
    .filter((victim) => !(isOwnerEntry && victim === faults.VICTIM.owner));
}

/** One cell of the real router, or of a mutant of it. */
export type RealCell = Omit<Cell, "naive">;

/** Runs a group on the real router, or on a mutant of it. */
export async function runRealGroup(
  group: CellGroup,
  mutant?: observed.Mutant,
): Promise<readonly RealCell[]> {
  const real = await runJudged(group, worlds.ROUTER.real, mutant);
  const { fault, path } = group;
  const promises = judges.listPromises(path, fault.isLeaving === true, fault.poison !== undefined);
  return promises.map((promise) => ({ ...group, promise, real: real(promise) }));
}

/** Runs a group on the real and on the naive router and judges both. */
export async function runCellGroup(group: CellGroup): Promise<readonly Cell[]> {
  const real = await runRealGroup(group);
  const naive = await runJudged(group, worlds.ROUTER.naive);
  return real.map((cell) => ({ ...cell, naive: naive(cell.promise) }));
}

async function runJudged(
  group: CellGroup,
  router: worlds.Router,
  mutant?: observed.Mutant,
): Promise<(promise: judges.Promised) => Verdict> {
  const isNaive = router === worlds.ROUTER.naive;
  if (isNaive && REAL_ONLY_VICTIMS.has(group.victim)) {
    return () => ({ verdict: VERDICT.cannotOccur, reason: `has no ${group.victim}` });
  }
  // The naive router has no owner: the node that the caller reached runs the call.
  const victim =
    isNaive && group.victim === faults.VICTIM.owner ? faults.VICTIM.entry : group.victim;
  const { path, topology, fault, step } = group;
  const injections = [{ fault, victim, step }];
  const options = { router, path, topology, injections, seed: SEED, mutant };
  try {
    const { evidence, missed } = await scenarios.runScenario(options);
    const [reason] = missed;
    if (reason !== undefined) return () => ({ verdict: VERDICT.cannotOccur, reason });
    return (promise) => judgeEvidence(promise, evidence);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return () => ({ verdict: VERDICT.failed, reason });
  }
}

/** Returns the verdict of one promise's judge. */
export function judgeEvidence(promise: judges.Promised, evidence: judges.Evidence): Verdict {
  const reason = judges.JUDGES[promise](evidence);
  if (reason === undefined) return { verdict: VERDICT.proved, reason: "" };
  return { verdict: VERDICT.failed, reason };
}
