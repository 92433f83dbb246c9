/**
 * The cells of the fault matrix: every fault is injected at every step of a request into each of
 * its victims, and the guarantees that apply to the fault are checked for each combination.
 */
import * as faults from "./faults.js";
import * as guaranteeChecks from "./guarantee-checks.js";
import type * as observed from "./observed-network.js";
import * as scenarios from "./scenario.js";
import * as steps from "./steps.js";
import * as simulations from "./simulation.js";

/** Result of a cell. */
export const VERDICT = {
  proved: "proved",
  failed: "failed",
  notProved: "not proved",
  /** The fault cannot be injected into the victim at the step. */
  cannotOccur: "cannot occur",
} as const;

/** One of the values of `VERDICT`, with its reason; the reason is empty when it is `proved`. */
export interface Verdict {
  readonly verdict: (typeof VERDICT)[keyof typeof VERDICT];
  readonly reason: string;
}

/**
 * A fault, a step, a victim and a topology; one run of a group yields a cell for each guarantee
 * that applies.
 */
export interface CellGroup extends scenarios.Injection {
  readonly path: scenarios.Path;
  readonly topology: scenarios.Topology;
}

/** One cell of the table: a group and a guarantee, on both routers. */
export interface Cell extends CellGroup {
  readonly guarantee: guaranteeChecks.Guarantee;
  readonly real: Verdict;
  readonly naive: Verdict;
}

const SEED = 20_261_203;
/** Victims that the naive router doesn't have. */
const REAL_ONLY_VICTIMS: ReadonlySet<faults.Victim> = new Set([
  faults.VICTIM.backup,
  faults.VICTIM.allocator,
  faults.VICTIM.platform,
]);

const STEPS: Readonly<Record<scenarios.Path, readonly steps.Step[]>> = {
  plain: steps.PLAIN_STEPS,
  model: steps.MODEL_STEPS,
};

/**
 * Lists every combination of fault, victim, step and topology. With the caller at the owner, entry
 * and owner are the same node, which is listed once, as the entry.
 */
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

/** A cell of the real router or one of its mutants, without the naive router for comparison. */
export type RealCell = Omit<Cell, "naive">;

/** Runs a group on the real router or on a mutant of it, and checks the guarantees that apply. */
export async function runRealGroup(
  group: CellGroup,
  mutant?: observed.Mutant,
): Promise<readonly RealCell[]> {
  const real = await runWithRouter(group, simulations.ROUTER.real, mutant);
  const { fault, path } = group;
  const guarantees = guaranteeChecks.listGuarantees(
    path,
    fault.isGracefulShutdown === true,
    fault.poison !== undefined,
  );
  return guarantees.map((guarantee) => ({ ...group, guarantee, real: real(guarantee) }));
}

/** Runs a group on the real and on the naive router, and checks the same guarantees on both. */
export async function runCellGroup(group: CellGroup): Promise<readonly Cell[]> {
  const real = await runRealGroup(group);
  const naive = await runWithRouter(group, simulations.ROUTER.naive);
  return real.map((cell) => ({ ...cell, naive: naive(cell.guarantee) }));
}

/** Runs a group and returns a function that checks a guarantee; an error of the run fails each. */
async function runWithRouter(
  group: CellGroup,
  router: simulations.Router,
  mutant?: observed.Mutant,
): Promise<(guarantee: guaranteeChecks.Guarantee) => Verdict> {
  const isNaive = router === simulations.ROUTER.naive;
  if (isNaive && REAL_ONLY_VICTIMS.has(group.victim)) {
    return () => ({ verdict: VERDICT.cannotOccur, reason: `has no ${group.victim}` });
  }
  // The naive router has no owner: the entry node runs the call itself.
  const victim =
    isNaive && group.victim === faults.VICTIM.owner ? faults.VICTIM.entry : group.victim;
  const { path, topology, fault, step } = group;
  const injections = [{ fault, victim, step }];
  const options = { router, path, topology, injections, seed: SEED, mutant };
  try {
    const { observations, skipped } = await scenarios.runScenario(options);
    const [reason] = skipped;
    if (reason !== undefined) return () => ({ verdict: VERDICT.cannotOccur, reason });
    return (guarantee) => checkGuarantee(guarantee, observations);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return () => ({ verdict: VERDICT.failed, reason });
  }
}

/** Checks one guarantee against the observations of a run. */
export function checkGuarantee(
  guarantee: guaranteeChecks.Guarantee,
  observations: guaranteeChecks.Observations,
): Verdict {
  const reason = guaranteeChecks.GUARANTEE_CHECKS[guarantee](observations);
  if (reason === undefined) return { verdict: VERDICT.proved, reason: "" };
  return { verdict: VERDICT.failed, reason };
}
