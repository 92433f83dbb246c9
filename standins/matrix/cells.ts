/** The cells of the matrix: every fault at every step on every victim, judged by every promise. */
import * as faults from "./faults.js";
import * as judges from "./judges.js";
import type * as observed from "./observed-network.js";
import * as scenarios from "./scenario.js";
import * as steps from "./steps.js";
import * as worlds from "./world.js";

/** What a cell showed. */
export const VERDICT = { proved: "proved", failed: "failed", notProved: "not proved" } as const;

/** One of the values of `VERDICT`, and why. */
export interface Verdict {
  readonly verdict: (typeof VERDICT)[keyof typeof VERDICT];
  readonly reason: string;
}

/** A fault at a step on a victim, with the caller connected in one of two ways. */
export interface CellGroup extends scenarios.Injection {
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
  faults.VICTIM.platform,
]);

/** Lists every fault, step and victim; a victim that stands for two is listed once. */
export function listCellGroups(): readonly CellGroup[] {
  const groups: CellGroup[] = [];
  for (const topology of Object.values(scenarios.TOPOLOGY)) {
    for (const fault of faults.FAULTS) {
      for (const victim of fault.victims) {
        const isDouble = topology === scenarios.TOPOLOGY.atOwner && victim === faults.VICTIM.entry;
        if (isDouble) continue;
        for (const step of Object.values(steps.STEP))
          groups.push({ topology, fault, victim, step });
      }
    }
  }
  return groups;
}

/** Runs a group on the real and on the naive router and judges both. */
export async function runCellGroup(
  group: CellGroup,
  mutant?: observed.Mutant,
): Promise<readonly Cell[]> {
  const real = await runJudged(group, worlds.ROUTER.real, mutant);
  const naive = await runJudged(group, worlds.ROUTER.naive);
  return listPromises(group.fault).map((promise) => ({
    ...group,
    promise,
    real: real(promise),
    naive: naive(promise),
  }));
}

function listPromises(fault: faults.Fault): readonly judges.Promised[] {
  return Object.values(judges.PROMISE).filter(
    (promise) => fault.isLeaving === true || !judges.DEPARTURE_PROMISES.has(promise),
  );
}

async function runJudged(
  group: CellGroup,
  router: worlds.Router,
  mutant?: observed.Mutant,
): Promise<(promise: judges.Promised) => Verdict> {
  const isNaive = router === worlds.ROUTER.naive;
  if (isNaive && REAL_ONLY_VICTIMS.has(group.victim)) {
    return () => createNotProved(`has no ${group.victim}`);
  }
  // The naive router has no owner: the node that the caller reached runs the call.
  const victim =
    isNaive && group.victim === faults.VICTIM.owner ? faults.VICTIM.entry : group.victim;
  const { topology, fault, step } = group;
  const injections = [{ fault, victim, step }];
  const options = { router, topology, injections, seed: SEED, mutant };
  const { evidence, missedSteps } = await scenarios.runScenario(options);
  if (missedSteps.length > 0) return () => createNotProved("step not reached");
  return (promise) => judgeEvidence(promise, evidence);
}

/** Returns the verdict of one promise's judge. */
export function judgeEvidence(promise: judges.Promised, evidence: judges.Evidence): Verdict {
  const reason = judges.JUDGES[promise](evidence);
  if (reason === undefined) return { verdict: VERDICT.proved, reason: "" };
  return { verdict: VERDICT.failed, reason };
}

function createNotProved(reason: string): Verdict {
  return { verdict: VERDICT.notProved, reason };
}
